package maintenance

import "time"

// Pauses before a call is repeated: after no answer, and after a refusal that lasts
// until the machine's state changes.
const (
	unansweredPause = 500 * time.Millisecond
	refusedPause    = time.Second
)

// Limits of the pauses after calls that exceed the platform's rate.
const (
	firstLimitedPause = 200 * time.Millisecond
	maxLimitedPause   = 3200 * time.Millisecond
)

// Result is the outcome of a call that was sent at a time.
type Result struct {
	Call    Call
	Outcome Outcome
	Sent    time.Duration
}

// Answered records the outcome of a call. It returns the runner that the call
// has ended for certain, or nothing.
func (p *Planner) Answered(r Result, now time.Duration) (ended string) {
	w := p.waves[r.Call.Wave]
	if w == nil || w.members[r.Call.Machine] == nil {
		return ""
	}
	m := w.members[r.Call.Machine]
	m.underWay = false
	if r.Outcome != Limited {
		p.limitedPause = 0
	}
	if m.phase != ordered {
		return ""
	}
	switch r.Outcome {
	case Begun:
		m.phase, m.begunBy = begun, now
		p.changes++
		// A later or a repeated answer may come when the next runner, which may
		// have the same name, is at work already.
		if !m.doubtful && now-r.Sent < p.upkeep {
			return m.runner
		}
	case Unanswered:
		m.doubtful = true
		m.retryAt = now + unansweredPause
	case Limited:
		p.limitedPause = min(max(firstLimitedPause, 2*p.limitedPause), maxLimitedPause)
		p.limitedUntil = now + p.limitedPause
	case NotSent:
		m.retryAt = now + unansweredPause
	case NoMachine:
		if _, there := p.seen[m.machine]; !there {
			m.phase = absent
			p.changes++
			return ""
		}
		p.refused(w, m, r.Outcome, now)
	default:
		p.refused(w, m, r.Outcome, now)
	}
	return ""
}

// refused gives a machine's turn to others, unless an earlier call may still be
// carried out. No call is carried out of a wave that is gone.
func (p *Planner) refused(w *wave, m *member, outcome Outcome, now time.Duration) {
	m.retryAt = now + refusedPause
	if !m.doubtful || w.withdrawn > 0 && outcome == OtherWave {
		m.phase = waiting
		p.changes++
	}
}
