package httpserver

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
)

// Limits of what connections may hold. DefaultMaxHeadBytes is also the largest request head
// that the configurations of the deployments allow by default.
const (
	// DefaultMemoryBytes is the memory of a process whose settings do not give it.
	DefaultMemoryBytes = 160 << 20
	// DefaultMaxHeadBytes is the size of the largest request head that is accepted.
	DefaultMaxHeadBytes = 16384
	// memoryDivisor is the part of the process's memory that connections may hold together,
	// as a divisor.
	memoryDivisor = 4
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// minConnections is the least number of connections that is accepted, however few
	// descriptors there are.
	minConnections = 32
	// maxPipelined is the number of unanswered requests of a connection from which on
	// nothing more is read from it.
	maxPipelined = 16
	// maxPipelinedBytes is what the unanswered requests of a connection hold from which on
	// nothing more is read from it. It is more than one request of the usual limits holds.
	maxPipelinedBytes = 1 << 20
	// smallBytes is what a connection may hold without being slowed down while others are
	// being closed.
	smallBytes = 64 << 10
	// requestTimeout is the longest time that the receipt of one request may take.
	requestTimeout = 30 * time.Second
	// unreadTimeout is the longest time for which a client may read nothing of an answer.
	unreadTimeout = 30 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 30 * time.Second
	// refusalLinger is how long a connection stays open after a refusal that ends it, so
	// that the client can read the refusal before unread data resets the connection.
	refusalLinger = time.Second
	// sweepInterval is the interval at which the times above are checked.
	sweepInterval = time.Second
	// reportInterval is the shortest interval between two log lines with one reason.
	reportInterval = 5 * time.Second
)

// Estimated memory in bytes, for what a connection holds. They were chosen above the sizes
// of the objects that nbhttp and net/http allocate on 64-bit machines.
const (
	connectionCost = 2048 // the objects of an idle connection
	requestCost    = 2048 // an unanswered request without its lines and its body
	lineCost       = 192  // a header line, in addition to its bytes
	pieceCost      = 64   // a chunk of a body, in addition to its bytes
	byteCost       = 2    // a byte received: nbhttp copies it at least once
)

// Reasons for which a request is refused or a connection is closed. They are the names of
// counters, after the prefix "shed_".
const (
	reasonHead        = "head_too_large"
	reasonBody        = "body_too_large"
	reasonSlow        = "request_too_slow"
	reasonUnread      = "answers_unread"
	reasonMemory      = "memory"
	reasonConnections = "connections"
)

// Limits are those of a process, from which an Account derives its own.
type Limits struct {
	MemoryBytes int64 // of the process; zero selects DefaultMemoryBytes
	Descriptors int   // of the process; zero selects its resource limit
}

// Account records what the connections of all servers of a process hold, and closes the
// worst ones when they hold too much.
type Account struct {
	budget         int64 // bytes that all connections may hold
	maxConnections int
	maxHeadBytes   atomic.Int64
	log            logrus.FieldLogger
	count          func(name string, n int64)

	// mu protects the fields below and those of every guard that say so. No method of
	// a connection is called while it is held, since nbio calls back under locks of its own.
	mu     sync.Mutex
	guards map[*nbio.Conn]*guard
	// held is what the connections hold together, closingHeld the part of it of those
	// that are being closed.
	held, closingHeld int64
	// releasedHeld is the part of closingHeld that is free once the poller has closed the
	// connections.
	releasedHeld int64
	closing      int // number of connections that are being closed
	reports      map[string]*report
}

// report counts the events with one reason since the last log line.
type report struct {
	pending  int
	loggedAt time.Time
}

// NewAccount returns an account without connections. log and count may be nil.
func NewAccount(limits Limits, log logrus.FieldLogger, count func(name string, n int64)) *Account {
	if limits.MemoryBytes <= 0 {
		limits.MemoryBytes = DefaultMemoryBytes
	}
	a := &Account{
		budget:         limits.MemoryBytes / memoryDivisor,
		maxConnections: connectionsWithin(descriptorsWithin(limits.Descriptors)),
		log:            log,
		count:          count,
		guards:         map[*nbio.Conn]*guard{},
		reports:        map[string]*report{},
	}
	a.maxHeadBytes.Store(DefaultMaxHeadBytes)
	return a
}

