package httpserver

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// readBytes is the size of the buffer into which a connection is read.
	readBytes = 32 << 10
	// readsAtATime is the number of reads after which other connections get their turn.
	readsAtATime = 8
	// headSliceBytes is how many bytes of a head are parsed at a time. It bounds by how
	// much a connection may exceed its limits before they are checked.
	headSliceBytes = 2 << 10
	// chunkSliceBytes is the same for a chunked body.
	chunkSliceBytes = 8 << 10
	// maxFramedBytes bounds the size of a chunked body with its framing.
	maxFramedBytes = 2*MaxBodyBytes + 64<<10
)

var readBuffers = sync.Pool{New: func() any {
	b := make([]byte, readBytes)
	return &b
}}

// refusal is the response to a request that is refused because of a limit. No part of
// such a request has been carried out.
type refusal struct {
	status int
	reason string
}

var (
	refusalHead = &refusal{http.StatusRequestHeaderFieldsTooLarge, reasonHead}
	refusalBody = &refusal{http.StatusRequestEntityTooLarge, reasonBody}
	refusalSlow = &refusal{http.StatusRequestTimeout, reasonSlow}
)

func (r *refusal) response() []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", r.status, http.StatusText(r.status))
}

// phase is the part of a request that a connection receives next.
type phase int

const (
	betweenRequests phase = iota
	inHead
	inBody
	inChunkedBody
)

// guard stands between a connection and the parser of nbhttp. It reads from the connection
// only as much as its account allows, passes that to the parser in small pieces, and records
// what the connection holds after each of them.
type guard struct {
	account *Account
	server  *Server
	conn    *nbio.Conn

	// The goroutine that has set isPumping uses these fields.
	parser    *nbhttp.Parser
	phase     phase
	rest      []byte // received and not parsed yet, because the guard is paused
	bodyLeft  int    // bytes of the body that are missing, if its length is known
	isTooLong bool   // the body is announced to be larger than MaxBodyBytes
	// isDirect is set while the guard passes a body to the processor itself, bodyLength is
	// the length of the body.
	isDirect   bool
	bodyLength int
	// hasCompleted is set if a request has ended in the piece that is being parsed.
	hasCompleted bool

	// The fields below are protected by account.mu.
	isPumping, pumpAgain bool
	isPaused             bool // has stopped reading before the end of what was sent
	isClosing            bool
	isForgotten          bool
	hasSentRequest       bool
	refusal              *refusal
	refusedAt            time.Time // when the refusal was sent
	// received, lines and pieces are those of the unfinished request.
	received, lines, pieces int64
	restBytes               int64
	inFlight                []int64 // what each unanswered request holds
	unsent                  int64   // bytes of answers
	inFlightHeld            int64   // sum of inFlight
	// charged is what the account has recorded, released the part of it that is free as
	// soon as the connection is closed, which is all but the requests in flight.
	charged, released int64
	beganAt           time.Time
	writtenAt         time.Time
	activeAt          time.Time // last start or end of a request
}

// closingOrder orders connections by how much their clients lose if they are closed.
func (g *guard) closingOrder() int {
	switch {
	case g.received > 0:
		return 2
	case g.hasSentRequest:
		return 1
	default:
		return 0
	}
}

// overdue returns which time limit the connection has exceeded: the reason, "idle", or
// nothing. The caller holds account.mu.
func (g *guard) overdue(now time.Time) string {
	switch {
	case g.isClosing:
		return "closing" // shut down again, in case the first one came too early
	case !g.refusedAt.IsZero():
		if now.Sub(g.refusedAt) >= refusalLinger {
			return "refused"
		}
		return ""
	case g.unsent > 0:
		if now.Sub(g.writtenAt) > unreadTimeout {
			return reasonUnread
		}
		return ""
	case len(g.inFlight) > 0 || g.refusal != nil:
		return ""
	case g.received > 0:
		if now.Sub(g.beganAt) > requestTimeout {
			return reasonSlow
		}
		return ""
	case now.Sub(g.activeAt) > idleTimeout:
		return "idle"
	}
	return ""
}

// charge records in the account what the connection holds. The caller holds account.mu. It
// reports whether all connections hold too much.
func (g *guard) charge() (isOverBudget bool) {
	released := connectionCost + g.unfinishedCost() + g.restBytes + g.unsent
	held := released + g.inFlightHeld
	a := g.account
	if !g.isForgotten {
		a.held += held - g.charged
		if g.isClosing {
			a.closingHeld += held - g.charged
			a.releasedHeld += released - g.released
		}
	}
	g.charged, g.released = held, released
	return a.held-a.closingHeld > a.budget
}

