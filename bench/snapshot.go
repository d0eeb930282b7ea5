package bench

import (
	"bergamotstile/scheduler"
)

// snapshot returns the snapshot from which the policy plans. It contains the
// reported use, which is late, and the declared sizes and run times, but not the
// real ones. The next call overwrites its slices.
func (r *run) snapshot() scheduler.Snapshot {
	s := scheduler.Snapshot{Now: virtualStart.Add(r.now), Workers: r.workerBuffer[:0], Queue: r.itemBuffer[:0]}
	for i, m := range r.rack.machines {
		var running []scheduler.Attempt
		if i < len(r.workerBuffer) {
			running = r.workerBuffer[i].Running[:0]
		}
		s.Workers = append(s.Workers, r.workerSnapshot(m, running))
	}
	for _, j := range r.queue {
		item := j.item
		item.Waiting = r.now - j.queuedAt
		s.Queue = append(s.Queue, item)
	}
	r.workerBuffer, r.itemBuffer = s.Workers, s.Queue
	return s
}

// workerSnapshot returns the part of the snapshot for one machine. It appends the
// machine's tasks to running, which is reused between snapshots.
func (r *run) workerSnapshot(m *machine, running []scheduler.Attempt) scheduler.Worker {
	w := scheduler.Worker{
		Name: m.name, Rack: m.rack, Capacity: m.batchCapacity, Allocated: m.allocated(),
		Reachable: m.isUp(r.now), UsageAge: usageLag, Running: running,
	}
	for _, t := range m.tasks {
		w.Running = append(w.Running, scheduler.Attempt{
			ID: t.id, Work: t.job.item.Work, Team: t.job.item.Team, Job: t.job.item.Job,
			Kind: t.job.item.Kind, Class: t.job.item.Class, State: t.state,
			Size: t.job.item.Size, Used: t.reportedUse, Throttle: t.throttleShare,
			Idempotent: t.job.item.Idempotent, Evictions: t.job.item.Evictions,
			RunningFor: max(0, r.now-t.startsAt), ExpectedRun: t.job.item.ExpectedRun,
		})
	}
	return w
}
