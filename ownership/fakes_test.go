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

// sharedTable is an in-memory table that all instances of a test share. It keeps the
// transactions that are delayed and, in order, those that were applied.
type sharedTable struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	delayed []platform.Transaction
	applied []platform.Transaction
}

// apply commits a transaction if its conditions hold.
func (t *sharedTable) apply(tx platform.Transaction) (platform.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if stored := t.rows[c.Key].Version; stored != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: stored}
		}
	}
	t.version++
	for _, put := range tx.Puts {
		t.rows[put.Key] = platform.Row{Key: put.Key, Version: t.version, Value: put.Value}
	}
	t.applied = append(t.applied, tx)
	return platform.CommitResult{Version: t.version}, nil
}

// deliverDelayed applies the delayed transaction with index i.
func (t *sharedTable) deliverDelayed(i int) {
	tx := t.delayed[i]
	t.delayed = slices.Delete(t.delayed, i, i+1)
	_, _ = t.apply(tx)
}

// tableLink is the connection of one instance to the shared table.
type tableLink struct {
	table *sharedTable
	// fault returns the fault of the call that begins. duringCall runs twice during each
	// call, before and after the call takes effect.
	fault      func(op string) fault
	duringCall func()
}

// fault is the way in which a call to the table fails.
type fault int

const (
	noFault      fault = iota
	unavailable        // the call has no effect and returns platform.ErrUnavailable
	lostAnswer         // the call takes effect, but its answer is lost
	lostCall           // the call has no effect and is not answered
	delayedWrite       // the call takes effect later and is not answered
)

func (l *tableLink) Read(_ context.Context, keys ...string) ([]platform.Row, error) {
	f := l.fault("read")
	l.duringCall()
	defer l.duringCall()
	if f != noFault {
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

func (l *tableLink) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errors.New("not used")
}

func (l *tableLink) Commit(_ context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	f := l.fault("commit")
	l.duringCall()
	defer l.duringCall()
	switch f {
	case unavailable:
		return platform.CommitResult{}, platform.ErrUnavailable
	case lostCall:
		return platform.CommitResult{}, platform.ErrOutcomeUnknown
	case delayedWrite:
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

// domain holds the instances of one failure domain and their shared table. It is
// also the membership view of all of them.
type domain struct {
	table       *sharedTable
	names       []string
	links       []*tableLink
	managers    []*Manager
	clock       *clockwork.FakeClock
	isCut       func(from, to string) bool // whether peer calls between two instances fail
	listedNames []string                   // names on the platform's list; nil means all
	writeCount  atomic.Int64
	// activePromises counts the calls to Promise that are in progress. Several
	// goroutines make these calls concurrently, so no faults are drawn during them.
	activePromises atomic.Int64
}

// shard is the only shard of the domain under test.
var shard = structs.ShardID{Domain: "d", Index: 0}

func newDomain(n int, clock clockwork.Clock, cfg Config) *domain {
	d := &domain{
		table: &sharedTable{rows: map[string]platform.Row{}},
		isCut: func(string, string) bool { return false },
	}
	d.clock, _ = clock.(*clockwork.FakeClock)
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		d.names = append(d.names, name)
		l := &tableLink{table: d.table, fault: func(string) fault { return noFault }, duringCall: func() {}}
		d.links = append(d.links, l)
		cfg.Self = structs.Member{Name: name, Address: name, Domain: shard.Domain}
		d.managers = append(d.managers, NewManager(cfg, Dependencies{
			Table: l, Members: d, Peers: &peerCalls{d, name}, NewWriteID: d.newWriteID,
		}, clock))
	}
	return d
}

func (d *domain) newWriteID() string {
	return fmt.Sprintf("write-%d", d.writeCount.Add(1))
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
	if d.listedNames == nil {
		return members
	}
	return slices.DeleteFunc(members, func(m structs.Member) bool { return !slices.Contains(d.listedNames, m.Name) })
}

// peerCalls makes the peer calls of the instance self.
type peerCalls struct {
	domain *domain
	self   string
}

func (c *peerCalls) manager(address string) (*Manager, error) {
	if c.domain.isCut(c.self, address) {
		return nil, peer.ErrUnreachable
	}
	return c.domain.managers[slices.Index(c.domain.names, address)], nil
}

func (c *peerCalls) Promise(_ context.Context, address string, m *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	target, err := c.manager(address)
	if err != nil {
		return nil, err
	}
	c.domain.activePromises.Add(1)
	defer c.domain.activePromises.Add(-1)
	answer := target.Promise(*m)
	return &answer, nil
}

func (c *peerCalls) Probe(_ context.Context, address string, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	target, err := c.manager(address)
	if err != nil {
		return nil, err
	}
	answer := target.Probe(*m)
	return &answer, nil
}
