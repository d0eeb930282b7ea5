package entry

import "bergamotstile/structs"

// Evict asks for a checkpoint and a stop of a running item of a shard that
// this instance owns. It returns not_owner or not_found if it has no such
// item.
func (i *Instance) Evict(id structs.WorkID, cause string) error {
	c, err := i.ready()
	if err != nil {
		return err
	}
	shard := structs.ShardOf(i.settings.Domain, string(id), c.shards)
	return c.lifecycle.Evict(shard, id, cause)
}
