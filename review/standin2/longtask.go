//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	longID       = "00000000000fade0"
	longLabel    = "b"
	longEstimate = 2 * time.Second
	longFactor   = 150 // times as long as estimated
	otherID      = "00000000000fade1"
	otherFactor  = 125.5 // as long for a second job
	shortTraffic = 10 * time.Second
	watchTime    = 40 * time.Second
)

// gaps measures how long a job has nothing running.
type gaps struct {
	mu      sync.Mutex
	running int
	starts  int
	since   time.Time // when the last run ended; zero while one runs or before the first one
	from    time.Time // gaps before this time don't count
	longest time.Duration
}

func (g *gaps) start(_ *runner, task string) {
	if !strings.HasPrefix(task, longID+".") {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts++
	if g.running++; !g.since.IsZero() && !g.from.IsZero() {
		g.longest = max(g.longest, time.Since(later(g.since, g.from)))
	}
	g.since = time.Time{}
}

func (g *gaps) end(_ *runner, task string) {
	if !strings.HasPrefix(task, longID+".") {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running--; g.running == 0 {
		g.since = time.Now()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// longJob returns a job of one task that may run on one of the runners only.
func longJob() map[string]any {
	return map[string]any{"spec": "long", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem-mb": 256, "estimate-ms": longEstimate.Milliseconds(), "requires": longLabel}}}
}

// playLongTask hands in two jobs of one task each. Their tasks take longFactor and otherFactor times
// as long as their clients have estimated, and may run on one of the runners only. Without the
// disruption they take as long as estimated. Ordinary jobs go on for shortTraffic. The rule is
// checked for the first of the two jobs.
func playLongTask(ctx context.Context, rec *record, trouble bool) (string, error) {
	work, otherWork := longEstimate, longEstimate
	if trouble {
		work, otherWork = longFactor*longEstimate, time.Duration(otherFactor*float64(longEstimate))
	}
	d, err := deploy(ctx, rec, 12, 32000, 3, 0, func(task string, _ int) taskPlan {
		if strings.HasPrefix(task, longID+".") {
			return taskPlan{work: work}
		}
		if strings.HasPrefix(task, otherID+".") {
			return taskPlan{work: otherWork}
		}
		return taskPlan{work: ordinaryWork}
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	g := &gaps{}
	r := d.runners[0]
	r.mu.Lock()
	r.onStart, r.onEnd, r.kind = g.start, g.end, longLabel
	r.mu.Unlock()
	d.register(r)
	if err := sleep(ctx, time.Second); err != nil {
		return "", err
	}
	c := newClients(d)
	for _, id := range []string{longID, otherID} {
		if !c.submit(id, longJob()) {
			return "", errors.New("a job was not accepted")
		}
	}
	stop := make(chan struct{})
	go func() {
		_ = sleep(ctx, shortTraffic)
		close(stop)
	}()
	c.ordinaryTraffic(stop, "")
	if err := sleep(ctx, finishTime); err != nil {
		return "", err
	}
	if c.state(longID) == "completed" {
		return "", nil
	}
	g.mu.Lock()
	g.from = time.Now()
	g.mu.Unlock()
	if err := sleep(ctx, watchTime); err != nil {
		return "", err
	}
	state := c.state(longID)
	g.mu.Lock()
	defer g.mu.Unlock()
	rec.write("the job is shown as %s; %d starts, longest time with nothing running %v", state, g.starts, g.longest)
	if state != "completed" && g.longest >= idleTime {
		return fmt.Sprintf("LOST: the job had nothing running for %v while one task at the most ran on all runners; its own was started %d times and begun anew each time", g.longest, g.starts), nil
	}
	return "", nil
}