func (g *guard) unfinishedCost() int64 {
	return byteCost*g.received + lineCost*g.lines + pieceCost*g.pieces
}

// mustPause reports whether nothing more may be read. The caller holds account.mu.
func (g *guard) mustPause() bool {
	return g.isClosing || g.refusal != nil || g.unsent > 0 ||
		len(g.inFlight) >= maxPipelined || g.inFlightHeld > maxPipelinedBytes ||
		g.charged > smallBytes && g.account.isThrottling()
}

// update changes fields that account.mu protects, records what the connection holds then,
// and closes the worst connections if all of them hold too much. It returns whether reading
// must pause.
func (g *guard) update(change func()) (mustPause bool) {
	a := g.account
	a.mu.Lock()
	change()
	isOverBudget := g.charge()
	mustPause = g.mustPause()
	a.mu.Unlock()
	if isOverBudget {
		a.shedMemory()
		a.mu.Lock()
		mustPause = g.mustPause()
		a.mu.Unlock()
	}
	return mustPause
}

// attach puts the guard between the connection and its parser.
func (g *guard) attach() {
	parser := g.parser
	parser.Processor = &countingProcessor{Processor: parser.Processor, guard: g}
	if conn, ok := parser.Conn.(*nbhttp.Conn); ok {
		parser.Conn = &countedConn{Conn: conn, guard: g}
	}
	parser.Execute = func(job func()) bool {
		g.update(g.completeRequest)
		ran := g.conn.Execute(func() {
			defer g.endRequest()
			if !g.isDropped() {
				job()
			}
		})
		if !ran {
			g.endRequest()
		}
		return ran
	}
}

// isDropped reports whether the account closes the connection. Requests that wait on it are
// not carried out any more: nobody gets their answers, and they hold memory.
func (g *guard) isDropped() bool {
	g.account.mu.Lock()
	defer g.account.mu.Unlock()
	return g.isClosing
}

// completeRequest turns the unfinished request into one in flight.
func (g *guard) completeRequest() {
	cost := requestCost + g.unfinishedCost()
	g.inFlight = append(g.inFlight, cost)
	g.inFlightHeld += cost
	g.received, g.lines, g.pieces = 0, 0, 0
	g.hasSentRequest = true
	g.activeAt = time.Now()
}

// endRequest removes the oldest request in flight, after its answer was passed to the
// connection.
func (g *guard) endRequest() {
	var isLast bool
	g.update(func() {
		g.inFlightHeld -= g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		isLast = len(g.inFlight) == 0
		if isLast {
			g.inFlight = nil
		}
		g.activeAt = time.Now()
	})
	if isLast {
		g.sendRefusal()
	}
	g.resume()
}

// resume continues to read if the guard has paused and need not any more.
func (g *guard) resume() {
	g.account.mu.Lock()
	isDue := g.isPaused && !g.mustPause()
	g.account.mu.Unlock()
	if isDue {
		go g.pump()
	}
}

// written records that n bytes of answers were sent. nbio holds a lock of the connection.
func (g *guard) written(n int) {
	a := g.account
	a.mu.Lock()
	g.unsent = max(0, g.unsent-int64(n))
	g.writtenAt = time.Now()
	g.charge()
	isDue := g.isPaused && !g.mustPause()
	a.mu.Unlock()
	if isDue {
		go g.pump()
	}
}

// progress is the outcome of reading from a connection.
type progress int

const (
	drained progress = iota // nothing more was sent
	paused
	unfinished // there may be more
)

// pump reads from the connection and parses what it reads, until nothing more was sent or
// the guard must pause. Only one goroutine does so at a time.
func (g *guard) pump() {
	a := g.account
	a.mu.Lock()
	if g.isPumping {
		g.pumpAgain = true
		a.mu.Unlock()
		return
	}
	g.isPumping = true
	a.mu.Unlock()
	g.pumpOn()
}

// pumpOn is pump for the goroutine that has set isPumping.
func (g *guard) pumpOn() {
	a := g.account
	for {
		outcome := g.read()
		if outcome == unfinished {
			go g.pumpOn()
			return
		}
		a.mu.Lock()
		if g.pumpAgain || outcome == paused && !g.mustPause() {
			g.pumpAgain = false
			a.mu.Unlock()
			continue
		}
		g.isPaused = outcome == paused
		g.isPumping = false
		a.mu.Unlock()
		return
	}
}

