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

const testPollInterval = time.Second

// fakeTable is the platform's table and object store in memory.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	version uint64
	// changes holds every change that was ever written, also those whose rows were
	// deleted.
	changes     map[uint64]changeRecord
	objectsDown bool
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, objects: map[string][]byte{}, changes: map[uint64]changeRecord{}}
}

func (t *fakeTable) commit(tx platform.Transaction) (platform.CommitResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range tx.Conditions {
		if rowVersion := t.rows[c.Key].Version; rowVersion != c.Version {
			return platform.CommitResult{}, &platform.ConflictError{Key: c.Key, Version: rowVersion}
		}
	}
	t.version++
	for _, p := range tx.Puts {
		t.rows[p.Key] = platform.Row{Key: p.Key, Version: t.version, Value: p.Value}
		t.recordChange(p)
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

// recordChange records a change row that was written. It panics if the version already
// has a change.
func (t *fakeTable) recordChange(p platform.Put) {
	if !strings.HasPrefix(p.Key, keyChangePrefix) {
		return
	}
	c, err := decode[changeRecord]("change", p.Value)
	if err != nil {
		panic(err)
	}
	if first, ok := t.changes[c.Version]; ok {
		panic(fmt.Sprintf("version %d has two winners: %q and %q", c.Version, first.Operator, c.Operator))
	}
	t.changes[c.Version] = c
}

func (t *fakeTable) head() headRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, err := parseHead([]platform.Row{t.rows[keyHead]})
	if err != nil {
		panic(err)
	}
	return h.headRecord
}

func (t *fakeTable) change(version uint64) (changeRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.changes[version]
	return c, ok
}

// commitFault is the fault that affects one commit.
type commitFault int

const (
	faultNone commitFault = iota
	faultUnavailable
	// faultAnswerLost lets the write take effect, but loses its answer.
	faultAnswerLost
	// faultWriteDropped drops the write without reporting this to the writer.
	faultWriteDropped
	// faultWriteDelayed is like faultWriteDropped, but the write reaches the table
	// later.
	faultWriteDelayed
	// faultNoAnswer drops the write, and the call does not return before the caller's
	// context ends.
	faultNoAnswer
)

// tableLink is the connection of one instance to the table and the object store.
type tableLink struct {
	table         *fakeTable
	mu            sync.Mutex
	down          bool
	slow          bool
	faults        []commitFault
	delayedWrites []platform.Transaction
	// downAfterFault takes the link down at the next commit for which faults has an
	// entry.
	downAfterFault bool
	// latency, if set, draws the delays of calls, so that calls overlap.
	latency *rand.Rand
	// beforeCommit runs once, before the next commit reaches the table.
	beforeCommit func()
	// afterRead runs once, after the next read of the table.
	afterRead func()
}

func (l *tableLink) status() (bool, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.slow
}

// delay sleeps for a random time if latency is set. Reads and commits call it at their
// start and end.
func (l *tableLink) delay() {
	l.mu.Lock()
	var d time.Duration
	if l.latency != nil {
		d = time.Duration(l.latency.Intn(40)) * time.Millisecond
	}
	l.mu.Unlock()
	time.Sleep(d)
}

func (l *tableLink) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	l.delay()
	defer l.delay()
	down, slow := l.status()
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

// nextFault removes and returns the fault of the next commit, and the hook that runs
// before it.
func (l *tableLink) nextFault() (commitFault, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.beforeCommit
	l.beforeCommit = nil
	if l.down {
		return faultUnavailable, before
	}
	if len(l.faults) == 0 {
		return faultNone, before
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	if l.downAfterFault {
		l.down, l.downAfterFault = true, false
	}
	return f, before
}

func (l *tableLink) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	l.delay()
	defer l.delay()
	f, before := l.nextFault()
	if before != nil {
		before()
	}
	switch f {
	case faultUnavailable:
		return platform.CommitResult{}, platform.ErrUnavailable
	case faultAnswerLost:
		_, _ = l.table.commit(tx)
	case faultWriteDelayed:
		l.mu.Lock()
		l.delayedWrites = append(l.delayedWrites, tx)
		l.mu.Unlock()
	case faultNoAnswer:
		<-ctx.Done()
	case faultNone:
		return l.table.commit(tx)
	}
	return platform.CommitResult{}, platform.ErrOutcomeUnknown
}

// deliverDelayed commits the delayed writes to the table.
func (l *tableLink) deliverDelayed() {
	l.mu.Lock()
	writes := l.delayedWrites
	l.delayedWrites = nil
	l.mu.Unlock()
	for _, tx := range writes {
		_, _ = l.table.commit(tx)
	}
}

func (l *tableLink) setStatus(down, slow bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.slow = down, slow
}

func (l *tableLink) Put(_ context.Context, name string, data []byte) error {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.down || l.table.objectsDown {
		return platform.ErrUnavailable
	}
	l.table.objects[name] = data
	return nil
}

func (l *tableLink) Get(_ context.Context, name string) ([]byte, error) {
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

// cluster is a set of instances whose domains can be cut off from each other. Tests run
// it inside a synctest bubble, whose clock advances only while every goroutine waits.
type cluster struct {
	mu         sync.Mutex
	table      *fakeTable
	instances  []*instance
	cutDomains map[string]bool
}

// instance is an entry instance of a cluster, with its connection to the table.
type instance struct {
	cluster      *cluster
	name, domain string
	link         *tableLink
	store        *Store
	paused       bool // peers do not reach the instance
	pushesSent   atomic.Int64
}

// runInCluster runs a test inside a synctest bubble with a new cluster.
func runInCluster(t *testing.T, test func(t *testing.T, c *cluster), names ...string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newCluster(names...)) })
}

