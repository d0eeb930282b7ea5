package membership

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// goneRetention bounds the memory of members that left the list. A member
// forgotten after it counts as gone since the first reading, which is earlier
// still, and it has then been gone for far longer than any lease.
const goneRetention = time.Hour

var errEmptyList = errors.New("list has no members, although this instance is one")

// listState is the last accepted reading and what readings have shown since.
type listState struct {
	read    bool
	version uint64
	byName  map[string]structs.Member
	sorted  []structs.Member
	// groups holds the positions in sorted of the members of each group. The
	// request path asks for one service's runners, which are few of the list.
	groups map[group][]int32
	// firstRead is when the answer of the first reading was in, lastRead when
	// the last one was asked for. Intervals between the two are never too long.
	firstRead time.Time
	lastRead  time.Time
	goneSince map[string]time.Time
}

// group is the members of one role in one domain; "" means all domains.
type group struct {
	role   structs.Role
	domain string
}

func groupsOf(sorted []structs.Member) map[group][]int32 {
	groups := map[group][]int32{}
	for i, m := range sorted {
		all, own := group{role: m.Role}, group{m.Role, m.Domain}
		groups[all] = append(groups[all], int32(i))
		if own != all {
			groups[own] = append(groups[own], int32(i))
		}
	}
	return groups
}

func newListState() listState {
	return listState{byName: map[string]structs.Member{}, goneSince: map[string]time.Time{}}
}

// members returns the listed members that match, in the order of their names.
func (l *listState) members(role structs.Role, domain string, match func(structs.Member) bool) []structs.Member {
	var out []structs.Member
	for _, i := range l.groups[group{role, domain}] {
		if m := l.sorted[i]; match == nil || match(m) {
			out = append(out, m)
		}
	}
	return out
}

func (l *listState) leaving(name string) bool {
	return l.byName[name].State == structs.MemberLeaving
}

// goneFor is the time between the first reading without the name and the last
// reading.
func (l *listState) goneFor(name string) time.Duration {
	if _, listed := l.byName[name]; listed || !l.read {
		return 0
	}
	since, ok := l.goneSince[name]
	if !ok {
		since = l.firstRead
	}
	return max(l.lastRead.Sub(since), 0)
}

// accept takes a reading that was asked for at sent and received at now. A
// reading older than the last one shows nothing new.
func (l *listState) accept(reading platform.Membership, sent, now time.Time) error {
	switch {
	case len(reading.Members) == 0:
		return errEmptyList
	case reading.Version < l.version:
		return fmt.Errorf("list went back from version %d to %d", l.version, reading.Version)
	}
	if l.read && reading.Version == l.version {
		// The version grows with each change, so there is nothing to merge.
		l.noteRead(sent)
		l.pruneGone(now)
		return nil
	}
	listed := make(map[string]structs.Member, len(reading.Members))
	for _, m := range reading.Members {
		listed[m.Name] = m
	}
	l.noteGone(listed, now)
	if !l.read {
		l.firstRead = now
	}
	l.noteRead(sent)
	l.read, l.version, l.byName = true, reading.Version, listed
	l.sorted = slices.SortedFunc(slices.Values(reading.Members), byName)
	l.groups = groupsOf(l.sorted)
	return nil
}

func (l *listState) noteGone(listed map[string]structs.Member, now time.Time) {
	for name := range l.byName {
		if _, ok := listed[name]; !ok {
			l.goneSince[name] = now
		}
	}
	for name := range l.goneSince {
		if _, ok := listed[name]; ok {
			delete(l.goneSince, name)
		}
	}
	l.pruneGone(now)
}

// pruneGone forgets members that left the list long ago.
func (l *listState) pruneGone(now time.Time) {
	for name, since := range l.goneSince {
		if now.Sub(since) > goneRetention {
			delete(l.goneSince, name)
		}
	}
}

// noteRead notes when a successful reading was asked for.
func (l *listState) noteRead(sent time.Time) {
	if sent.After(l.lastRead) {
		l.lastRead = sent
	}
}

// applyList merges a reading into the view.
func (v *View) applyList(reading platform.Membership, sent, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.list.accept(reading, sent, now); err != nil {
		return err
	}
	if v.syncPeers() {
		kick(v.peerKick)
	}
	if v.syncRunners() {
		kick(v.probeKick)
	}
	return nil
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