func (g *guard) isPausing() bool {
	g.account.mu.Lock()
	defer g.account.mu.Unlock()
	return g.mustPause()
}

// read reads and parses a bounded amount.
func (g *guard) read() progress {
	if g.isPausing() {
		return paused
	}
	if len(g.rest) > 0 && !g.parse(g.rest) {
		return paused
	}
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	for range readsAtATime {
		n, err := g.conn.Read(*buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err != nil, n <= 0:
			return drained // nothing to read, or an event for the closed connection follows
		case !g.parse((*buffer)[:n]):
			return paused
		case n < len(*buffer):
			return drained // the next data raises a new event
		}
	}
	return unfinished
}

// parse passes data to the parser, piece by piece, until the guard must pause. It keeps the
// rest and returns false then.
func (g *guard) parse(data []byte) bool {
	for len(data) > 0 {
		n, wasInBody, wasInHead := g.nextPiece(data), g.phase == inBody, g.phase == inHead
		if err := g.pass(data[:n]); err != nil {
			g.fail(err)
			return false
		}
		g.isDirect = g.phase == inBody && (g.isDirect || wasInHead && n == len(endOfLine) && g.bodyLeft > 0)
		data = data[n:]
		mustPause := g.update(func() { g.receive(n, wasInBody) })
		if refusal := g.check(); refusal != nil {
			g.keep(nil)
			g.refuse(refusal)
			return false
		}
		if mustPause && len(data) > 0 {
			g.keep(data)
			return false
		}
	}
	g.keep(nil)
	return !g.isPausing()
}

// keep keeps data that was received and not parsed.
func (g *guard) keep(data []byte) {
	if len(data) == 0 && len(g.rest) == 0 {
		return
	}
	g.rest = append([]byte(nil), data...)
	g.update(func() { g.restBytes = int64(len(data)) })
}

// noBody stands for a body that the processor has received already. It is never read.
var noBody [MaxBodyBytes]byte

// pass passes a piece to the parser. A body whose length is known goes to the processor
// instead, and only its length to the parser: the parser would collect the body in a buffer
// that grows piece by piece, and what it outgrows is garbage of several times its size.
func (g *guard) pass(piece []byte) error {
	if !g.isDirect {
		return g.parser.Parse(piece)
	}
	if err := g.parser.Processor.OnBody(g.parser, piece); err != nil {
		return err
	}
	if len(piece) < g.bodyLeft {
		return nil
	}
	return g.parser.Parse(noBody[:g.bodyLength])
}

var (
	endOfLine = []byte("\r\n")
	endOfHead = []byte("\r\n\r\n")
)

// nextPiece returns how much of data is parsed next. A piece ends with the lines of a
// head, its empty line, or the body if these are found in data, so that each request is
// counted by itself and a body begins with a piece.
func (g *guard) nextPiece(data []byte) int {
	switch g.phase {
	case inBody:
		if g.bodyLeft > 0 {
			return min(len(data), g.bodyLeft)
		}
		return min(len(data), chunkSliceBytes)
	case inChunkedBody:
		return min(len(data), chunkSliceBytes)
	}
	piece := data[:min(len(data), headSliceBytes)]
	if g.phase == inHead && bytes.HasPrefix(piece, endOfLine) {
		return len(endOfLine)
	}
	if i := bytes.Index(piece, endOfHead); i >= 0 {
		return i + len(endOfLine) // the empty line is a piece of its own
	}
	return len(piece)
}

// receive records n bytes that were parsed for the unfinished request. It leaves out a piece
// in which an earlier request has ended, since it does not know which part of it is whose.
// The caller holds account.mu.
func (g *guard) receive(n int, isBody bool) {
	if g.hasCompleted {
		g.hasCompleted = false
		return
	}
	if isBody {
		g.bodyLeft -= n
	}
	if g.received == 0 {
		g.beganAt = time.Now()
		g.activeAt = g.beganAt
	}
	g.received += int64(n)
}

// check returns the refusal of the unfinished request, or nil if it is within the limits.
func (g *guard) check() *refusal {
	g.account.mu.Lock()
	defer g.account.mu.Unlock()
	switch {
	case g.isTooLong:
		return refusalBody
	case (g.phase == inHead || g.phase == betweenRequests) && g.received > g.account.maxHeadBytes.Load():
		return refusalHead
	case g.phase == inChunkedBody && g.received > maxFramedBytes:
		return refusalBody
	}
	return nil
}