// programBytes is the memory of a process that the Go runtime does not count: mostly the
// program itself.
const programBytes = 24 << 20

// HeapLimit returns the limit that the Go runtime should keep to (debug.SetMemoryLimit) in a
// process with that much memory, so that garbage does not use it up.
func HeapLimit(memoryBytes int64) int64 {
	const percent = 85 // the rest allows for growth between two garbage collections
	return max(memoryBytes*percent/100-programBytes, memoryBytes/4)
}

// descriptorsWithin returns the smaller one of a limit of descriptors, unless it is zero,
// and of the resource limit of the process.
func descriptorsWithin(limit int) int {
	var resource syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &resource); err != nil || resource.Cur > 1<<20 {
		resource.Cur = 1 << 20
	}
	if limit <= 0 {
		return int(resource.Cur)
	}
	return min(limit, int(resource.Cur))
}

// connectionsWithin returns the number of accepted connections that a number of
// descriptors allows. A third of what is not reserved is left for outgoing connections.
func connectionsWithin(descriptors int) int {
	return max(minConnections, (descriptors-reservedDescriptors)*2/3)
}

// SetMaxHeadBytes sets the size of the largest request head that is accepted. It never
// goes below DefaultMaxHeadBytes.
func (a *Account) SetMaxHeadBytes(n int64) {
	a.maxHeadBytes.Store(max(n, DefaultMaxHeadBytes))
}

// open adds a connection and puts its guard in front of its parser.
func (a *Account) open(server *Server, conn *nbio.Conn, parser *nbhttp.Parser) {
	now := time.Now()
	g := &guard{account: a, server: server, conn: conn, parser: parser, activeAt: now}
	g.attach()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.guards[conn] = g
	g.charge()
}

// forget removes a connection that has been closed and whose requests have ended.
func (a *Account) forget(conn *nbio.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.guards[conn]
	if g == nil {
		return
	}
	wasThrottling := a.isThrottling()
	delete(a.guards, conn)
	// A list of nbio (timer.Timer) refers to closed connections for some time, but not to
	// what their parsers hold.
	conn.SetSession(nil)
	a.held -= g.charged
	if g.isClosing {
		a.closingHeld -= g.charged
		a.releasedHeld -= g.released
		a.closing--
	}
	g.isForgotten = true
	if wasThrottling && !a.isThrottling() {
		a.resumeAll()
	}
}

// throttleDivisor is the part of the budget that connections which are being closed may hold
// before reading pauses for them to be gone, as a divisor.
const throttleDivisor = 8

// isThrottling reports whether connections that are being closed still hold so much that only
// small requests are read meanwhile. That takes as long as the poller needs to close them.
// The caller holds mu.
func (a *Account) isThrottling() bool { return a.releasedHeld > a.budget/throttleDivisor }

// resumeAll lets all connections go on that have paused and need not any more. The caller
// holds mu.
func (a *Account) resumeAll() {
	for _, g := range a.guards {
		if g.isPaused && !g.mustPause() {
			go g.pump()
		}
	}
}

// guardOf returns the guard of a connection, or nil after it was removed.
func (a *Account) guardOf(conn *nbio.Conn) *guard {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.guards[conn]
}

// markClosing marks a connection as one that is being closed. It charges nothing for one that has
// been forgotten. The caller holds mu and calls shutDown after it has released it.
func (a *Account) markClosing(g *guard) {
	if g.isClosing {
		return
	}
	g.isClosing = true
	if g.isForgotten {
		return
	}
	a.closing++
	a.closingHeld += g.charged
	a.releasedHeld += g.released
}

// takeLargest marks connections as closing, the one that holds most first, until the others
// hold no more than the budget, and returns them. The caller holds mu.
func (a *Account) takeLargest() (taken []*guard) {
	for a.held-a.closingHeld > a.budget {
		var largest *guard
		for _, g := range a.guards {
			if !g.isClosing && (largest == nil || g.charged > largest.charged) {
				largest = g
			}
		}
		if largest == nil {
			return taken
		}
		a.markClosing(largest)
		taken = append(taken, largest)
	}
	return taken
}

