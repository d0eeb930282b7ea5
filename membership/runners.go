package membership

import (
	"context"
	"time"

	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// runnerState is what is known of a runner on the list beside the list.
type runnerState struct {
	address string
	// confirmed is when the last probe was sent that the runner answered as
	// not leaving. Counting from the send makes a late answer count for less.
	confirmed time.Time
	// observedAt is the last sign of leaving from the runner itself, reportedAt
	// the last one from a peer. Only the former is told to peers; otherwise
	// two peers would keep each other believing in a sign for ever.
	observedAt time.Time
	reportedAt time.Time
	inFlight   bool
}

// MarkLeaving notes that a runner answered a request as leaving.
func (v *View) MarkLeaving(runner string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.markLeaving(runner, v.clock.Now(), true)
}

func (v *View) markLeaving(name string, now time.Time, observed bool) {
	r := v.runners[name]
	switch {
	case r == nil:
	case observed:
		r.observedAt = now
	default:
		r.reportedAt = now
	}
}

// mayReceive reports whether a runner may receive new requests. The list alone
// never suffices: it lags without a bound, so it cannot confirm within the
// leaving bound that a runner is not leaving. A runner that starts to leave at
// a time T answers every probe sent after T as leaving, hence it was confirmed
// by a probe sent before T and receives nothing after T plus the bound.
func (v *View) mayReceive(m structs.Member, now time.Time) bool {
	r := v.runners[m.Name]
	switch {
	case m.State != structs.MemberLive, r == nil:
		return false
	case !r.observedAt.IsZero(), !r.reportedAt.IsZero(), r.confirmed.IsZero():
		return false
	}
	return now.Sub(r.confirmed) < v.config.LeavingBound
}

// knownLeaving returns the runners of this domain that the list or the runners
// themselves showed to be leaving.
func (v *View) knownLeaving() []string {
	leaving := v.list.members(structs.RoleRunner, v.config.Self.Domain, func(m structs.Member) bool {
		r := v.runners[m.Name]
		return m.State == structs.MemberLeaving || r != nil && !r.observedAt.IsZero()
	})
	var names []string
	for _, m := range leaving {
		names = append(names, m.Name)
	}
	return names
}

// syncRunners keeps one state for each runner on the list and reports whether
// there is a new one. A changed address is a new process.
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

// dueRunners returns the runners without a probe in flight and marks them.
func (v *View) dueRunners() []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleRunner, "", func(m structs.Member) bool {
		r := v.runners[m.Name]
		if r == nil || r.inFlight || v.config.Probe != nil && !v.config.Probe(m) {
			return false
		}
		r.inFlight = true
		return true
	})
}

// probe asks one runner for its state.
func (v *View) probe(ctx context.Context, m structs.Member) error {
	sent := v.clock.Now()
	ctx, cancel := v.timeout(ctx, v.config.ProbeInterval)
	defer cancel()
	health, err := v.config.Runners.Health(ctx, m.Address)
	v.applyProbe(m, health, sent, err)
	return err
}

// applyProbe merges the answer to a probe. A failed probe confirms nothing and
// contradicts nothing.
func (v *View) applyProbe(m structs.Member, health runnerapi.Health, sent time.Time, err error) {
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
		r.observedAt = v.clock.Now()
	default:
		v.confirm(r, sent)
	}
}

// confirm notes that a runner was not leaving when it answered a probe sent at
// sent. A process that leaves never stops leaving, so a probe sent well after
// the last sign of leaving shows a new process under the same name. The wait
// keeps a runner away whose answers contradict each other.
func (v *View) confirm(r *runnerState, sent time.Time) {
	if sent.After(r.confirmed) {
		r.confirmed = sent
	}
	for _, sign := range []*time.Time{&r.observedAt, &r.reportedAt} {
		if !sign.IsZero() && sent.Sub(*sign) >= v.config.LeavingBound {
			*sign = time.Time{}
		}
	}
}
