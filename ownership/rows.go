package ownership

import (
	"encoding/json"
	"fmt"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// shardRow is the value of a shard row, which each renewal writes.
type shardRow struct {
	Owner   string `json:"owner"`
	Address string `json:"address"`
	Epoch   uint64 `json:"epoch"`
	QuietMS int64  `json:"quiet_ms"`
	Renewal uint64 `json:"renewal"`
	WriteID string `json:"write_id"`
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