// shedMemory closes connections until the others hold no more than the budget.
func (a *Account) shedMemory() {
	a.mu.Lock()
	taken := a.takeLargest()
	a.mu.Unlock()
	shutDownAll(taken)
	a.report(reasonMemory, len(taken))
}

// shedBatchDivisor is the part of all connections that is closed at a time when there are too many,
// as a divisor. Closing several at once makes the search for them cheap.
const shedBatchDivisor = 64

// admit makes room for another connection if there are too many. It returns false if there
// is none, because the connections that it closed still exist.
func (a *Account) admit() bool {
	a.mu.Lock()
	var taken []*guard
	if len(a.guards)-a.closing >= a.maxConnections {
		taken = a.takeForClosing()
	}
	admitted := len(a.guards) < a.maxConnections+a.maxConnections/shedBatchDivisor+1
	a.mu.Unlock()
	shutDownAll(taken)
	a.report(reasonConnections, len(taken))
	if !admitted {
		a.report(reasonConnections, 1)
	}
	return admitted
}

// takeForClosing marks a batch of connections as closing and returns them: those that have
// never sent a request first, then idle ones, then those with an unfinished request, and
// among these those that have been so for longest. It takes none with a request in flight.
// The caller holds mu.
func (a *Account) takeForClosing() []*guard {
	var candidates []*guard
	for _, g := range a.guards {
		if !g.isClosing && len(g.inFlight) == 0 {
			candidates = append(candidates, g)
		}
	}
	slices.SortFunc(candidates, func(x, y *guard) int {
		return cmp.Or(cmp.Compare(x.closingOrder(), y.closingOrder()), x.activeAt.Compare(y.activeAt))
	})
	taken := candidates[:min(len(candidates), 1+len(a.guards)/shedBatchDivisor)]
	for _, g := range taken {
		a.markClosing(g)
	}
	return taken
}

func shutDownAll(guards []*guard) {
	for _, g := range guards {
		g.shutDown()
	}
}

// report counts n events and logs them, at most once per reportInterval for each reason.
func (a *Account) report(reason string, n int) {
	if n == 0 {
		return
	}
	if a.count != nil {
		a.count("shed_"+reason, int64(n))
	}
	if a.log == nil {
		return
	}
	a.mu.Lock()
	r := a.reports[reason]
	if r == nil {
		r = &report{}
		a.reports[reason] = r
	}
	r.pending += n
	events := r.pending
	isDue := time.Since(r.loggedAt) >= reportInterval
	if isDue {
		r.pending, r.loggedAt = 0, time.Now()
	}
	connections, held := len(a.guards), a.held
	a.mu.Unlock()
	if isDue {
		a.log.WithFields(logrus.Fields{"reason": reason, "events": events, "connections": connections, "held_kb": held >> 10}).Warn("client outside the limits")
	}
}

// sweep closes the connections of a server that have exceeded a time limit.
func (a *Account) sweep(server *Server, now time.Time) {
	var overdue []*guard
	counts := map[string]int{}
	var slow []*guard
	a.mu.Lock()
	for _, g := range a.guards {
		if g.server != server {
			continue
		}
		switch reason := g.overdue(now); reason {
		case "":
			continue
		case reasonSlow:
			slow = append(slow, g)
		case reasonUnread:
			counts[reason]++
			a.markClosing(g)
			overdue = append(overdue, g)
		default: // idle, or refused before
			a.markClosing(g)
			overdue = append(overdue, g)
		}
	}
	a.mu.Unlock()
	shutDownAll(overdue)
	for reason, n := range counts {
		a.report(reason, n)
	}
	for _, g := range slow {
		g.refuse(refusalSlow)
	}
}

// limitedListener accepts connections as far as an account admits them.
type limitedListener struct {
	net.Listener
	account *Account
}

// acceptRetryPause is the pause after a failed accept, as when no descriptor is free.
const acceptRetryPause = 20 * time.Millisecond

// Accept implements net.Listener. It returns an error only if the listener is closed.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err != nil && isTemporary(err):
			l.account.report(reasonConnections, 1)
			l.account.admit()
			time.Sleep(acceptRetryPause)
		case err != nil:
			return nil, err
		case l.account.admit():
			return conn, nil
		default:
			_ = conn.Close()
		}
	}
}

// isTemporary reports whether an accept may succeed later.
func isTemporary(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