func newCluster(names ...string) *cluster {
	c := &cluster{table: newFakeTable(), cutDomains: map[string]bool{}}
	for _, name := range names {
		i := &instance{cluster: c, name: name, domain: name[:1], link: &tableLink{table: c.table}}
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

// restart replaces the store by a new one, as a new process would.
func (i *instance) restart() {
	store := New(Options{
		Name: i.name, Table: i.link, Objects: i.link, Peers: i, View: i.cluster, Clock: clockwork.NewRealClock(),
		Poll: testPollInterval, Limits: declaration.DefaultLimits(), Log: silentLog(),
	})
	store.snapshotInterval, store.keptChanges = 3, 6
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	i.store = store
}

func (c *cluster) Entries(string) []structs.Member {
	var members []structs.Member
	for _, i := range c.instances {
		members = append(members, structs.Member{Name: i.name, Domain: i.domain, Address: i.name})
	}
	return members
}

// dial returns the store of the instance at an address, if this instance reaches it.
func (i *instance) dial(address string) (*Store, error) {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	for _, target := range i.cluster.instances {
		if target.name != address {
			continue
		}
		if target.paused || (target.domain != i.domain && (i.cluster.cutDomains[target.domain] || i.cluster.cutDomains[i.domain])) {
			return nil, peer.ErrUnreachable
		}
		return target.store, nil
	}
	return nil, peer.ErrUnreachable
}

func (i *instance) Push(ctx context.Context, address string, m *peer.PushRequest) (*peer.PushResponse, error) {
	i.pushesSent.Add(1)
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
	return i.store.Apply(context.Background(), operator, base, testDeployment(variant))
}

func (i *instance) poll() {
	i.store.poll(context.Background())
}

// push sends the queued pushes.
func (i *instance) push() {
	for _, req := range i.store.pushes.Drain(pushQueueLength) {
		i.store.relayPush(context.Background(), req)
	}
}

func (i *instance) version() uint64 {
	_, version := i.store.Current()
	return version
}

// testDeployment returns a small deployment. Different variants have different entries.
func testDeployment(variant int) *declaration.Deployment {
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
