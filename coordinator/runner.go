package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/interference"
	"bergamotstile/jobs"
	"bergamotstile/maintenance"
	"bergamotstile/structs"
)

// runner is a process that runs tasks, as the coordinator sees it.
type runner struct {
	RunnerInfo
	// listed is set while the registry has an entry for it, or had one lately.
	listed bool
	// unlisted is when the entry was seen to be missing; zero if it is there.
	unlisted time.Duration
	// reported is set once it has answered this coordinator.
	reported    bool
	incarnation int64
	seen        int // highest end processed
	// suspect is set while it does not answer, or its leases can't be extended.
	suspect bool
	// cordon is set while the runner takes no new tasks because its machine is to
	// go down for upkeep; upkeepDue while that is yet to come.
	cordon    *maintenance.Drain
	upkeepDue bool
	// terminated is the incarnation that ended with its machine.
	terminated int64
	// leaves is when a draining runner may be gone.
	leaves time.Duration
	runs   map[*run]struct{}
	held   structs.Resources
	// firm, serving and filling are thousandths of a processor asked for by
	// plain tasks, by tasks that serve and by tasks that fill.
	firm, serving, filling int64
	// served are the serving tasks by image; filled sums what filling tasks ask
	// for, in thousandths of a processor; fills are the paces of the latter.
	served  map[interference.Kind]*servedImage
	filled  map[interference.Kind]int64
	fills   map[interference.Kind]*fillState
	fillers []*run    // its filling tasks in the order of their precedence
	pressed []pressed // see pressedOn
	open    float64   // see openness; negative after a change
	// overSince is since when one of its serving tasks has been over its
	// target; zero if none is.
	overSince time.Duration
	health    health
	claims    []claim
	change    uint64 // number of its last change, see changeLog
	// strays are the jobs of what the last report lists and is not known here:
	// runs that are being stopped, which hold an unknown part of the runner, and
	// ends that wait for their job.
	strays []jobs.ID
	// unknownSince is since when its next end has been of an unknown job; zero
	// if it is not.
	unknownSince time.Duration
}

func newRunner() *runner {
	return &runner{
		open:   unknownOpenness,
		runs:   map[*run]struct{}{},
		served: map[interference.Kind]*servedImage{},
		filled: map[interference.Kind]int64{},
		fills:  map[interference.Kind]*fillState{},
	}
}

// entryAge is how old an entry of the registry may be that is read first after a
// takeover: runners write about every heartbeat.
const entryAge = 1500 * time.Millisecond

// RunnerSeen records what the registry says of a runner.
func (c *Core) RunnerSeen(info RunnerInfo, now time.Duration) {
	r := c.runners[info.ID]
	left := info.Remaining
	if r == nil {
		r = newRunner()
		c.runners[info.ID] = r
		c.sorted = nil
		left -= entryAge
	}
	if info.Draining && !r.Draining {
		c.log.WithFields(logrus.Fields{"runner": info.ID, "remaining_ms": info.Remaining.Milliseconds()}).Info("runner is draining")
	}
	if info.Draining && !(r.Draining && r.Remaining == info.Remaining) {
		r.leaves = now + left
	}
	c.changed(r)
	r.RunnerInfo = info
	r.listed, r.unlisted = true, 0
}

// relistTime is how long an entry that lapsed while the store was away takes to
// come back.
const relistTime = 2500 * time.Millisecond

// RunnerUnlisted records that the registry has no entry for a runner. It may
// still run tasks.
func (c *Core) RunnerUnlisted(id string, now time.Duration) {
	if r := c.runners[id]; r != nil && r.listed && r.unlisted == 0 {
		r.unlisted = now
	}
}

// dropUnlisted takes runners as gone whose entries have not come back.
func (c *Core) dropUnlisted(now time.Duration) {
	for _, r := range c.runners {
		if r.unlisted > 0 && now-r.unlisted > relistTime {
			r.listed, r.unlisted = false, 0
			c.log.WithField("runner", r.ID).Info("runner left the registry")
		}
	}
}

// RunnerSilent records that a call to a runner was not answered.
func (c *Core) RunnerSilent(id string) {
	if r := c.runners[id]; r != nil && !r.suspect {
		r.suspect = true
		c.counters("runners_silent", 1)
		c.log.WithFields(logrus.Fields{"runner": id, "runs": len(r.runs)}).Warn("runner does not answer")
	}
}

// RunnerLapsed records that every lease on a runner has lapsed: nothing runs
// there any more.
func (c *Core) RunnerLapsed(id string, now time.Duration) {
	c.resolve(id)
	r := c.runners[id]
	if r == nil {
		return
	}
	c.log.WithFields(logrus.Fields{"runner": id, "runs": len(r.runs)}).Warn("leases on runner lapsed")
	for lost := range r.runs {
		c.lose(lost, now, "lease lapsed")
	}
	if !r.listed {
		r.forfeitClaims()
		delete(c.runners, id)
		c.sorted = nil
	}
}

// hold counts a run against its runner.
func (r *runner) hold(x *run) {
	r.runs[x] = struct{}{}
	r.held = r.held.Add(x.step.Reserved())
	r.share(x, 1)
}

// release frees what a run held.
func (r *runner) release(x *run) {
	delete(r.runs, x)
	r.held = r.held.Sub(x.step.Reserved())
	r.share(x, -1)
}

func (r *runner) share(x *run, sign int64) {
	r.pressed = nil
	cpu := sign * x.step.Resources.CPUMilli
	switch {
	case x.step.BestEffort:
		r.filling += cpu
		r.filled[x.kind] += cpu
		if r.filled[x.kind] == 0 {
			delete(r.filled, x.kind)
		}
		if sign > 0 {
			at, _ := slices.BinarySearchFunc(r.fillers, x, func(a, b *run) int { return a.precedence.compare(b.precedence) })
			r.fillers = slices.Insert(r.fillers, at, x)
		} else {
			r.fillers = slices.DeleteFunc(r.fillers, func(o *run) bool { return o == x })
		}
	case x.step.TailLatencyTarget > 0:
		r.serving += cpu
		r.countServing(x, int(sign))
	default:
		r.firm += cpu
	}
}

// servedImage is an image of serving tasks on a runner.
type servedImage struct {
	tasks int
	step  *jobs.Step // one of the steps, for its target
}

func (r *runner) countServing(x *run, change int) {
	s := r.served[x.kind]
	if s == nil {
		s = &servedImage{step: x.step}
		r.served[x.kind] = s
	}
	s.tasks += change
	if s.tasks == 0 {
		delete(r.served, x.kind)
	}
	r.open = unknownOpenness
}

// usable reports whether the runner may be given new tasks.
func (r *runner) usable() bool {
	return r.listed && r.reported && !r.Draining && r.cordon == nil && !r.suspect && len(r.strays) == 0
}
