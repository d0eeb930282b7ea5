package membership

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"bergamotstile/structs"
)

// goroutineGroup runs the goroutines of one call of Serve. If one of them panics, the
// context of all of them ends.
type goroutineGroup struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
}

// Serve polls the list, exchanges heartbeats with peers and probes runners until ctx ends.
// If one of these goroutines panics, Serve ends all of them and returns an error, so that
// its supervisor can restart it.
func (v *View) Serve(ctx context.Context) error {
	g := &goroutineGroup{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	defer g.cancel(nil)
	v.clearInFlight()
	g.start(func() { v.pollList(g.ctx) })
	g.start(func() { v.runRounds(g, v.config.PeerInterval, v.peersAdded, v.takeDuePeers, v.exchangeHeartbeats) })
	g.start(func() { v.runRounds(g, v.config.ProbeInterval, v.runnersAdded, v.takeDueRunners, v.probeRunner) })
	g.wg.Wait()
	return context.Cause(g.ctx)
}

// start runs a function in a goroutine of the group.
func (g *goroutineGroup) start(run func()) {
	g.wg.Go(func() {
		defer func() {
			if r := recover(); r != nil {
				g.cancel(fmt.Errorf("membership: panic: %v\n%s", r, debug.Stack()))
			}
		}()
		run()
	})
}

// clearInFlight marks all peers and runners as having no call in flight. After a panic,
// some are still marked from calls that will never end.
func (v *View) clearInFlight() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		p.inFlight = false
	}
	for _, r := range v.runners {
		r.inFlight = false
	}
}

// Refresh reads the list once and updates the view.
func (v *View) Refresh(ctx context.Context) error {
	ctx, cancel := v.withTimeout(ctx, v.config.ListInterval)
	defer cancel()
	sentAt := v.clock.Now()
	reading, err := v.config.List.List(ctx)
	if err != nil {
		return fmt.Errorf("membership: read list: %w", err)
	}
	if err := v.applyReading(reading, sentAt, v.clock.Now()); err != nil {
		return fmt.Errorf("membership: list rejected: %w", err)
	}
	return nil
}

// pollList reads the list at each interval until ctx ends. It logs when the list becomes
// unusable and when it becomes usable again.
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
			v.logListChange(err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// logListChange logs that the list has become unusable, or usable again if err is nil.
func (v *View) logListChange(err error) {
	if err != nil {
		v.config.Log.WithError(err).Warn("membership list unusable, continuing with the last list and probes")
		return
	}
	v.config.Log.Info("membership list usable again")
}

// runRounds calls all due members in rounds: at once, at each interval, and whenever added
// signals that the list has new members. Each call has a goroutine of its own, so that a
// member that does not answer does not delay the calls to others.
func (v *View) runRounds(g *goroutineGroup, interval time.Duration, added <-chan struct{},
	due func() []structs.Member, call func(context.Context, structs.Member) error) {
	ticker := v.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, m := range due() {
			g.start(func() { _ = call(g.ctx, m) })
		}
		select {
		case <-g.ctx.Done():
			return
		case <-added:
		case <-ticker.Chan():
		}
	}
}

// withTimeout limits the duration of a call by the view's clock. It does not use
// clockwork.WithTimeout, because the Err method of that context blocks until the context
// ends.
func (v *View) withTimeout(ctx context.Context, duration time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := v.clock.AfterFunc(duration, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}
