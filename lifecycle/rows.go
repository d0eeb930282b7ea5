package lifecycle

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

func workPrefix(shard structs.ShardID) string {
	return "work/" + shard.String() + "/"
}

func workKey(shard structs.ShardID, id structs.WorkID) string {
	return workPrefix(shard) + string(id)
}

func cancelPrefix(shard structs.ShardID) string {
	return "cancel/" + shard.String() + "/"
}

func cancelKey(shard structs.ShardID, id structs.WorkID) string {
	return cancelPrefix(shard) + string(id)
}

// newPrefix is the prefix of the rows that mark items which no owner has
// written yet. They are created and deleted together with a write of the item.
func newPrefix(shard structs.ShardID) string {
	return "new/" + shard.String() + "/"
}

func newKey(shard structs.ShardID, id structs.WorkID) string {
	return newPrefix(shard) + string(id)
}

func decodeItem(row platform.Row) (structs.WorkItem, error) {
	var item structs.WorkItem
	if err := json.Unmarshal(row.Value, &item); err != nil {
		return item, fmt.Errorf("work row %q: %w", row.Key, err)
	}
	return item, nil
}

func encodeItem(item structs.WorkItem) []byte {
	value, err := json.Marshal(item)
	if err != nil {
		panic(fmt.Sprintf("lifecycle: encode work item: %v", err))
	}
	return value
}

// parseAttempt splits an attempt ID into its work item and number.
func parseAttempt(attempt structs.AttemptID) (structs.WorkID, int, bool) {
	id, number, found := strings.Cut(string(attempt), ".")
	n, err := strconv.Atoi(number)
	return structs.WorkID(id), n, found && err == nil
}
