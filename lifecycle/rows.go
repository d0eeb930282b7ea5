package lifecycle

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// workPrefix is the prefix of the rows that hold the shard's work items.
func workPrefix(shard structs.ShardID) string {
	return "work/" + shard.String() + "/"
}

func workKey(shard structs.ShardID, id structs.WorkID) string {
	return workPrefix(shard) + string(id)
}

// cancelPrefix is the prefix of cancel rows. A cancel row records that an item
// is to be cancelled.
func cancelPrefix(shard structs.ShardID) string {
	return "cancel/" + shard.String() + "/"
}

func cancelKey(shard structs.ShardID, id structs.WorkID) string {
	return cancelPrefix(shard) + string(id)
}

// markerPrefix is the prefix of marker rows. A marker row names an item that no
// owner has written yet. It is created together with the item's row and deleted
// together with the first write of an owner.
func markerPrefix(shard structs.ShardID) string {
	return "new/" + shard.String() + "/"
}

func markerKey(shard structs.ShardID, id structs.WorkID) string {
	return markerPrefix(shard) + string(id)
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

// parseAttemptID splits an attempt ID into the ID of its work item and the
// number of the attempt. It returns false if the ID is malformed.
func parseAttemptID(attempt structs.AttemptID) (structs.WorkID, int, bool) {
	id, number, found := strings.Cut(string(attempt), ".")
	n, err := strconv.Atoi(number)
	return structs.WorkID(id), n, found && err == nil
}
