package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// sharedTable is an in-process table that several instances use.
type sharedTable struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	delayed []platform.Transaction
	applied []platform.Transaction
}

func (t *sharedTable) apply(tx platform.Transaction) (platform.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if have := t.rows[c.Key].Version; have != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: have}
		}
	}
	t.version++
	for _, put := range tx.Puts {
		t.rows[put.Key] = platform.Row{Key: put.Key, Version: t.version, Value: put.Value}
	}
	t.applied = append(t.applied, tx)
	return platform.CommitResult{Version: t.version}, nil
}

func (t *sharedTable) deliverDelayed(i int) {
	tx := t.delayed[i]
	t.delayed = slices.Delete(t.delayed, i, i+1)
	_, _ = t.apply(tx)
}

// link is one instance's way to the table.
type link struct {
	table *sharedTable
	// fault draws what happens to a call; during runs while a call is on its
	// way, before and after it takes effect.
	fault  func(op string) fault
	during func()
}

type fault int

const (
	fine       fault = iota
	down             // no effect, and the caller knows
	lostAnswer       // effect, no answer
	lostCall         // no effect, no answer
	delayed          // effect later, no answer
)

func (l *link) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	f := l.fault("read")
	l.during()
	defer l.during()
	if f != fine {
		return nil, platform.ErrUnavailable
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := l.table.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (l *link) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (l *link) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	f := l.fault("commit")
	l.during()
	defer l.during()
	switch f {
	case down:
		return platform.CommitResult{}, platform.ErrUnavailable
	case lostCall:
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case delayed:
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		l.table.delayed = append(l.table.delayed, tx)
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case lostAnswer:
		_, _ = l.table.apply(tx)
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	}
	return l.table.apply(tx)
}

// domain is a few instances of one failure domain.
type domain struct {
	table    *sharedTable
	names    []string
	links    []*link
	managers []*Manager
	clock    *clockwork.FakeClock
	cut      func(from, to string) bool
	listed   []string // names on the list, if not all
	writes   atomic.Int64
	// promising counts calls to Promise under way. They come from several
	// goroutines, so they draw no faults.
	promising atomic.Int64
}

var shard = structs.ShardID{Domain: "d", Index: 0}

func newDomain(n int, clock clockwork.Clock, cfg Config) *domain {
	d := &domain{
		table: &sharedTable{rows: map[string]platform.Row{}},
		cut:   func(string, string) bool { return false },
	}
	d.clock, _ = clock.(*clockwork.FakeClock)
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		d.names = append(d.names, name)
		l := &link{table: d.table, fault: func(string) fault { return fine }, during: func() {}}
		d.links = append(d.links, l)
		cfg.Self = structs.Member{Name: name, Address: name, Domain: shard.Domain}
		d.managers = append(d.managers, NewManager(cfg, Dependencies{
			Table: l, Members: d, Peers: &from{d, name}, NewWriteID: d.newWriteID,
		}, clock))
	}
	return d
}

func (d *domain) newWriteID() string {
	return fmt.Sprintf("write-%d", d.writes.Add(1))
}

func (d *domain) Entries(string) []structs.Member {
	var members []structs.Member
	for _, name := range d.names {
		members = append(members, structs.Member{Name: name, Address: name, Domain: shard.Domain})
	}
	return members
}

func (d *domain) Listed(domain string) []structs.Member {
	members := d.Entries(domain)
	if d.listed == nil {
		return members
	}
	return slices.DeleteFunc(members, func(m structs.Member) bool { return !slices.Contains(d.listed, m.Name) })
}

// from is the peer calls of one instance.
type from struct {
	d    *domain
	name string
}

func (f *from) peer(address string) (*Manager, error) {
	if f.d.cut(f.name, address) {
		return nil, peer.ErrUnreachable
	}
	return f.d.managers[slices.Index(f.d.names, address)], nil
}

func (f *from) Promise(_ context.Context, address string, m *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	to, err := f.peer(address)
	if err != nil {
		return nil, err
	}
	f.d.promising.Add(1)
	defer f.d.promising.Add(-1)
	answer := to.Promise(*m)
	return &answer, nil
}

func (f *from) Probe(_ context.Context, address string, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	to, err := f.peer(address)
	if err != nil {
		return nil, err
	}
	answer := to.Probe(*m)
	return &answer, nil
}
