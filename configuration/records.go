package configuration

import (
	"encoding/json"
	"fmt"

	"bergamotstile/declaration"
)

// Keys in the platform's table and object store.
const (
	keyHead            = "config/head"
	keyChangePrefix    = "config/change/"
	snapshotNamePrefix = "config/snapshot/"
)

// head is the row that names the version in force.
type head struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Snapshot is the highest version that is known to be in the object store.
	Snapshot uint64 `json:"snapshot,omitempty"`
	WriteID  string `json:"write_id"`
}

// change is one accepted apply.
type change struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	// Base is the version that the operator started from.
	Base    uint64 `json:"base"`
	WriteID string `json:"write_id"`
	// Digest is that of all entries after the change.
	Digest string `json:"digest"`
	declaration.Delta
}

// snapshot is the whole configuration at one version.
type snapshot struct {
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
