package entry

import (
	"context"
	"fmt"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// standingInterval is the time between two checks that the replicas of
// standing jobs are recorded.
const standingInterval = 5 * time.Second

// standingJobs records the declared replicas of standing jobs as work items.
// Each replica has a fixed key, so instances that do it at the same time find
// the same row.
type standingJobs struct {
	instance *Instance
	core     *core
	recorded map[structs.WorkID]structs.ShardID
}

// Serve records replicas until ctx ends.
func (s *standingJobs) Serve(ctx context.Context) error {
	s.recorded = map[structs.WorkID]structs.ShardID{}
	for {
		if d, _ := s.instance.config.Current(); d != nil {
			s.reconcile(ctx, d)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.instance.clock.After(standingInterval):
		}
	}
}

// reconcile records what is declared and cancels what this instance recorded
// and is no longer declared.
func (s *standingJobs) reconcile(ctx context.Context, d *declaration.Deployment) {
	declared := map[structs.WorkID]bool{}
	for _, job := range d.StandingJobs {
		for replica := range job.Replicas {
			spec := standingSpec(job, replica)
			declared[spec.ID()] = true
			s.record(ctx, d, spec)
		}
	}
	for id, shard := range s.recorded {
		if declared[id] {
			continue
		}
		if _, err := s.core.lifecycle.Cancel(ctx, shard, id); err == nil {
			delete(s.recorded, id)
		}
	}
}

// record submits a replica if this instance owns its shard.
func (s *standingJobs) record(ctx context.Context, d *declaration.Deployment, spec structs.WorkSpec) {
	id := spec.ID()
	domain := structs.HomeDomain(string(id), d.DomainNames())
	shard := structs.ShardOf(domain, string(id), s.core.shards)
	if _, held := s.core.ownership.Held(shard); !held {
		delete(s.recorded, id)
		return
	}
	if _, done := s.recorded[id]; done {
		return
	}
	if _, err := s.core.lifecycle.Submit(ctx, spec); err != nil {
		s.instance.metrics.Count("standing_submits_failed", 1)
		return
	}
	s.recorded[id] = shard
}

func standingSpec(job declaration.StandingJob, replica int) structs.WorkSpec {
	return structs.WorkSpec{
		Team: job.Team, Key: fmt.Sprintf("standing/%s/%d", job.Kind, replica),
		Job: job.Kind, Kind: structs.KindStanding, Class: job.Class.Class(), Size: job.Size,
		ExpectedRunMS: job.ExpectedRunMS, MaxRunMS: job.MaxRunMS, Idempotent: job.Idempotent,
	}
}
