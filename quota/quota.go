// Package quota orders waiting work by team quotas, weighted fair shares and
// age, and selects the batch work to preempt for urgent work.
package quota

import (
	"cmp"
	"slices"
	"time"

	"bergamotstile/structs"
)

// Team holds the weight and the limit of a team within one shard.
type Team struct {
	// Weight is the team's share relative to other teams; zero counts as one.
	Weight float64
	// Limit bounds the sizes of the team's running work; a dimension of zero is
	// unbounded.
	Limit structs.Resources
}

// Item is one waiting work item.
type Item struct {
	Team    string
	Class   structs.Class
	Size    structs.Resources
	Waiting time.Duration
}

// Settings holds the thresholds of ordering.
type Settings struct {
	// AgeLimit is the wait after which an item goes before all items that are
	// ordered by fair share, oldest first. It bounds the wait of an item of any
	// team and size.
	AgeLimit time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{AgeLimit: 15 * time.Minute}
}

// IsAged reports whether an item has waited for at least AgeLimit.
func (s Settings) IsAged(i Item) bool {
	return i.Waiting >= s.AgeLimit
}

// Allows reports whether a team that uses used may use size in addition.
func (t Team) Allows(used, size structs.Resources) bool {
	sum := used.Add(size)
	return (t.Limit.CPUMilli == 0 || sum.CPUMilli <= t.Limit.CPUMilli) &&
		(t.Limit.MemoryMB == 0 || sum.MemoryMB <= t.Limit.MemoryMB) &&
		(t.Limit.Accelerators == 0 || sum.Accelerators <= t.Limit.Accelerators)
}

// DominantShare returns the largest part of the capacity that used takes in any
// dimension.
func DominantShare(used, capacity structs.Resources) float64 {
	fraction := func(u, c int64) float64 {
		if c <= 0 {
			return 0
		}
		return float64(u) / float64(c)
	}
	return max(fraction(used.CPUMilli, capacity.CPUMilli),
		fraction(used.MemoryMB, capacity.MemoryMB),
		fraction(used.Accelerators, capacity.Accelerators))
}

// Order returns the indexes of items in the order in which they are to be
// placed: urgent items first, oldest first; then aged items, oldest first;
// then, at each step, the next item of the team with the lowest weighted
// dominant share. A team's items are ordered by class, and within a class
// oldest first.
func Order(items []Item, used map[string]structs.Resources, teams map[string]Team, capacity structs.Resources, s Settings) []int {
	prioritised, byTeam := splitPrioritised(items, s)
	order := make([]int, 0, len(items))
	order = append(order, prioritised...)
	tracker := newShareTracker(byTeam, used, teams, capacity)
	for _, i := range prioritised {
		tracker.charge(items[i].Team, items[i].Size)
	}
	for {
		name, ok := tracker.teamWithLowestShare(byTeam)
		if !ok {
			return order
		}
		next := byTeam[name][0]
		byTeam[name] = byTeam[name][1:]
		tracker.charge(name, items[next].Size)
		order = append(order, next)
	}
}

// splitPrioritised returns the indexes of the urgent and aged items, and those
// of the other items by team. Each list is sorted as Order describes.
func splitPrioritised(items []Item, s Settings) ([]int, map[string][]int) {
	var prioritised []int
	byTeam := map[string][]int{}
	for i, item := range items {
		if item.Class == structs.ClassUrgent || s.IsAged(item) {
			prioritised = append(prioritised, i)
			continue
		}
		byTeam[item.Team] = append(byTeam[item.Team], i)
	}
	byClassAndAge := func(a, b int) int {
		return cmp.Or(cmp.Compare(items[a].Class, items[b].Class), cmp.Compare(items[b].Waiting, items[a].Waiting), cmp.Compare(a, b))
	}
	slices.SortFunc(prioritised, func(a, b int) int {
		urgentA, urgentB := items[a].Class == structs.ClassUrgent, items[b].Class == structs.ClassUrgent
		if urgentA != urgentB {
			if urgentA {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(items[b].Waiting, items[a].Waiting), cmp.Compare(a, b))
	})
	for _, list := range byTeam {
		slices.SortFunc(list, byClassAndAge)
	}
	return prioritised, byTeam
}

// shareTracker tracks the weighted dominant share of each team during ordering.
type shareTracker struct {
	names    []string // sorted, so that ties are decided the same way in each run
	used     map[string]structs.Resources
	weighted map[string]float64
	teams    map[string]Team
	capacity structs.Resources
}

func newShareTracker(byTeam map[string][]int, used map[string]structs.Resources, teams map[string]Team, capacity structs.Resources) *shareTracker {
	s := &shareTracker{used: map[string]structs.Resources{}, weighted: map[string]float64{}, teams: teams, capacity: capacity}
	for name := range byTeam {
		s.names = append(s.names, name)
		s.charge(name, used[name])
	}
	slices.Sort(s.names)
	return s
}

// charge adds size to the use of a team and updates its weighted dominant
// share.
func (s *shareTracker) charge(team string, size structs.Resources) {
	s.used[team] = s.used[team].Add(size)
	weight := s.teams[team].Weight
	if weight <= 0 {
		weight = 1
	}
	s.weighted[team] = DominantShare(s.used[team], s.capacity) / weight
}

// teamWithLowestShare returns the team with the lowest weighted dominant share
// among those that still have items, or false if none has.
func (s *shareTracker) teamWithLowestShare(byTeam map[string][]int) (string, bool) {
	best, found := "", false
	for _, name := range s.names {
		if len(byTeam[name]) == 0 {
			continue
		}
		if !found || s.weighted[name] < s.weighted[best] {
			best, found = name, true
		}
	}
	return best, found
}
