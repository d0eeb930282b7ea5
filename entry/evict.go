package entry

import "bergamotstile/structs"

// Evict asks for a checkpoint and a stop of a running item of a shard that
// this instance owns. Nothing happens if the item does not run.
func (i *Instance) Evict(shard structs.ShardID, id structs.WorkID, cause string) error {
	c, err := i.ready()
	if err != nil {
		return err
	}
	return c.lifecycle.Evict(shard, id, cause)
}
