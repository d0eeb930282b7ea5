package coordinator

import (
	"slices"
	"time"

	"bergamotstile/interference"
	"bergamotstile/structs"
)

// demandKey identifies work for which the same runners have no capacity.
type demandKey struct {
	service           string
	kind              interference.Kind
	bestEffort        bool
	waitedForFullPace bool
	rank              rank
}

// demandKey returns the key of the step's demand. Only best-effort work is also
// distinguished by image and rank, on which the processors that it can get depend.
func (s *openStep) demandKey(now time.Duration) demandKey {
	key := demandKey{service: s.job.queue.Service, bestEffort: s.step.BestEffort, waitedForFullPace: s.hasWaitedForFullPace(now)}
	if s.step.BestEffort {
		key.kind, key.rank = s.kind, s.precedence.rank
	}
	return key
}

// fullScanInterval is the time after which all runners are compared again for work that
// found no runner, since some obstacles end by the passing of time, without a change of a
// runner.
const fullScanInterval = 200 * time.Millisecond

const (
	// maxRescans bounds the comparisons of all runners in one round that are made only because
	// fullScanInterval has passed. While hundreds of steps wait, such comparisons would make
	// rounds so long that new jobs and the ends of runs wait for them.
	maxRescans = 16
	// maxFullScanAge is the time after which all runners are compared in any case.
	maxFullScanAge = time.Second
)

// failedSearch records that no runner could take work that asks for at least leastRequested.
type failedSearch struct {
	leastRequested structs.Resources
	lastChange     uint64        // number of the newest change at that time
	fullScanAt     time.Duration // when all runners were last compared
}

// maxFailedSearches bounds the failed searches that are kept for one demand.
const maxFailedSearches = 8

// failedSearches holds, for each demand, the last searches that found no runner. They make it
// unnecessary to compare all runners again for each of many equal tasks and, in the next
// scheduling rounds, to compare those that have not changed. With hundreds of runners and a
// backlog, these comparisons would take most of the coordinator's processor time. Several searches are
// kept because tasks of one demand differ in size: a search for a small task also holds for
// larger ones, but not the other way round.
type failedSearches struct {
	byDemand map[demandKey][]failedSearch
	// rescansLeft is how many comparisons of all runners may still be made in this round because
	// fullScanInterval has passed.
	rescansLeft int
}

func newFailedSearches() failedSearches {
	return failedSearches{byDemand: map[demandKey][]failedSearch{}, rescansLeft: maxRescans}
}

// isCurrent reports whether only runners that have changed since the search have to be compared.
// For a starved step, which may start where others may not, a search does not hold longer than
// fullScanInterval.
func (searches *failedSearches) isCurrent(failed *failedSearch, isStarved bool, now time.Duration) bool {
	age := now - failed.fullScanAt
	return age < fullScanInterval || searches.rescansLeft == 0 && !isStarved && age < maxFullScanAge
}

// find returns the newest failed search that also holds for the step's next task, or nil. A
// search for other work also holds for a step that needs a label or has a limit of tasks per
// runner, since the step can use no more runners.
func (searches *failedSearches) find(s *openStep, now time.Duration) *failedSearch {
	if !s.canUseFailedSearches() {
		return nil
	}
	var newest *failedSearch
	kept := searches.byDemand[s.demandKey(now)]
	for i := range kept {
		failed := &kept[i]
		if searches.isCurrent(failed, s.starved, now) && failed.leastRequested.Fits(s.step.Resources) && (newest == nil || failed.lastChange > newest.lastChange) {
			newest = failed
		}
	}
	own := &s.ownFailedSearch
	if own.lastChange > 0 && own.waitedForFullPace == s.hasWaitedForFullPace(now) && own.rank == s.precedence.rank && searches.isCurrent(&own.failedSearch, s.starved, now) &&
		(newest == nil || own.lastChange > newest.lastChange) {
		newest = &own.failedSearch
	}
	return newest
}

// ownFailedSearch is the last search that found no runner for a step which needs a label or has a
// limit of tasks per runner, so that it does not hold for other work.
type ownFailedSearch struct {
	failedSearch
	waitedForFullPace bool
	rank              rank
}

// canUseFailedSearches reports whether the step can use no runner that other work with its demand
// key can't use. Reservations and tickets are exceptions.
func (s *openStep) canUseFailedSearches() bool {
	return s.reservationCount == 0 && !s.job.queue.RequiresTicket
}

// hasWaitedForFullPace reports whether a best-effort task of the step starts also where it can
// run at a reduced pace only.
func (s *openStep) hasWaitedForFullPace(now time.Duration) bool {
	return now-s.waitingSince >= fullPaceWait
}

// scanSince returns the number of the change after which a runner must have changed to be
// compared for the step's next task, or zero if all runners have to be compared.
func (searches *failedSearches) scanSince(s *openStep, now time.Duration) uint64 {
	if failed := searches.find(s, now); failed != nil {
		return failed.lastChange
	}
	if s.ownFailedSearch.lastChange > 0 || s.hasSharedDemand() && len(searches.byDemand[s.demandKey(now)]) > 0 {
		searches.rescansLeft = max(0, searches.rescansLeft-1)
	}
	return 0
}

// hasSharedDemand reports whether the step finds the same runners full as other work with
// its demand key. Reservations, a label, a limit of tasks per runner or the need for advice
// make a difference.
func (s *openStep) hasSharedDemand() bool {
	return s.reservationCount == 0 && s.step.RequiredLabel == "" && s.step.MaxPerRunner == 0 && !s.job.queue.RequiresTicket
}

// record records that no runner was found among those that changed after since, or among all
// runners if since is zero.
func (searches *failedSearches) record(s *openStep, since, lastChange uint64, now time.Duration) {
	if !s.canUseFailedSearches() {
		return
	}
	if !s.hasSharedDemand() {
		fullScanAt := now
		if since > 0 {
			if failed := searches.find(s, now); failed != nil {
				fullScanAt = failed.fullScanAt
			}
		}
		s.ownFailedSearch = ownFailedSearch{failedSearch{s.step.Resources, lastChange, fullScanAt}, s.hasWaitedForFullPace(now), s.precedence.rank}
		return
	}
	if since > 0 {
		if failed := searches.find(s, now); failed != nil {
			failed.lastChange = lastChange
		}
		return
	}
	key := s.demandKey(now)
	kept := slices.DeleteFunc(searches.byDemand[key], func(failed failedSearch) bool {
		return now-failed.fullScanAt >= maxFullScanAge || s.step.Resources.Fits(failed.leastRequested)
	})
	if len(kept) == maxFailedSearches {
		kept = slices.Delete(kept, 0, 1)
	}
	searches.byDemand[key] = append(kept, failedSearch{s.step.Resources, lastChange, now})
}
