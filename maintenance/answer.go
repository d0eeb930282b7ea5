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

// RecordResult records the result of a call. It returns the runner that was on
// the machine if the maintenance has certainly ended that runner, and otherwise
// an empty string.
func (p *Planner) RecordResult(r Result, now time.Duration) (endedRunner string) {
	if r.Outcome != NotSent {
		p.lastCalls[r.Call.Machine] = now
	}
	w := p.waves[r.Call.Wave]
	if w == nil || w.progressByMachine[r.Call.Machine] == nil {
		return ""
	}
	m := w.progressByMachine[r.Call.Machine]
	m.callInFlight = false
	if r.Outcome != RateLimited {
		p.rateLimitPause = 0
	}
	if m.phase != downOrdered {
		return ""
	}
	switch r.Outcome {
	case Begun:
		m.phase, m.begunAtLatest = begun, now
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

// recordRefusal records that the platform refused a call. The machine goes back
// to the phase waiting, so that another machine can go down instead of it. It stays in the
// phase downOrdered, and counts as down, if an earlier call may still be carried out.
// An exception is a withdrawn wave: if the platform says that the machine does not belong to
// it, no call for the machine will be carried out any more.
func (p *Planner) recordRefusal(w *wave, m *machineProgress, outcome Outcome, now time.Duration) {
	m.retryAt = now + refusalRetryPause
	if !m.hasUnresolvedCall || w.withdrawnAt > 0 && outcome == OtherWave {
		m.phase = waiting
		p.changes++
	}
}
