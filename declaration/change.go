package declaration

import (
	"fmt"

	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// CheckChange returns a *strictjson.Error if the deployment cannot replace the one in
// force, which is nil if there is none yet. The number of shards cannot change: the keys
// of rows contain the shard, so no instance would find work recorded under the old
// number.
func (d *Deployment) CheckChange(inForce *Deployment) error {
	if inForce == nil || max(inForce.ShardsPerDomain, 1) == max(d.ShardsPerDomain, 1) {
		return nil
	}
	var c strictjson.Collector
	c.Addf("shards_per_domain", "cannot change from %d to %d once applied", inForce.ShardsPerDomain, d.ShardsPerDomain)
	return c.Err()
}

// ReplicaSpec returns the work of one replica of a standing job. The key, and so the
// ID of the work item, depends only on the team, the kind and the replica's number.
func (j StandingJob) ReplicaSpec(replica int) structs.WorkSpec {
	return structs.WorkSpec{
		Team: j.Team, Key: fmt.Sprintf("standing/%s/%d", j.Kind, replica),
		Job: j.Kind, Kind: structs.KindStanding, Class: j.Class.Class(), Size: j.Size,
		ExpectedRunMS: j.ExpectedRunMS, MaxRunMS: j.MaxRunMS, Idempotent: j.Idempotent,
	}
}
