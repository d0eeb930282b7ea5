package coordinator

import (
	"time"

	"bergamotstile/interference"
	"bergamotstile/jobs"
)

// Bounds of what placement expects beside serving tasks.
const (
	// ownRise is by how much the disturbance by a serving task's own load may
	// rise while a filling task runs beside it, beside headroom.
	ownRise = 0.2
	// leastUse is the share of what it asks for that a slowed task counts for at
	// least, in percent, since its pace may rise again.
	leastUse = 30
)

// pressed is a serving image on a runner with the pressure that it bears.
type pressed struct {
	kind    interference.Kind
	tasks   int
	limit   float64
	present float64 // of all filling tasks at their paces
}

// pressedOn returns the serving images of a runner. The result is kept until
// the runner's tasks or readings change.
func (c *Core) pressedOn(r *runner) []pressed {
	if r.pressed != nil || len(r.served) == 0 {
		return r.pressed
	}
	for kind, s := range r.served {
		p := pressed{kind: kind, tasks: s.tasks}
		own := min(mostOwn, r.ownOf(kind)+ownRise)
		p.limit = max(calmPressure, c.harm.disturbance(s.step, targetMS(s.step))-headroom-own)
		for other := range r.filled {
			p.present += c.pressureOf(r, kind, other) * float64(r.paceOf(other)) / fullPace
		}
		r.pressed = append(r.pressed, p)
	}
	return r.pressed
}

// ownOf is the largest disturbance by their own load of an image's serving
// tasks on the runner.
func (r *runner) ownOf(kind interference.Kind) float64 {
	most := -mostOwn
	known := false
	for x := range r.runs {
		if x.kind == kind && x.measured {
			most, known = max(most, x.ownPressure), true
		}
	}
	if !known {
		return 0
	}
	return most
}

// forecast is what a further filling task would find on a runner.
type forecast struct {
	pace int   // percent
	free int64 // thousandths of a processor
	// harm is the pressure that it would add at full pace, summed over the
	// serving tasks.
	harm float64
}

// forecast works out what a task of a filling step finds. Tasks of classes that are served
// after it make room.
func (c *Core) forecast(r *runner, s *jobs.Step, kind interference.Kind, place precedence) forecast {
	ask := max(1, s.Resources.CPUMilli)
	var all, same int64
	for _, x := range r.fillers {
		if !place.class().before(x.precedence.class()) {
			all += x.use()
			if x.kind == kind {
				same += x.step.Resources.CPUMilli
			}
		}
	}
	p := forecast{free: r.idle() + r.filling - all}
	use, harm := c.safeUse(r, kind, ask)
	p.harm = harm
	p.pace = min(fullPace, int(max(0, use-same)*fullPace/ask))
	return p
}

// use is what a filling task is expected to use at its pace. Slowed tasks leave
// room to others.
func (x *run) use() int64 {
	if x.pace < 0 {
		return x.step.Resources.CPUMilli
	}
	return x.step.Resources.CPUMilli * int64(max(leastUse, x.pace)) / fullPace
}

// safeUse is what the tasks of an image, with a further one, may use on the
// runner so that every serving task is spared.
func (c *Core) safeUse(r *runner, kind interference.Kind, ask int64) (use int64, harm float64) {
	cpu := float64(max(1, r.Capacity.CPUMilli))
	there := r.filled[kind]
	share := float64(there+ask) / cpu
	if pace := r.paceOf(kind); there > 0 && pace < fullPace {
		share = float64(there) / cpu * float64(pace) / fullPace
	}
	for _, p := range c.pressedOn(r) {
		between := c.harm.between(p.kind, kind)
		if between <= 0 {
			continue
		}
		others := p.present - float64(there)/cpu*between*float64(r.paceOf(kind))/fullPace
		share = min(share, max(0, p.limit-others)/between)
		harm += float64(ask) / cpu * between * float64(p.tasks)
	}
	return int64(share * cpu), harm
}

// limitPace sets the safe pace of an image before a task of it is started.
func (c *Core) limitPace(r *runner, w *work, now time.Duration) {
	ask := w.step.Resources.CPUMilli
	use, _ := c.safeUse(r, w.kind, ask)
	if pace := int(use * fullPace / max(1, r.filled[w.kind]+ask)); pace < r.paceOf(w.kind) {
		*r.fill(w.kind) = fillState{pace: max(minPace, pace), changed: now}
	}
}
