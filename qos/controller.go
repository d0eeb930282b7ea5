// Package qos reacts when a service is hurt by the batch work beside it: it
// throttles first, and checkpoints and evicts only what throttling does not
// cure. It acts at once and releases slowly.
package qos

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotstile/structs"
)

// Neighbour is batch work that runs beside a service.
type Neighbour struct {
	Work structs.WorkID
	// Harm is the excess slowdown of the service that is put down to this
	// work at its present share.
	Harm float64
	// Lost is the work that an eviction loses, in core seconds.
	Lost float64
	// Share is the present share of its processors, 0 to 1.
	Share float64
	// Evictable is false for work that must not be evicted now.
	Evictable bool
}

// Reading is what is known of the service on one worker.
type Reading struct {
	Worker string
	// Excess is the slowdown above one, measured or predicted.
	Excess float64
	// Measured is set if Excess comes from a new measurement. Predictions lead
	// to throttling only, never to evictions.
	Measured bool
}

// Action is a change for one neighbour: a new share, or an eviction.
type Action struct {
	Work  structs.WorkID
	Share float64
	Evict bool
}

// Settings holds the thresholds of the reaction.
type Settings struct {
	// Limit is the excess slowdown above which the service counts as hurt.
	Limit float64
	// MinShare is the smallest share that a throttle leaves.
	MinShare float64
	// MinHarm is the excess slowdown up to which a neighbour is left alone.
	// A throttle of harmless work costs throughput and cures nothing.
	MinHarm float64
	// EvictAfter is how long the service must stay hurt by measurements,
	// with its neighbours throttled, before work is evicted.
	EvictAfter time.Duration
	// ReleaseBelow is the part of Limit below which a release is considered.
	ReleaseBelow float64
	// ReleaseAfter is how long the service must be calm before a release.
	ReleaseAfter time.Duration
	// EvictEvery is the least mean time between evictions of one shard.
	EvictEvery time.Duration
	// EvictBurst is the number of evictions that may come at once.
	EvictBurst float64
}

// DefaultSettings returns the starting values.
func DefaultSettings() Settings {
	return Settings{
		Limit:        0.2,
		MinShare:     0.25,
		MinHarm:      0.02,
		EvictAfter:   20 * time.Second,
		ReleaseBelow: 0.7,
		ReleaseAfter: 5 * time.Second,
		EvictEvery:   60 * time.Second,
		EvictBurst:   2,
	}
}

type workerState struct {
	hurtSince time.Time // zero while not hurt
	calmSince time.Time // zero while not calm
}

// Controller keeps the state of the reaction for one shard. It is not safe
// for concurrent use.
type Controller struct {
	settings Settings
	workers  map[string]*workerState
	tokens   float64
	filled   time.Time
}

// New returns a controller.
func New(settings Settings) *Controller {
	return &Controller{settings: settings, workers: map[string]*workerState{}, tokens: settings.EvictBurst}
}

// Retain drops the state of workers that are no longer present.
func (c *Controller) Retain(present func(worker string) bool) {
	for name := range c.workers {
		if !present(name) {
			delete(c.workers, name)
		}
	}
}

// React returns what to change on a worker.
func (c *Controller) React(now time.Time, r Reading, neighbours []Neighbour) []Action {
	c.refill(now)
	w, ok := c.workers[r.Worker]
	if !ok {
		w = &workerState{}
		c.workers[r.Worker] = w
	}
	switch {
	case r.Excess > c.settings.Limit:
		return c.hurt(now, w, r, neighbours)
	case r.Excess < c.settings.Limit*c.settings.ReleaseBelow:
		return c.calm(now, w, r, neighbours)
	}
	w.hurtSince, w.calmSince = time.Time{}, time.Time{}
	return nil
}

func (c *Controller) refill(now time.Time) {
	if !c.filled.IsZero() && c.settings.EvictEvery > 0 {
		c.tokens = min(c.settings.EvictBurst, c.tokens+float64(now.Sub(c.filled))/float64(c.settings.EvictEvery))
	}
	c.filled = now
}

func (c *Controller) hurt(now time.Time, w *workerState, r Reading, neighbours []Neighbour) []Action {
	w.calmSince = time.Time{}
	if w.hurtSince.IsZero() && r.Measured {
		w.hurtSince = now
	}
	if actions := c.throttle(r.Excess-c.settings.Limit, neighbours); len(actions) > 0 {
		return actions
	}
	if !r.Measured || now.Sub(w.hurtSince) < c.settings.EvictAfter || c.tokens < 1 {
		return nil
	}
	victim, ok := Victim(c.throttled(neighbours))
	if !ok {
		return nil
	}
	c.tokens--
	w.hurtSince = now
	return []Action{{Work: victim, Evict: true}}
}

// throttled returns the neighbours that a throttle cannot slow further.
func (c *Controller) throttled(neighbours []Neighbour) []Neighbour {
	return slices.DeleteFunc(slices.Clone(neighbours), func(n Neighbour) bool {
		return n.Share > c.settings.MinShare
	})
}

// throttle halves the shares of the most harmful neighbours until their
// expected relief covers the excess.
func (c *Controller) throttle(excess float64, neighbours []Neighbour) []Action {
	var actions []Action
	for _, n := range byHarm(neighbours) {
		if excess <= 0 || n.Harm <= c.settings.MinHarm {
			break
		}
		share := max(c.settings.MinShare, n.Share/2)
		if share >= n.Share {
			continue
		}
		actions = append(actions, Action{Work: n.Work, Share: share})
		excess -= n.Harm * (1 - share/n.Share)
	}
	return actions
}

// calm doubles the share of the least harmful throttled neighbour if the
// service stays below the limit with it.
func (c *Controller) calm(now time.Time, w *workerState, r Reading, neighbours []Neighbour) []Action {
	w.hurtSince = time.Time{}
	if w.calmSince.IsZero() {
		w.calmSince = now
	}
	if now.Sub(w.calmSince) < c.settings.ReleaseAfter {
		return nil
	}
	least := byHarm(neighbours)
	slices.Reverse(least)
	for _, n := range least {
		if n.Share >= 1 {
			continue
		}
		share := min(1, 2*n.Share)
		if r.Excess+n.Harm*(share/n.Share-1) > c.settings.Limit {
			continue
		}
		w.calmSince = now
		return []Action{{Work: n.Work, Share: share}}
	}
	return nil
}

func byHarm(neighbours []Neighbour) []Neighbour {
	sorted := slices.Clone(neighbours)
	slices.SortFunc(sorted, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(b.Harm, a.Harm), cmp.Compare(a.Work, b.Work))
	})
	return sorted
}

// lossOffset keeps work that has just started from always being the victim,
// in core seconds. An eviction costs a restart even if no work is lost.
const lossOffset = 60

// Victim returns the evictable neighbour with the most harm for the work that
// its eviction loses.
func Victim(neighbours []Neighbour) (structs.WorkID, bool) {
	best, rating := structs.WorkID(""), math.Inf(-1)
	for _, n := range neighbours {
		if !n.Evictable || n.Harm <= 0 {
			continue
		}
		if value := n.Harm / (n.Lost + lossOffset); value > rating || (value == rating && n.Work < best) {
			best, rating = n.Work, value
		}
	}
	return best, best != ""
}
