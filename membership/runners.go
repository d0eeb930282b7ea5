package membership

import (
	"context"
	"time"

	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// runnerState holds what probes, requests and peers have shown of a runner on the list.
type runnerState struct {
	address string
	// confirmedAt is the time at which the last probe was sent to which the runner
	// answered that it is not leaving. Since it is the time of sending, an answer that
	// arrives late confirms the runner for a shorter time.
	confirmedAt time.Time
	// leavingObservedAt is the last time at which the runner itself answered that it is
	// leaving, and leavingReportedAt the last time at which a peer reported it. Only the
	// former is reported to peers; otherwise two peers would repeat an outdated report
	// to each other for ever.
	leavingObservedAt time.Time
	leavingReportedAt time.Time
	inFlight          bool // a probe of the runner has not ended yet
}

// MarkLeaving records that a runner answered a request with the refusal that it is
// leaving.
func (v *View) MarkLeaving(runner string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markLeaving(runner, v.clock.Now(), true)
}

// markLeaving records that a runner is leaving. observed is true if the runner itself
// answered so, and false if a peer reported it.
func (v *View) markLeaving(name string, now time.Time, observed bool) {
	r := v.runners[name]
	switch {
	case r == nil:
	case observed:
		r.leavingObservedAt = now
	default:
		r.leavingReportedAt = now
	}
}

// mayReceiveRequests reports whether a runner may receive new requests. The list alone
// is never sufficient: its lag is unbounded, so it cannot confirm within the leaving
// bound that a runner is not leaving. A runner that starts to leave at a time T answers
// every probe sent after T as leaving. Its last confirmation is therefore from a probe
// sent before T, and it receives no new requests after T plus the leaving bound.
func (v *View) mayReceiveRequests(m structs.Member, now time.Time) bool {
	r := v.runners[m.Name]
	switch {
	case m.State != structs.MemberLive, r == nil:
		return false
	case !r.leavingObservedAt.IsZero(), !r.leavingReportedAt.IsZero(), r.confirmedAt.IsZero():
		return false
	}
	return now.Sub(r.confirmedAt) < v.config.LeavingBound
}

// leavingRunners returns the names of the runners of this domain that are leaving
// according to the list or to their own answers.
func (v *View) leavingRunners() []string {
	leaving := v.list.members(structs.RoleRunner, v.config.Self.Domain, func(m structs.Member) bool {
		r := v.runners[m.Name]
		return m.State == structs.MemberLeaving || r != nil && !r.leavingObservedAt.IsZero()
	})
	var names []string
	for _, m := range leaving {
		names = append(names, m.Name)
	}
	return names
}

// syncRunners adds a runnerState for each new runner on the list, removes the states of
// runners that left the list, and reports whether it added one. A runner whose address
// has changed is a new process and gets a new state.
func (v *View) syncRunners() bool {
	added := false
	for _, m := range v.list.members(structs.RoleRunner, "", nil) {
		if r := v.runners[m.Name]; r == nil || r.address != m.Address {
			v.runners[m.Name] = &runnerState{address: m.Address}
			added = true
		}
	}
	for name := range v.runners {
		if v.list.byName[name].Role != structs.RoleRunner {
			delete(v.runners, name)
		}
	}
	return added
}

// takeDueRunners returns the runners that Config.ShouldProbe selects and that have no probe in
// flight, and marks them as having one in flight.
func (v *View) takeDueRunners() []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleRunner, "", func(m structs.Member) bool {
		r := v.runners[m.Name]
		if r == nil || r.inFlight || v.config.ShouldProbe != nil && !v.config.ShouldProbe(m) {
			return false
		}
		r.inFlight = true
		return true
	})
}

// probeRunner asks one runner whether it is leaving and records its answer.
func (v *View) probeRunner(ctx context.Context, m structs.Member) error {
	sentAt := v.clock.Now()
	ctx, cancel := v.withTimeout(ctx, v.config.ProbeInterval)
	defer cancel()
	health, err := v.config.Runners.Health(ctx, m.Address)
	v.applyProbeResult(m, health, sentAt, err)
	return err
}

// applyProbeResult updates a runner's state after a probe that was sent at sentAt. A
// failed probe shows neither that the runner is leaving nor that it is not.
func (v *View) applyProbeResult(m structs.Member, health runnerapi.HealthReport, sentAt time.Time, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.runners[m.Name]
	if r == nil || r.address != m.Address {
		return
	}
	r.inFlight = false
	switch {
	case err != nil:
	case health.Leaving:
		r.leavingObservedAt = v.clock.Now()
	default:
		v.confirmRunner(r, sentAt)
	}
}

// confirmRunner records that a runner was not leaving when it answered a probe that was
// sent at sentAt. A process that leaves never stops leaving. If a probe that was sent at
// least the leaving bound after the last report of leaving finds the runner not leaving,
// a new process runs under the same name, and the report is dropped. The wait excludes
// a runner whose answers contradict each other.
func (v *View) confirmRunner(r *runnerState, sentAt time.Time) {
	if sentAt.After(r.confirmedAt) {
		r.confirmedAt = sentAt
	}
	for _, leavingAt := range []*time.Time{&r.leavingObservedAt, &r.leavingReportedAt} {
		if !leavingAt.IsZero() && sentAt.Sub(*leavingAt) >= v.config.LeavingBound {
			*leavingAt = time.Time{}
		}
	}
}
