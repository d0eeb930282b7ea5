package membership

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"bergamotstile/structs"
)

// duties are the goroutines of one run of Serve. The first that panics ends
// all of them.
type duties struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	group  sync.WaitGroup
}

// Serve polls the list, exchanges heartbeats and probes runners until ctx
// ends. If one of these duties panics, Serve returns an error, so that its
// supervisor restarts all of them.
func (v *View) Serve(ctx context.Context) error {
	d := &duties{}
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	defer d.cancel(nil)
	v.forgetCalls()
	d.run(func() { v.pollList(d.ctx) })
	d.run(func() { v.rounds(d, v.config.PeerInterval, v.peerKick, v.duePeers, v.exchange) })
	d.run(func() { v.rounds(d, v.config.ProbeInterval, v.probeKick, v.dueRunners, v.probe) })
	d.group.Wait()
	return context.Cause(d.ctx)
}

// run starts a goroutine that belongs to the duties.
func (d *duties) run(duty func()) {
	d.group.Go(func() {
		defer func() {
			if r := recover(); r != nil {
				d.cancel(fmt.Errorf("membership: panic: %v\n%s", r, debug.Stack()))
			}
		}()
		duty()
	})
}

// forgetCalls makes every member due again after a panic left calls marked.
func (v *View) forgetCalls() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		p.inFlight = false
	}
	for _, r := range v.runners {
		r.inFlight = false
	}
}

// Refresh reads the list once.
func (v *View) Refresh(ctx context.Context) error {
	ctx, cancel := v.timeout(ctx, v.config.ListInterval)
	defer cancel()
	sent := v.clock.Now()
	reading, err := v.config.List.List(ctx)
	if err != nil {
		return fmt.Errorf("membership: read list: %w", err)
	}
	if err := v.applyList(reading, sent, v.clock.Now()); err != nil {
		return fmt.Errorf("membership: list not used: %w", err)
	}
	return nil
}

// pollList reads the list at each interval and logs when it becomes unusable
// and usable again.
func (v *View) pollList(ctx context.Context) {
	ticker := v.clock.NewTicker(v.config.ListInterval)
	defer ticker.Stop()
	usable := true
	for {
		err := v.Refresh(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != usable {
			usable = err == nil
			v.logList(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (v *View) logList(err error) {
	if err != nil {
		v.config.Log.WithError(err).Warn("list unusable, going on by probes")
		return
	}
	v.config.Log.Info("list usable again")
}

// rounds calls every due member at each interval and when there are new ones.
// A member that does not answer holds up no other.
func (v *View) rounds(d *duties, interval time.Duration, kick <-chan struct{},
	due func() []structs.Member, call func(context.Context, structs.Member) error) {
	ticker := v.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, m := range due() {
			d.run(func() { _ = call(d.ctx, m) })
		}
		select {
		case <-d.ctx.Done():
			return
		case <-kick:
		case <-ticker.Chan():
		}
	}
}

// timeout bounds a call by the view's clock. It does not use
// clockwork.WithTimeout, since Err of that context blocks until it ends.
func (v *View) timeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := v.clock.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
