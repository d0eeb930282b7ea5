package ownership

import (
	"encoding/json"
	"fmt"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// shardRow is the value of a shard row, which each renewal writes.
type shardRow struct {
	Owner   string `json:"owner"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	QuietMS int64  `json:"quiet_ms"`
	// SinceGrantMS is set by a release only.
	SinceGrantMS map[string]int64 `json:"since_grant_ms,omitempty"`
	Renewal      uint64           `json:"renewal"`
	WriteID      string           `json:"write_id"`
}

// epochRow is the value of an epoch row, which only a takeover writes.
type epochRow struct {
	Owner   string `json:"owner"`
	Epoch   uint64 `json:"epoch"`
	WriteID string `json:"write_id"`
}

// ShardKey returns the key of a shard's lease row.
func ShardKey(shard structs.ShardID) string {
	return "shard/" + shard.String()
}

// EpochKey returns the key of a shard's epoch row.
func EpochKey(shard structs.ShardID) string {
	return "epoch/" + shard.String()
}

func encode(v any) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ownership: encode row: %v", err))
	}
	return value
}

// sinceGrantMS rounds down, so that no successor's wait ends early.
func sinceGrantMS(ages map[string]time.Duration) map[string]int64 {
	rounded := make(map[string]int64, len(ages))
	for worker, age := range ages {
		rounded[worker] = age.Milliseconds()
	}
	return rounded
}

// lastGrants returns the times of the last grants on this instance's clock, if
// the row was first seen at seenAt.
func (r shardRow) lastGrants(seenAt time.Time) map[string]time.Time {
	grants := make(map[string]time.Time, len(r.SinceGrantMS))
	for worker, ms := range r.SinceGrantMS {
		grants[worker] = seenAt.Add(-time.Duration(ms) * time.Millisecond)
	}
	return grants
}

// reading is what one read showed of a shard's two rows.
type reading struct {
	row          shardRow
	rowVersion   uint64
	epochVersion uint64
}

func decodeReading(shard structs.ShardID, rows []platform.Row) (reading, error) {
	var r reading
	for _, row := range rows {
		switch row.Key {
		case ShardKey(shard):
			if err := json.Unmarshal(row.Value, &r.row); err != nil {
				return r, fmt.Errorf("row %q: %w", row.Key, err)
			}
			r.rowVersion = row.Version
		case EpochKey(shard):
			r.epochVersion = row.Version
		}
	}
	return r, nil
}
