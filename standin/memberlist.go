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

// memberList is the list of instances with its past, from which lagging
// readings are served.
type memberList struct {
	current map[string]structs.Member
	expires map[string]time.Time
	past    []listChange
}

// listChange is the list as it stood from a time on.
type listChange struct {
	from    time.Time
	reading platform.Membership
}

func newMemberList(now time.Time) memberList {
	return memberList{
		current: map[string]structs.Member{},
		expires: map[string]time.Time{},
		past:    []listChange{{from: now}},
	}
}

// SetMember adds or replaces a member.
func (p *Platform) SetMember(m structs.Member) {
	p.SetMemberFor(m, 0)
}

// SetMemberFor adds or replaces a member that leaves the list when it is not
// set again within ttl. Zero keeps it.
func (p *Platform) SetMemberFor(m structs.Member, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.list.expire(now)
	delete(p.list.expires, m.Name)
	if ttl > 0 {
		p.list.expires[m.Name] = now.Add(ttl)
	}
	if old, ok := p.list.current[m.Name]; ok && old == m {
		return
	}
	p.list.current[m.Name] = m
	p.list.changed(now)
}

// RemoveMember takes a member off the list.
func (p *Platform) RemoveMember(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.list.expire(now)
	p.list.remove(name, now)
}

// List returns the list as it stood before the lag.
func (p *Platform) List(ctx context.Context) (platform.Membership, error) {
	v, err := p.admit(ctx, listPart, platform.ErrUnavailable)
	if err != nil {
		return platform.Membership{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	now := p.clock.Now()
	p.list.expire(now)
	return p.list.at(now.Add(-millis(p.faults.ListLagMS))), v.readError()
}

func (l *memberList) remove(name string, at time.Time) {
	if _, ok := l.current[name]; !ok {
		return
	}
	delete(l.current, name)
	delete(l.expires, name)
	l.changed(at)
}

// expire removes the members whose time is over.
func (l *memberList) expire(now time.Time) {
	for name, at := range maps.Clone(l.expires) {
		if !now.Before(at) {
			l.remove(name, now)
		}
	}
}

func (l *memberList) changed(at time.Time) {
	members := slices.SortedFunc(maps.Values(l.current), func(a, b structs.Member) int {
		return strings.Compare(a.Name, b.Name)
	})
	version := l.past[len(l.past)-1].reading.Version + 1
	l.past = append(l.past, listChange{from: at, reading: platform.Membership{Version: version, Members: members}})
}

// at returns the reading of a time and forgets older ones, so that readings
// never go back when the lag grows.
func (l *memberList) at(t time.Time) platform.Membership {
	i := 0
	for i+1 < len(l.past) && !l.past[i+1].from.After(t) {
		i++
	}
	l.past = slices.Clone(l.past[i:])
	reading := l.past[0].reading
	reading.Members = slices.Clone(reading.Members)
	return reading
}
