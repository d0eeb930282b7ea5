package configuration

import (
	"encoding/json"
	"fmt"

	"bergamotstile/declaration"
)

// Keys in the platform's table and names in its object store.
const (
	keyHead            = "config/head"
	keyChangePrefix    = "config/change/"
	snapshotNamePrefix = "config/snapshot/"
)

// headRecord is the value of the head row, which names the latest accepted version.
type headRecord struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Snapshot is the highest version known to have a snapshot in the object store.
	Snapshot uint64 `json:"snapshot,omitempty"`
	WriteID  string `json:"write_id"`
}

// changeRecord is the value of a change row: one accepted apply.
type changeRecord struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	// Base is the version that this change follows.
	Base    uint64 `json:"base"`
	WriteID string `json:"write_id"`
	// Digest covers all entries after the change.
	Digest string `json:"digest"`
	declaration.Delta
}

// snapshotRecord is the value of a snapshot: the whole configuration at one version.
type snapshotRecord struct {
	Version uint64              `json:"version"`
	Digest  string              `json:"digest"`
	Entries declaration.Entries `json:"entries"`
}

func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", keyChangePrefix, version)
}

func snapshotName(version uint64) string {
	return fmt.Sprintf("%s%020d", snapshotNamePrefix, version)
}

func encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("configuration: encode %T: %v", record, err))
	}
	return value
}

func decode[T any](what string, value []byte) (T, error) {
	var record T
	if err := json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("%w: %s: %v", errCorrupt, what, err)
	}
	return record, nil
}
