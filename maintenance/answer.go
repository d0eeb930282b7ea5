package maintenance

import "time"

// Pauses before a call is repeated: after a call without an answer, and after a
// refusal that lasts until the machine's state changes.
const (
	unansweredRetryPause = 500 * time.Millisecond
	refusalRetryPause    = time.Second
)

// The first and the longest pause after a call that exceeds the platform's rate.
// Each further such call doubles the pause.
const (
	minRateLimitPause = 200 * time.Millisecond
	maxRateLimitPause = 3200 * time.Millisecond
)

// Result is a call, its outcome and the time at which it was sent.
type Result struct {
	Call    Call
	Outcome Outcome
	SentAt  time.Duration
}

// RecordResult records the result of a call. If the call has certainly ended
// the runner that was on the machine, that runner is returned.
func (p *Planner) RecordResult(r Result, now time.Duration) (ended string) {
	w := p.waves[r.Call.Wave]
	if w == nil || w.members[r.Call.Machine] == nil {
		return ""
	}
	m := w.members[r.Call.Machine]
	m.callInFlight = false
	if r.Outcome != RateLimited {
		p.rateLimitPause = 0
	}
	if m.phase != ordered {
		return ""
	}
	switch r.Outcome {
	case Begun:
		m.phase, m.begunBy = begun, now
		p.changes++
		// If the answer comes late, or answers a repeated call, the next runner
		// may have started already, possibly under the same name.
		if !m.hasUnresolvedCall && now-r.SentAt < p.maintenanceTime {
			return m.runner
		}
	case Unanswered:
		m.hasUnresolvedCall = true
		m.retryAt = now + unansweredRetryPause
	case RateLimited:
		p.rateLimitPause = min(max(minRateLimitPause, 2*p.rateLimitPause), maxRateLimitPause)
		p.rateLimitedUntil = now + p.rateLimitPause
	case NotSent:
		m.retryAt = now + unansweredRetryPause
	case NoMachine:
		if _, isListed := p.listed[m.machine]; !isListed {
			m.phase = absent
			p.changes++
			return ""
		}
		p.recordRefusal(w, m, r.Outcome, now)
	default:
		p.recordRefusal(w, m, r.Outcome, now)
	}
	return ""
}

// recordRefusal returns a machine to the waiting ones, so that others can take
// its turn. The machine keeps its turn if an earlier call may still be carried
// out. If the platform says that the machine does not belong to a withdrawn
// wave, no call for it will be carried out any more.
func (p *Planner) recordRefusal(w *wave, m *member, outcome Outcome, now time.Duration) {
	m.retryAt = now + refusalRetryPause
	if !m.hasUnresolvedCall || w.withdrawnAt > 0 && outcome == OtherWave {
		m.phase = waiting
		p.changes++
	}
}
