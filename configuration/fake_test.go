package configuration

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/declaration"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

const testPoll = time.Second

// fakeTable is the platform's table and object store in memory.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	version uint64
	// changes keeps every change row that was ever written, also pruned ones.
	changes     map[uint64]change
	objectsDown bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, objects: map[string][]byte{}, changes: map[uint64]change{}}
}

func (t *fakeTable) commit(tx platform.Transaction) (platform.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if at := t.rows[c.Key].Version; at != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: at}
		}
	}
	t.version++
	for _, p := range tx.Puts {
		t.rows[p.Key] = platform.Row{Key: p.Key, Version: t.version, Value: p.Value}
		t.record(p)
	}
	for _, key := range tx.Deletes {
		delete(t.rows, key)
	}
	return platform.CommitResult{Version: t.version}, nil
}

func (t *fakeTable) read(keys []string) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// record refuses a second winner of a version.
func (t *fakeTable) record(p platform.Put) {
	if !strings.HasPrefix(p.Key, keyChangePrefix) {
		return
	}
	c, err := decode[change]("change", p.Value)
	if err != nil {
		panic(err)
	}
	if first, ok := t.changes[c.Version]; ok {
		panic(fmt.Sprintf("version %d has two winners: %q and %q", c.Version, first.Operator, c.Operator))
	}
	t.changes[c.Version] = c
}

func (t *fakeTable) head() head {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, err := parseHead([]platform.Row{t.rows[keyHead]})
	if err != nil {
		panic(err)
	}
	return h.head
}

func (t *fakeTable) change(version uint64) (change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.changes[version]
	return c, ok
}

// fault is what happens to one commit.
type fault int

const (
	faultNone fault = iota
	faultDown
	// faultLost: the write takes effect, its answer is lost.
	faultLost
	// faultDropped: the write has no effect, which the writer does not learn.
	faultDropped
	// faultLate: as faultDropped, but the write takes effect later, if it can.
	faultLate
	// faultSlow: no answer before the caller gives up.
	faultSlow
)

// link is one instance's way to the table and the object store.
type link struct {
	table  *fakeTable
	mu     sync.Mutex
	down   bool
	slow   bool
	faults []fault
	late   []platform.Transaction
	// blackout takes the link down after the next faulty commit.
	blackout bool
	// latency, if set, delays calls so that they overlap.
	latency *rand.Rand
	// before runs once before the next commit reaches the table.
	before func()
	// afterRead runs once after the next read of the table.
	afterRead func()
}

func (l *link) state() (bool, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.slow
}

// delay is called before and after each call.
func (l *link) delay() {
	l.mu.Lock()
	var d time.Duration
	if l.latency != nil {
		d = time.Duration(l.latency.Intn(40)) * time.Millisecond
	}
	l.mu.Unlock()
	time.Sleep(d)
}

func (l *link) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	l.delay()
	defer l.delay()
	down, slow := l.state()
	if slow {
		<-ctx.Done()
		return nil, fmt.Errorf("%w: %v", platform.ErrUnavailable, ctx.Err())
	}
	if down {
		return nil, platform.ErrUnavailable
	}
	rows := l.table.read(keys)
	if hook := l.afterRead; hook != nil {
		l.afterRead = nil
		hook()
	}
	return rows, nil
}

// nextFault consumes the fault of one commit.
func (l *link) nextFault() (fault, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.before
	l.before = nil
	if l.down {
		return faultDown, before
	}
	if len(l.faults) == 0 {
		return faultNone, before
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	if l.blackout {
		l.down, l.blackout = true, false
	}
	return f, before
}

func (l *link) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	l.delay()
	defer l.delay()
	f, before := l.nextFault()
	if before != nil {
		before()
	}
	switch f {
	case faultDown:
		return platform.CommitResult{}, platform.ErrUnavailable
	case faultLost:
		_, _ = l.table.commit(tx)
	case faultLate:
		l.mu.Lock()
		l.late = append(l.late, tx)
		l.mu.Unlock()
	case faultSlow:
		<-ctx.Done()
	case faultNone:
		return l.table.commit(tx)
	}
	return platform.CommitResult{}, platform.ErrOutcomeUnknown
}

// deliverLate lets late writes reach the table.
func (l *link) deliverLate() {
	l.mu.Lock()
	late := l.late
	l.late = nil
	l.mu.Unlock()
	for _, tx := range late {
		_, _ = l.table.commit(tx)
	}
}

