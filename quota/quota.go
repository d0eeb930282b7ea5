// Package quota orders waiting work by team quotas, weighted fair shares and
// age, and chooses which batch work makes room for urgent work.
package quota

import (
	"cmp"
	"slices"
	"time"

	"bergamotstile/structs"
)

// Team is a team's part of a shard.
type Team struct {
	// Weight is the team's claim relative to others; zero counts as one.
	Weight float64
	// Limit bounds what the team may hold; a zero dimension is unbounded.
	Limit structs.Resources
}

// Item is one work item that waits.
type Item struct {
	Team    string
	Class   structs.Class
	Size    structs.Resources
	Waiting time.Duration
}

// Settings holds the thresholds of ordering.
type Settings struct {
	// AgeLimit is the wait after which an item goes before all fair shares,
	// oldest first. It bounds the wait of an item of any team and size.
	AgeLimit time.Duration
}

// DefaultSettings returns the starting values.
func DefaultSettings() Settings {
	return Settings{AgeLimit: 15 * time.Minute}
}

// Aged reports whether an item has waited past the limit.
func (s Settings) Aged(i Item) bool {
	return i.Waiting >= s.AgeLimit
}

// Within reports whether a team may hold size more than it uses.
func (t Team) Within(used, size structs.Resources) bool {
	sum := used.Add(size)
	return (t.Limit.CPUMilli == 0 || sum.CPUMilli <= t.Limit.CPUMilli) &&
		(t.Limit.MemoryMB == 0 || sum.MemoryMB <= t.Limit.MemoryMB) &&
		(t.Limit.Accelerators == 0 || sum.Accelerators <= t.Limit.Accelerators)
}

// DominantShare returns the largest part of the capacity that used takes in
// any dimension.
func DominantShare(used, capacity structs.Resources) float64 {
	part := func(u, c int64) float64 {
		if c <= 0 {
			return 0
		}
		return float64(u) / float64(c)
	}
	return max(part(used.CPUMilli, capacity.CPUMilli),
		part(used.MemoryMB, capacity.MemoryMB),
		part(used.Accelerators, capacity.Accelerators))
}

// Order returns the positions of items in the order in which they are placed:
// urgent ones first, then aged ones by age, then the team with the lowest
// weighted dominant share at each step. Within a team, class and then age
// decide.
func Order(items []Item, used map[string]structs.Resources, teams map[string]Team, capacity structs.Resources, s Settings) []int {
	first, byTeam := split(items, s)
	order := make([]int, 0, len(items))
	order = append(order, first...)
	shares := newShares(byTeam, used, teams, capacity)
	for _, i := range first {
		shares.charge(items[i].Team, items[i].Size)
	}
	for {
		name, ok := shares.lowest(byTeam)
		if !ok {
			return order
		}
		next := byTeam[name][0]
		byTeam[name] = byTeam[name][1:]
		shares.charge(name, items[next].Size)
		order = append(order, next)
	}
}

// split returns the urgent and aged items in order, and the rest by team.
func split(items []Item, s Settings) ([]int, map[string][]int) {
	var first []int
	byTeam := map[string][]int{}
	for i, item := range items {
		if item.Class == structs.ClassUrgent || s.Aged(item) {
			first = append(first, i)
			continue
		}
		byTeam[item.Team] = append(byTeam[item.Team], i)
	}
	older := func(a, b int) int {
		return cmp.Or(cmp.Compare(items[a].Class, items[b].Class), cmp.Compare(items[b].Waiting, items[a].Waiting), cmp.Compare(a, b))
	}
	slices.SortFunc(first, func(a, b int) int {
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
		slices.SortFunc(list, older)
	}
	return first, byTeam
}

// shares tracks the weighted dominant share of each team while ordering.
type shares struct {
	names    []string // sorted, so that ties are decided alike in each run
	used     map[string]structs.Resources
	weighted map[string]float64
	teams    map[string]Team
	capacity structs.Resources
}

func newShares(byTeam map[string][]int, used map[string]structs.Resources, teams map[string]Team, capacity structs.Resources) *shares {
	s := &shares{used: map[string]structs.Resources{}, weighted: map[string]float64{}, teams: teams, capacity: capacity}
	for name := range byTeam {
		s.names = append(s.names, name)
		s.charge(name, used[name])
	}
	slices.Sort(s.names)
	return s
}

func (s *shares) charge(team string, size structs.Resources) {
	s.used[team] = s.used[team].Add(size)
	weight := s.teams[team].Weight
	if weight <= 0 {
		weight = 1
	}
	s.weighted[team] = DominantShare(s.used[team], s.capacity) / weight
}

func (s *shares) lowest(byTeam map[string][]int) (string, bool) {
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