// fail ends a connection whose data cannot be parsed.
func (g *guard) fail(err error) {
	g.keep(nil)
	if errors.Is(err, nbhttp.ErrTooLong) {
		g.refuse(refusalBody)
		return
	}
	g.close()
}

// refuse stops reading and refuses the unfinished request. The refusal is sent after the
// answers to earlier requests, which clients would take it for otherwise.
func (g *guard) refuse(r *refusal) {
	a := g.account
	a.mu.Lock()
	isFirst := g.refusal == nil && !g.isClosing
	if isFirst {
		g.refusal = r
	}
	a.mu.Unlock()
	if !isFirst {
		return
	}
	a.report(r.reason, 1)
	g.sendRefusal()
}

// sendRefusal sends the refusal if there is one and all earlier answers were passed on.
func (g *guard) sendRefusal() {
	a := g.account
	a.mu.Lock()
	r := g.refusal
	isDue := r != nil && len(g.inFlight) == 0 && g.refusedAt.IsZero()
	if isDue {
		g.refusedAt = time.Now()
	}
	a.mu.Unlock()
	if isDue {
		_, _ = g.conn.Write(r.response())
	}
}

// close closes the connection.
func (g *guard) close() {
	a := g.account
	a.mu.Lock()
	a.markClosing(g)
	a.mu.Unlock()
	g.shutDown()
}

// shutDown makes the poller close the connection, which it does when it sees that both
// directions are shut down. nbio finds connections by their descriptor: if another goroutine
// closed the connection, an event for it that is still queued would hit the next connection
// with the same descriptor.
func (g *guard) shutDown() {
	if closed, _ := g.conn.IsClosed(); closed {
		return
	}
	raw, err := g.conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
}

// countingProcessor tells a guard what its parser finds.
type countingProcessor struct {
	nbhttp.Processor
	guard *guard

	// mu orders the guard's own calls of OnBody and the end of the connection, which frees
	// the request.
	mu       sync.Mutex
	isClosed bool
}

// Close is called when the connection has been closed.
func (p *countingProcessor) Close(parser *nbhttp.Parser, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	p.Processor.Close(parser, err)
}

// OnMethod is called at the start of a request.
func (p *countingProcessor) OnMethod(parser *nbhttp.Parser, method string) {
	p.guard.phase = inHead
	p.Processor.OnMethod(parser, method)
}

// OnHeader is called for each header line.
func (p *countingProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	p.guard.addLine()
	p.Processor.OnHeader(parser, key, value)
}

// OnTrailerHeader is called for each line of a trailer.
func (p *countingProcessor) OnTrailerHeader(parser *nbhttp.Parser, key, value string) {
	p.guard.addLine()
	p.Processor.OnTrailerHeader(parser, key, value)
}

// OnContentLength is called at the end of a head. The length is negative if the request
// has none.
func (p *countingProcessor) OnContentLength(parser *nbhttp.Parser, length int) {
	p.guard.beginBody(length)
	p.Processor.OnContentLength(parser, length)
}

// OnBody is called for each piece of a body.
func (p *countingProcessor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.guard.account.mu.Lock()
	p.guard.pieces++
	p.guard.account.mu.Unlock()
	if p.guard.isDirect && len(data) > 0 && &data[0] == &noBody[0] {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return net.ErrClosed
	}
	return p.Processor.OnBody(parser, data)
}

// OnComplete is called at the end of a request.
func (p *countingProcessor) OnComplete(parser *nbhttp.Parser) {
	p.guard.phase, p.guard.hasCompleted = betweenRequests, true
	p.Processor.OnComplete(parser)
}

func (g *guard) addLine() {
	g.account.mu.Lock()
	g.lines++
	g.account.mu.Unlock()
}

// beginBody records the end of a head. Without a length, the body is chunked or there is
// none; in the latter case the end of the request follows.
func (g *guard) beginBody(length int) {
	g.phase, g.bodyLeft = inChunkedBody, 0
	if length >= 0 {
		g.phase, g.bodyLeft, g.bodyLength = inBody, length, length
	}
	g.isTooLong = length > MaxBodyBytes
}

// countedConn is the connection of a parser. It counts the bytes of answers that were not
// sent yet.
type countedConn struct {
	*nbhttp.Conn
	guard *guard
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.guard.update(func() {
		if c.guard.unsent == 0 {
			c.guard.writtenAt = time.Now()
		}
		c.guard.unsent += int64(len(b))
	})
	return c.Conn.Write(b)
}
