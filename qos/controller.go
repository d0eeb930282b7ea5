// Package qos reacts when the batch work beside a service slows the service
// beyond its limit. It throttles the work first. It evicts work, with a
// checkpoint, only if throttling does not help. It throttles at once, but lifts
// a throttle only after the service has been well below the limit for a while.
package qos

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotstile/structs"
)

// Neighbour is an item of batch work that runs beside a service.
type Neighbour struct {
	Work structs.WorkID
	// Interference is the excess slowdown of the service that is attributed to
	// this work at its present share.
	Interference float64
	// Lost is the work that an eviction would lose, in core seconds.
	Lost float64
	// Share is the share of its processors that the work may use now, 0 to 1.
	Share float64
	// Evictable is false for work that must not be evicted now.
	Evictable bool
}

// Reading is the present slowdown of the service on one worker.
type Reading struct {
	Worker string
	// Excess is the slowdown minus one, measured or predicted.
	Excess float64
	// Measured is set if a recent measurement confirms Excess. A predicted
	// excess leads only to throttling, never to an eviction.
	Measured bool
}

// Action is a change for one neighbour: a new share, or an eviction.
type Action struct {
	Work  structs.WorkID
	Share float64
	Evict bool
}

// Settings holds the thresholds of the controller.
type Settings struct {
	// Limit is the excess slowdown above which the controller acts.
	Limit float64
	// MinShare is the smallest share to which work is throttled.
	MinShare float64
	// MinInterference is the excess slowdown up to which a neighbour is not
	// throttled. A throttle of work that interferes this little costs
	// throughput and does not help the service.
	MinInterference float64
	// EvictAfter is the time from the first measured excess above Limit, or
	// from the last eviction, until work may be evicted. The excess must stay
	// above Limit during that time, and work is evicted only if no neighbour
	// can be throttled further.
	EvictAfter time.Duration
	// ReleaseBelow sets the release level, Limit times ReleaseBelow. A throttle
	// is lifted only while the excess is below that level.
	ReleaseBelow float64
	// ReleaseAfter is how long the excess must stay below the release level
	// before a throttle is lifted.
	ReleaseAfter time.Duration
	// EvictEvery is the minimum mean time between evictions in one shard.
	EvictEvery time.Duration
	// EvictBurst is the number of evictions that may follow each other at once.
	EvictBurst float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Limit:           0.2,
		MinShare:        0.25,
		MinInterference: 0.02,
		EvictAfter:      20 * time.Second,
		ReleaseBelow:    0.7,
		ReleaseAfter:    5 * time.Second,
		EvictEvery:      60 * time.Second,
		EvictBurst:      2,
	}
}

// workerState holds since when the excess of the service on one worker has been
// above Limit or below the release level.
type workerState struct {
	// overLimitSince is the time of the first measured excess above Limit, or
	// of the last eviction after it. It is zero if the excess is not above
	// Limit now, or has only been predicted to be.
	overLimitSince time.Time
	// belowReleaseSince is the time since which the excess has been below the
	// release level, or the time at which a throttle was last lifted after
	// that. It is zero if the excess is not below that level now.
	belowReleaseSince time.Time
}

// Controller decides on the throttles and evictions in one shard. It is not
// safe for concurrent use.
type Controller struct {
	settings       Settings
	workers        map[string]*workerState
	evictionTokens float64
	lastRefill     time.Time
}

// New returns a controller without state of any worker.
func New(settings Settings) *Controller {
	return &Controller{settings: settings, workers: map[string]*workerState{}, evictionTokens: settings.EvictBurst}
}

// Retain drops the state of workers for which present returns false.
func (c *Controller) Retain(present func(worker string) bool) {
	for name := range c.workers {
		if !present(name) {
			delete(c.workers, name)
		}
	}
}

// React returns the changes for the neighbours of the service on one worker.
func (c *Controller) React(now time.Time, r Reading, neighbours []Neighbour) []Action {
	c.refillTokens(now)
	w, ok := c.workers[r.Worker]
	if !ok {
		w = &workerState{}
		c.workers[r.Worker] = w
	}
	switch {
	case r.Excess > c.settings.Limit:
		return c.handleOverLimit(now, w, r, neighbours)
	case r.Excess < c.settings.Limit*c.settings.ReleaseBelow:
		return c.handleBelowRelease(now, w, r, neighbours)
	}
	w.overLimitSince, w.belowReleaseSince = time.Time{}, time.Time{}
	return nil
}

