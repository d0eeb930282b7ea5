package entry

import (
	"context"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// standingReconcileInterval is how often each instance checks that the declared
// replicas of standing jobs are recorded.
const standingReconcileInterval = 5 * time.Second

// standingReconciler records the declared replicas of standing jobs as work items. Each
// replica has a fixed key, so instances that record it at the same time use the same
// row.
type standingReconciler struct {
	instance   *Instance
	components *shardComponents
	// recordedShards holds the shards of the replicas that Serve has recorded.
	recordedShards map[structs.WorkID]structs.ShardID
}

// Serve reconciles the replicas with the configuration until ctx ends.
func (s *standingReconciler) Serve(ctx context.Context) error {
	s.recordedShards = map[structs.WorkID]structs.ShardID{}
	for {
		if d, _ := s.instance.config.Current(); d != nil {
			s.reconcile(ctx, d)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.instance.clock.After(standingReconcileInterval):
		}
	}
}

// reconcile records the declared replicas whose shards this instance owns. It cancels
// replicas that it has recorded and that are no longer declared; a cancel that fails is
// repeated by the next reconcile.
func (s *standingReconciler) reconcile(ctx context.Context, d *declaration.Deployment) {
	declared := map[structs.WorkID]bool{}
	for _, job := range d.StandingJobs {
		for replica := range job.Replicas {
			spec := job.ReplicaSpec(replica)
			declared[spec.ID()] = true
			s.recordReplica(ctx, d, spec)
		}
	}
	for id, shard := range s.recordedShards {
		if declared[id] {
			continue
		}
		if _, err := s.components.lifecycle.Cancel(ctx, shard, id); err == nil {
			delete(s.recordedShards, id)
		}
	}
}

// recordReplica submits a replica once while this instance holds the lease of the replica's
// shard. If it does not hold the lease, it forgets the replica, so that it submits the
// replica again after it has acquired the shard. If the submit fails, the next reconcile
// repeats it.
func (s *standingReconciler) recordReplica(ctx context.Context, d *declaration.Deployment, spec structs.WorkSpec) {
	id := spec.ID()
	domain := structs.HomeDomain(string(id), d.DomainNames())
	shard := structs.ShardOf(domain, string(id), s.components.shards)
	if _, held := s.components.ownership.HeldLease(shard); !held {
		delete(s.recordedShards, id)
		return
	}
	if _, recorded := s.recordedShards[id]; recorded {
		return
	}
	if _, err := s.components.lifecycle.Submit(ctx, spec); err != nil {
		s.instance.metrics.Count("standing_submits_failed", 1)
		return
	}
	s.recordedShards[id] = shard
}
