package hostile

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdDuration bounds how long a crowd goes on sending.
	crowdDuration = 6 * time.Second
	// connectionBytes bounds what one connection of a crowd sends.
	connectionBytes = 24 << 20
	// writeBytes is about how much is sent at a time.
	writeBytes = 32 << 10
)

// crowd is a group of clients that all behave in the same way. Each opens one connection
// and reads nothing.
type crowd struct {
	connections int
	// begin returns what the client sends first. It may be empty.
	begin func(random *rand.Rand) string
	// next returns what it sends then, again and again. If next is nil, the client sends
	// nothing more and leaves the connection open.
	next func(random *rand.Rand) string
	// pause is the time between two writes.
	pause time.Duration
}

func text(s string) func(*rand.Rand) string { return func(*rand.Rand) string { return s } }

// fill repeats a text up to about writeBytes.
func fill(s string) func(*rand.Rand) string { return text(strings.Repeat(s, 1+writeBytes/len(s))) }

const (
	requestLine = "POST /jobs/0123456789abcdef HTTP/1.1\r\n"
	legalHead   = 16384 // bytes, the largest request head that is allowed
	legalBody   = 262144
)

// shortLines returns legal header lines, as short and as different as possible, that are
// size bytes long together.
func shortLines(random *rand.Rand, size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for b.Len() < size-6 {
		for range 3 {
			b.WriteByte(letters[random.IntN(len(letters))])
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// oddLines returns header lines of unusual forms that are size bytes long together.
func oddLines(random *rand.Rand, size int) string {
	forms := []string{"a:\r\n", "%d:\r\n", "!%d:    \r\n", "x-%d : y\r\n", "connection:%d\r\n", "trailer:%d\r\n", "cookie:a=%d\r\n"}
	var b strings.Builder
	for b.Len() < size-24 {
		form := forms[random.IntN(len(forms))]
		if strings.Contains(form, "%d") {
			form = fmt.Sprintf(form, random.IntN(10000))
		}
		b.WriteString(form)
	}
	return b.String()
}

var (
	// endlessHeads never end a header line, or the lines of a head.
	endlessHeads = []crowd{
		{connections: 20, begin: text(requestLine + "X-Long: "), next: fill("a")},
		{connections: 20, begin: text(requestLine), next: func(r *rand.Rand) string { return shortLines(r, writeBytes) }},
		{connections: 10, begin: text("GET /"), next: fill("a")},
		{connections: 10, begin: text(requestLine + "a:b\r\n"), next: fill(" ")},
	}
	// largeHeads exceed the limit of a head but end, and are sent again and again.
	largeHeads = []crowd{
		{connections: 40, next: text(requestLine + "X-Long: " + strings.Repeat("a", 200<<10) + "\r\n\r\n")},
	}
	emptyLines = []crowd{
		{connections: 20, next: fill("\r\n")},
		{connections: 20, next: fill("\n")},
	}
	// unreadAnswers pipeline small requests without the usual headers.
	unreadAnswers = []crowd{
		{connections: 20, next: fill("GET / HTTP/1.1\r\n\r\n")},
		{connections: 20, next: fill(requestLine + "Content-Length: 2\r\n\r\n{}")},
		{connections: 10, next: fill("GET /metrics HTTP/1.1\r\n\r\n")},
		{connections: 10, next: fill("GET /debug/vars HTTP/1.1\r\n\r\n")},
	}
	// unreadBodies pipeline requests with bodies of legal size.
	unreadBodies = []crowd{
		{connections: 40, next: text(requestLine + fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody) + strings.Repeat("[", legalBody))},
	}
	// manySteps pipeline jobs of legal size with very many empty steps.
	manySteps = []crowd{
		{connections: 120, next: text(requestLine + "Host: hostile.example\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", 90_002+len(`{"steps":[]}`)) + `{"steps":[` + strings.Repeat("{},", 30_000) + `{}]}`)},
	}
	// manyLines send heads of legal size that consist of very many lines.
	manyLines = []crowd{
		{connections: 30, next: func(r *rand.Rand) string { return "GET / HTTP/1.1\r\n" + shortLines(r, legalHead-64) + "\r\n" }},
		{connections: 30, next: func(r *rand.Rand) string { return "GET / HTTP/1.1\r\n" + oddLines(r, legalHead-64) + "\r\n" }},
		// Heads that lack their last line.
		{connections: 200, begin: func(r *rand.Rand) string { return "GET / HTTP/1.1\r\n" + shortLines(r, legalHead-64) }},
	}
	// slowRequests send heads and bodies a few bytes at a time.
	slowRequests = []crowd{
		{connections: 100, begin: text(requestLine + "X-Slow: "), next: text("a"), pause: 50 * time.Millisecond},
		{connections: 60, begin: text(requestLine + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 3_900_000)), next: text("x"), pause: 50 * time.Millisecond},
	}
	// silentConnections are more connections than the descriptors allow.
	silentConnections = []crowd{
		{connections: 2 * maxDescriptors},
	}
	// oddChunks have endless extensions, trailers and very small chunks.
	oddChunks = []crowd{
		{connections: 15, begin: text(requestLine + "Transfer-Encoding: chunked\r\n\r\n1;"), next: fill("a")},
		{connections: 15, begin: text(requestLine + "Transfer-Encoding: chunked\r\nTrailer: abc\r\n\r\n0\r\n"), next: fill("abc:d\r\n")},
		{connections: 15, begin: text(requestLine + "Transfer-Encoding: chunked\r\nTrailer: abc\r\n\r\n0\r\nabc:"), next: fill("d")},
		{connections: 15, begin: text(requestLine + "Transfer-Encoding: chunked\r\n\r\n"), next: fill("1\r\nx\r\n")},
		{connections: 15, begin: text(requestLine + "Transfer-Encoding: chunked\r\n\r\n"), next: fill("0000001;a=b\r\nx\r\n")},
	}
)

// play runs crowds against an address until their clients have sent all, have been cut
// off, or crowdDuration is over. It returns a function that closes their connections.
func play(address string, crowds []crowd) (closeAll func()) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	end := time.Now().Add(crowdDuration)
	for i, c := range crowds {
		for j := range c.connections {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), uint64(j)))
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					return
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				c.send(conn, random, end)
			})
		}
	}
	clients.Wait()
	return func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}

// send sends what the crowd's clients send on a connection.
func (c *crowd) send(conn net.Conn, random *rand.Rand, end time.Time) {
	_ = conn.SetDeadline(end)
	sent := 0
	write := func(s string) bool {
		n, err := conn.Write([]byte(s))
		sent += n
		return err == nil
	}
	if c.begin != nil && !write(c.begin(random)) {
		return
	}
	for c.next != nil && sent < connectionBytes && time.Now().Before(end) && write(c.next(random)) {
		time.Sleep(c.pause)
	}
}
