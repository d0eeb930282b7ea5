package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// unlistedRetention is the time for which the view remembers when a member left the list.
// After that, the member counts as off the list since the first reading, which is even
// earlier. This is safe, as the member has by then been off the list for far longer than
// any lease.
const unlistedRetention = time.Hour

var errEmptyList = errors.New("list is empty, although it should contain this instance")

// listState holds the last accepted reading of the membership list and the times at
// which members left the list.
type listState struct {
	hasRead bool // at least one reading was accepted
	version uint64
	byName  map[string]structs.Member
	sorted  []structs.Member
	// memberGroups holds, for each group, the indexes in sorted of its members. The
	// request path looks for the runners of one service, which are a small part of the
	// list.
	memberGroups map[memberGroup][]int32
	// firstRead is the time at which the first reading was received, and lastRead the
	// time at which the last one was requested. An absence is counted from the receipt of
	// one reading to the request of another, so that it never appears longer than it is.
	firstRead time.Time
	lastRead  time.Time
	// unlistedSince holds, for each member that left the list, the time at which the first
	// reading without it was received.
	unlistedSince map[string]time.Time
}

// memberGroup identifies the members of one role in one domain; "" means all domains.
type memberGroup struct {
	role   structs.Role
	domain string
}

// indexGroups returns, for each group, the indexes in sorted of its members. Each member
// belongs to the group of its domain and to that of all domains.
func indexGroups(sorted []structs.Member) map[memberGroup][]int32 {
	groups := map[memberGroup][]int32{}
	for i, m := range sorted {
		allDomains, ownDomain := memberGroup{role: m.Role}, memberGroup{m.Role, m.Domain}
		groups[allDomains] = append(groups[allDomains], int32(i))
		if ownDomain != allDomains {
			groups[ownDomain] = append(groups[ownDomain], int32(i))
		}
	}
	return groups
}

func newListState() listState {
	return listState{byName: map[string]structs.Member{}, unlistedSince: map[string]time.Time{}}
}

// members returns the listed members of a role and a domain for which match is true, or
// all of them if match is nil, in the order of their names.
func (l *listState) members(role structs.Role, domain string, match func(structs.Member) bool) []structs.Member {
	var matching []structs.Member
	for _, i := range l.memberGroups[memberGroup{role, domain}] {
		if m := l.sorted[i]; match == nil || match(m) {
			matching = append(matching, m)
		}
	}
	return matching
}

func (l *listState) isLeaving(name string) bool {
	return l.byName[name].State == structs.MemberLeaving
}

// unlistedFor returns for how long the readings show that a member has been off the list:
// the time from the receipt of the first reading without the member, after the last one
// with it, to the request of the last reading. It is zero for a member that is on the list.
// A member that no reading contained counts as off the list since the first reading.
func (l *listState) unlistedFor(name string) time.Duration {
	if _, listed := l.byName[name]; listed || !l.hasRead {
		return 0
	}
	since, ok := l.unlistedSince[name]
	if !ok {
		since = l.firstRead
	}
	return max(l.lastRead.Sub(since), 0)
}

// acceptReading stores a reading that was requested at sentAt and received at now. It
// rejects an empty reading and one that is older than the last.
func (l *listState) acceptReading(reading platform.Membership, sentAt, now time.Time) error {
	switch {
	case len(reading.Members) == 0:
		return errEmptyList
	case reading.Version < l.version:
		return fmt.Errorf("list went back from version %d to %d", l.version, reading.Version)
	}
	if l.hasRead && reading.Version == l.version {
		// The version grows with each change of the list, so nothing has changed.
		l.recordRead(sentAt)
		l.pruneUnlisted(now)
		return nil
	}
	listed := make(map[string]structs.Member, len(reading.Members))
	for _, m := range reading.Members {
		listed[m.Name] = m
	}
	l.updateUnlisted(listed, now)
	if !l.hasRead {
		l.firstRead = now
	}
	l.recordRead(sentAt)
	l.hasRead, l.version, l.byName = true, reading.Version, listed
	l.sorted = slices.SortedFunc(slices.Values(reading.Members), compareByName)
	l.memberGroups = indexGroups(l.sorted)
	return nil
}

// updateUnlisted records the time at which members left the list, for those that the new
// list no longer contains, and forgets this time for members that it contains again.
func (l *listState) updateUnlisted(listed map[string]structs.Member, now time.Time) {
	for name := range l.byName {
		if _, ok := listed[name]; !ok {
			l.unlistedSince[name] = now
		}
	}
	for name := range l.unlistedSince {
		if _, ok := listed[name]; ok {
			delete(l.unlistedSince, name)
		}
	}
	l.pruneUnlisted(now)
}

// pruneUnlisted forgets when members left the list if that was more than
// unlistedRetention ago.
func (l *listState) pruneUnlisted(now time.Time) {
	for name, since := range l.unlistedSince {
		if now.Sub(since) > unlistedRetention {
			delete(l.unlistedSince, name)
		}
	}
}

// recordRead records the time at which a successful reading was requested.
func (l *listState) recordRead(sentAt time.Time) {
	if sentAt.After(l.lastRead) {
		l.lastRead = sentAt
	}
}

// applyReading updates the view with a reading of the list that was requested at sentAt
// and received at now.
func (v *View) applyReading(reading platform.Membership, sentAt, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.list.acceptReading(reading, sentAt, now); err != nil {
		return err
	}
	if v.syncPeers() {
		signal(v.peersAdded)
	}
	if v.syncRunners() {
		signal(v.runnersAdded)
	}
	return nil
}

// signal wakes the receiver of c, unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
