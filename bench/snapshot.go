package bench

import (
	"bergamotstile/scheduler"
)

// snapshot shows the policy what it may know: usage is late, and true sizes
// and run times are hidden. Its slices are used again by the next one.
func (r *run) snapshot() scheduler.Snapshot {
	s := scheduler.Snapshot{Now: epoch.Add(r.now), Workers: r.workers[:0], Queue: r.items[:0]}
	for i, m := range r.fake.machines {
		var running []scheduler.Attempt
		if i < len(r.workers) {
			running = r.workers[i].Running[:0]
		}
		s.Workers = append(s.Workers, r.worker(m, running))
	}
	for _, j := range r.queue {
		item := j.item
		item.Waiting = r.now - j.queuedAt
		s.Queue = append(s.Queue, item)
	}
	r.workers, r.items = s.Workers, s.Queue
	return s
}

func (r *run) worker(m *machine, running []scheduler.Attempt) scheduler.Worker {
	w := scheduler.Worker{
		Name: m.name, Rack: m.rack, Capacity: m.offered, Allocated: m.held(),
		Reachable: m.up(r.now), UsageAge: usageLag, Running: running,
	}
	for _, t := range m.tasks {
		w.Running = append(w.Running, scheduler.Attempt{
			ID: t.id, Work: t.job.item.Work, Team: t.job.item.Team, Job: t.job.item.Job,
			Kind: t.job.item.Kind, Class: t.job.item.Class, State: t.state,
			Size: t.job.item.Size, Used: t.reported, Throttle: t.throttle,
			Idempotent: t.job.item.Idempotent, Evictions: t.job.item.Evictions,
			RunningFor: max(0, r.now-t.began), ExpectedRun: t.job.item.ExpectedRun,
		})
	}
	return w
}
