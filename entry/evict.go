package entry

import "bergamotstile/structs"

// Evict asks a running item of a shard that this instance owns to store a checkpoint
// and stop. It has no effect if the item is not running.
func (i *Instance) Evict(shard structs.ShardID, id structs.WorkID, cause string) error {
	c, err := i.requireCore()
	if err != nil {
		return err
	}
	return c.lifecycle.Evict(shard, id, cause)
}