// refillTokens adds the eviction tokens earned since the last call: one for
// each EvictEvery, up to EvictBurst.
func (c *Controller) refillTokens(now time.Time) {
	if !c.lastRefill.IsZero() && c.settings.EvictEvery > 0 {
		c.evictionTokens = min(c.settings.EvictBurst, c.evictionTokens+float64(now.Sub(c.lastRefill))/float64(c.settings.EvictEvery))
	}
	c.lastRefill = now
}

// handleOverLimit throttles neighbours. If none that interferes by more than
// MinInterference can be throttled further, it evicts one, provided that the
// present excess is measured, that EvictAfter has passed since overLimitSince
// and that the rate limit allows an eviction.
func (c *Controller) handleOverLimit(now time.Time, w *workerState, r Reading, neighbours []Neighbour) []Action {
	w.belowReleaseSince = time.Time{}
	if w.overLimitSince.IsZero() && r.Measured {
		w.overLimitSince = now
	}
	if actions := c.throttleMostInterfering(r.Excess-c.settings.Limit, neighbours); len(actions) > 0 {
		return actions
	}
	if !r.Measured || now.Sub(w.overLimitSince) < c.settings.EvictAfter || c.evictionTokens < 1 {
		return nil
	}
	victim, ok := SelectVictim(c.fullyThrottled(neighbours))
	if !ok {
		return nil
	}
	c.evictionTokens--
	w.overLimitSince = now
	return []Action{{Work: victim, Evict: true}}
}

// fullyThrottled returns the neighbours that are throttled to MinShare.
func (c *Controller) fullyThrottled(neighbours []Neighbour) []Neighbour {
	return slices.DeleteFunc(slices.Clone(neighbours), func(n Neighbour) bool {
		return n.Share > c.settings.MinShare
	})
}

// throttleMostInterfering halves the shares of the neighbours that interfere
// most, but to no less than MinShare, until the expected reduction of the
// interference covers the excess.
func (c *Controller) throttleMostInterfering(excess float64, neighbours []Neighbour) []Action {
	var actions []Action
	for _, n := range sortedByInterference(neighbours) {
		if excess <= 0 || n.Interference <= c.settings.MinInterference {
			break
		}
		share := max(c.settings.MinShare, n.Share/2)
		if share >= n.Share {
			continue
		}
		actions = append(actions, Action{Work: n.Work, Share: share})
		excess -= n.Interference * (1 - share/n.Share)
	}
	return actions
}

// handleBelowRelease doubles the share of one throttled neighbour once the
// excess has been below the release level for ReleaseAfter. It chooses the
// neighbour that interferes least among those with whose doubled share the
// expected excess stays within Limit.
func (c *Controller) handleBelowRelease(now time.Time, w *workerState, r Reading, neighbours []Neighbour) []Action {
	w.overLimitSince = time.Time{}
	if w.belowReleaseSince.IsZero() {
		w.belowReleaseSince = now
	}
	if now.Sub(w.belowReleaseSince) < c.settings.ReleaseAfter {
		return nil
	}
	ascending := sortedByInterference(neighbours)
	slices.Reverse(ascending)
	for _, n := range ascending {
		if n.Share >= 1 {
			continue
		}
		share := min(1, 2*n.Share)
		if r.Excess+n.Interference*(share/n.Share-1) > c.settings.Limit {
			continue
		}
		w.belowReleaseSince = now
		return []Action{{Work: n.Work, Share: share}}
	}
	return nil
}

// sortedByInterference returns the neighbours, the most interfering one first.
func sortedByInterference(neighbours []Neighbour) []Neighbour {
	sorted := slices.Clone(neighbours)
	slices.SortFunc(sorted, func(a, b Neighbour) int {
		return cmp.Or(cmp.Compare(b.Interference, a.Interference), cmp.Compare(a.Work, b.Work))
	})
	return sorted
}

// lossOffsetCoreSeconds is added to the work that an eviction loses. Without
// it, work that has just started would always be selected, although its
// eviction costs a restart even if no work is lost.
const lossOffsetCoreSeconds = 60

// SelectVictim returns the evictable neighbour with the highest ratio of its
// interference to the work that its eviction loses.
func SelectVictim(neighbours []Neighbour) (structs.WorkID, bool) {
	best, bestScore := structs.WorkID(""), math.Inf(-1)
	for _, n := range neighbours {
		if !n.Evictable || n.Interference <= 0 {
			continue
		}
		if score := n.Interference / (n.Lost + lossOffsetCoreSeconds); score > bestScore || (score == bestScore && n.Work < best) {
			best, bestScore = n.Work, score
		}
	}
	return best, best != ""
}
