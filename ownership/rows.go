package ownership

import (
	"encoding/json"
	"fmt"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// shardRow is the value of the shard row, the row in the table that holds the lease of
// a shard. Each takeover, renewal and release writes it. Owner is empty after a release.
type shardRow struct {
	Owner         string `json:"owner"`
	Address       string `json:"address"`
	Epoch         uint64 `json:"epoch"`
	QuietPeriodMS int64  `json:"quiet_ms"`
	// SinceGrantMS is Handover.SinceGrant in milliseconds. Only a release sets it.
	SinceGrantMS map[string]int64 `json:"since_grant_ms,omitempty"`
	Renewal      uint64           `json:"renewal"`
	WriteID      string           `json:"write_id"`
}

// epochRow is the value of the epoch row of a shard. Only a takeover writes it, so that
// its version identifies the owner's epoch.
type epochRow struct {
	Owner   string `json:"owner"`
	Epoch   uint64 `json:"epoch"`
	WriteID string `json:"write_id"`
}

// ShardKey returns the key of the shard row of a shard.
func ShardKey(shard structs.ShardID) string {
	return "shard/" + shard.String()
}

// EpochKey returns the key of the epoch row of a shard.
func EpochKey(shard structs.ShardID) string {
	return "epoch/" + shard.String()
}

// encodeRow encodes the value of a row as JSON.
func encodeRow(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ownership: encode row: %v", err))
	}
	return value
}

// agesInMS converts ages to milliseconds. It rounds down: with a smaller age the
// successor takes the grant to be more recent, so that its wait never ends early.
func agesInMS(ages map[string]time.Duration) map[string]int64 {
	rounded := make(map[string]int64, len(ages))
	for worker, age := range ages {
		rounded[worker] = age.Milliseconds()
	}
	return rounded
}

// lastGrantTimes converts SinceGrantMS to times on this instance's clock: by worker,
// the time at which an earlier owner last sent a call that could grant a task lease.
// seenAt is the time at which this instance first read the row.
func (r shardRow) lastGrantTimes(seenAt time.Time) map[string]time.Time {
	grants := make(map[string]time.Time, len(r.SinceGrantMS))
	for worker, ms := range r.SinceGrantMS {
		grants[worker] = seenAt.Add(-time.Duration(ms) * time.Millisecond)
	}
	return grants
}

// shardRows holds the result of one read of the shard row and the epoch row of a shard.
// A version is zero if the row does not exist.
type shardRows struct {
	shard        shardRow
	shardVersion uint64
	epochVersion uint64
}

// decodeShardRows decodes the rows that a read of ShardKey and EpochKey returned. Of the
// epoch row, it needs only the version.
func decodeShardRows(shard structs.ShardID, rows []platform.Row) (shardRows, error) {
	var decoded shardRows
	for _, row := range rows {
		switch row.Key {
		case ShardKey(shard):
			if err := json.Unmarshal(row.Value, &decoded.shard); err != nil {
				return decoded, fmt.Errorf("row %q: %w", row.Key, err)
			}
			decoded.shardVersion = row.Version
		case EpochKey(shard):
			decoded.epochVersion = row.Version
		}
	}
	return decoded, nil
}
