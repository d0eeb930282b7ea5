package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"bergamotstile/platform"
	"bergamotstile/structs"
)

// memberList is the membership list with its earlier versions, so that List can
// return the list as it was some time ago.
type memberList struct {
	current  map[string]structs.Member
	expiries map[string]time.Time
	versions []listVersion
}

// listVersion is one version of the list and the time from which it was valid.
type listVersion struct {
	validFrom  time.Time
	membership platform.Membership
}

func newMemberList(now time.Time) memberList {
	return memberList{
		current:  map[string]structs.Member{},
		expiries: map[string]time.Time{},
		versions: []listVersion{{validFrom: now}},
	}
}

// SetMember adds or replaces a member.
func (p *Platform) SetMember(m structs.Member) {
	p.SetMemberFor(m, 0)
}

// SetMemberFor adds or replaces a member. The member is removed if it is not set
// again within ttl; a ttl of zero keeps it until RemoveMember.
func (p *Platform) SetMemberFor(m structs.Member, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.members.removeExpired(now)
	delete(p.members.expiries, m.Name)
	if ttl > 0 {
		p.members.expiries[m.Name] = now.Add(ttl)
	}
	if current, ok := p.members.current[m.Name]; ok && current == m {
		return
	}
	p.members.current[m.Name] = m
	p.members.recordChange(now)
}

// RemoveMember removes a member from the list.
func (p *Platform) RemoveMember(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.members.removeExpired(now)
	p.members.remove(name, now)
}

// List returns the list as it was ListLagMS milliseconds ago, but never a version
// older than one that it returned before.
func (p *Platform) List(ctx context.Context) (platform.Membership, error) {
	drawn, err := p.injectFaults(ctx, membershipListFaultsOf, platform.ErrUnavailable)
	if err != nil {
		return platform.Membership{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	now := p.clock.Now()
	p.members.removeExpired(now)
	return p.members.membershipAt(now.Add(-millis(p.faults.ListLagMS))), drawn.readError()
}

func (l *memberList) remove(name string, now time.Time) {
	if _, ok := l.current[name]; !ok {
		return
	}
	delete(l.current, name)
	delete(l.expiries, name)
	l.recordChange(now)
}

// removeExpired removes the members whose TTL has passed.
func (l *memberList) removeExpired(now time.Time) {
	for name, expiry := range maps.Clone(l.expiries) {
		if !now.Before(expiry) {
			l.remove(name, now)
		}
	}
}

func (l *memberList) recordChange(now time.Time) {
	members := slices.SortedFunc(maps.Values(l.current), func(a, b structs.Member) int {
		return strings.Compare(a.Name, b.Name)
	})
	version := l.versions[len(l.versions)-1].membership.Version + 1
	l.versions = append(l.versions, listVersion{validFrom: now, membership: platform.Membership{Version: version, Members: members}})
}

// membershipAt returns the version of the list that was valid at time t. It
// discards older versions, so that a later call never returns an older version,
// even if the lag has grown.
func (l *memberList) membershipAt(t time.Time) platform.Membership {
	i := 0
	for i+1 < len(l.versions) && !l.versions[i+1].validFrom.After(t) {
		i++
	}
	l.versions = slices.Clone(l.versions[i:])
	membership := l.versions[0].membership
	membership.Members = slices.Clone(membership.Members)
	return membership
}
