package entry

import "bergamotstile/structs"

// Evict requests that a running item of a shard that this instance owns is checkpointed,
// stopped and queued again. It returns once the request is queued, so a nil error does not
// mean that the eviction takes place. The request has no effect if the item is not running,
// if the object store is down or if the eviction cannot be recorded.
func (i *Instance) Evict(shard structs.ShardID, id structs.WorkID, cause string) error {
	c, err := i.requireShardComponents()
	if err != nil {
		return err
	}
	return c.lifecycle.Evict(shard, id, cause)
}