func (l *link) set(down, slow bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.slow = down, slow
}

func (l *link) Put(_ context.Context, name string, data []byte) error {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.down || l.table.objectsDown {
		return platform.ErrUnavailable
	}
	l.table.objects[name] = data
	return nil
}

func (l *link) Get(_ context.Context, name string) ([]byte, error) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.down || l.table.objectsDown {
		return nil, platform.ErrUnavailable
	}
	data, ok := l.table.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

// cluster is a set of instances that can be cut from each other. Tests run it
// inside a synctest bubble, whose clock moves only while every goroutine waits.
type cluster struct {
	mu        sync.Mutex
	table     *fakeTable
	instances []*instance
	cut       map[string]bool
}

type instance struct {
	c            *cluster
	name, domain string
	link         *link
	store        *Store
	paused       bool
	sent         atomic.Int64
}

// inCluster runs a test inside a bubble with a cluster of its own.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster), names ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newCluster(names...)) })
}

func newCluster(names ...string) *cluster {
	c := &cluster{table: newFakeTable(), cut: map[string]bool{}}
	for _, name := range names {
		i := &instance{c: c, name: name, domain: name[:1], link: &link{table: c.table}}
		c.instances = append(c.instances, i)
		i.restart()
	}
	return c
}

func silentLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// restart replaces the store by a fresh one, as a new process would.
func (i *instance) restart() {
	store := New(Options{
		Name: i.name, Table: i.link, Objects: i.link, Peers: i, View: i.c, Clock: clockwork.NewRealClock(),
		Poll: testPoll, Limits: declaration.DefaultLimits(), Log: silentLog(),
	})
	store.snapshotEvery, store.keepChanges = 3, 6
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	i.store = store
}

func (c *cluster) Entries(string) []structs.Member {
	var members []structs.Member
	for _, i := range c.instances {
		members = append(members, structs.Member{Name: i.name, Domain: i.domain, Address: i.name})
	}
	return members
}

func (i *instance) dial(address string) (*Store, error) {
	i.c.mu.Lock()
	defer i.c.mu.Unlock()
	for _, to := range i.c.instances {
		if to.name != address {
			continue
		}
		if to.paused || (to.domain != i.domain && (i.c.cut[to.domain] || i.c.cut[i.domain])) {
			return nil, peer.ErrUnreachable
		}
		return to.store, nil
	}
	return nil, peer.ErrUnreachable
}

func (i *instance) Push(ctx context.Context, address string, m *peer.PushRequest) (*peer.PushResponse, error) {
	i.sent.Add(1)
	store, err := i.dial(address)
	if err != nil {
		return nil, err
	}
	response, err := store.Push(ctx, *m)
	return &response, err
}

func (i *instance) Fetch(ctx context.Context, address string, m *peer.FetchRequest) (*peer.FetchResponse, error) {
	store, err := i.dial(address)
	if err != nil {
		return nil, err
	}
	response, err := store.Fetch(ctx, *m)
	return &response, err
}

func (i *instance) apply(operator string, base uint64, variant int) (uint64, error) {
	return i.store.Apply(context.Background(), operator, base, deployment(variant))
}

func (i *instance) poll() {
	i.store.poll(context.Background())
}

// push sends the pushes that wait, and no others.
func (i *instance) push() {
	for _, req := range i.store.pushes.Drain(pushQueue) {
		i.store.relay(context.Background(), req)
	}
}

func (i *instance) version() uint64 {
	_, version := i.store.Current()
	return version
}

// deployment returns one of several small deployments.
func deployment(variant int) *declaration.Deployment {
	size := structs.Resources{CPUMilli: 1000, MemoryMB: 1000}
	d := &declaration.Deployment{
		Name:            "test",
		Objective:       declaration.Objective{TailLatency: float64(variant)},
		ShardsPerDomain: 1,
		WorkerShapes:    []declaration.WorkerShape{{Name: "w", Capacity: size}},
		Domains:         []declaration.Domain{{Name: "a"}, {Name: "b"}},
	}
	for k := range variant {
		d.Teams = append(d.Teams, declaration.Team{Name: fmt.Sprint("team-", k), Quota: size, Weight: 1})
	}
	return d
}
