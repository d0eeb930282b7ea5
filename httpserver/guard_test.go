package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// startEcho starts a server that answers with the size of the body, and returns it with the
// number of requests that its handler has seen.
func startEcho(t *testing.T, account *Account) (*Server, *atomic.Int64) {
	t.Helper()
	var handled atomic.Int64
	server, err := account.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server, &handled
}

func dial(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// expect reads a response and checks its status and, unless it is empty, its body.
func expect(t *testing.T, reader *bufio.Reader, status int, body string) {
	t.Helper()
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != status || body != "" && string(got) != body {
		t.Fatalf("status %d, body %q, error %v; want %d, %q", res.StatusCode, got, err, status, body)
	}
}

// headOf returns a request head of exactly size bytes that consists of short lines.
func headOf(size int, first string) string {
	head := "POST / HTTP/1.1\r\nHost: x\r\n" + first
	for i := 0; len(head) < size-20; i++ {
		head += fmt.Sprintf("%x:\r\n", i)
	}
	return head + "z:" + strings.Repeat("v", size-len(head)-6) + "\r\n\r\n"
}

// Guards against limits that requests of legal size meet: the largest head, made of very
// many lines, the largest body, and a few requests at a time on one connection.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	server, _ := startEcho(t, NewAccount(Limits{}, nil, nil))
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	const requests = 5
	head := headOf(DefaultMaxHeadBytes, "Content-Length: 262144\r\n")
	if len(head) != DefaultMaxHeadBytes {
		t.Fatalf("head of %d bytes", len(head))
	}
	go func() {
		for range requests {
			_, _ = io.WriteString(conn, head+strings.Repeat("b", 262144))
		}
		_, _ = io.WriteString(conn, headOf(DefaultMaxHeadBytes, fmt.Sprintf("Content-Length: %d\r\n", MaxBodyBytes))+strings.Repeat("b", MaxBodyBytes))
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", 262144)+"0\r\n\r\n")
	}()
	for range requests {
		expect(t, reader, http.StatusOK, "262144")
	}
	expect(t, reader, http.StatusOK, fmt.Sprint(MaxBodyBytes))
	expect(t, reader, http.StatusOK, "262144")
}

// Guards against a refusal that a client takes for the answer to an earlier request, and
// against one of a request that was passed on.
func TestRefusalsComeInOrderAndAreTrue(t *testing.T) {
	tests := []struct {
		name    string
		request string
		status  int
	}{
		{"head too large", "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 2*DefaultMaxHeadBytes), http.StatusRequestHeaderFieldsTooLarge},
		{"method too long", strings.Repeat("G", 2*DefaultMaxHeadBytes), http.StatusRequestHeaderFieldsTooLarge},
		{"too many lines", "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", DefaultMaxHeadBytes), http.StatusRequestHeaderFieldsTooLarge},
		{"announced body too large", fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", MaxBodyBytes+1), http.StatusRequestEntityTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, handled := startEcho(t, NewAccount(Limits{}, nil, nil))
			conn := dial(t, server)
			go func() { _, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"+test.request) }()
			reader := bufio.NewReader(conn)
			expect(t, reader, http.StatusOK, "2")
			expect(t, reader, test.status, "")
			if n := handled.Load(); n != 1 {
				t.Errorf("%d requests were handled", n)
			}
		})
	}
}

// Guards against a server that goes on reading from a client that does not read its answers,
// and against one that does not go on once the client reads them.
func TestNothingIsReadWhileAnswersAreUnread(t *testing.T) {
	const answerBytes, requests = 64 << 10, 2000
	account := NewAccount(Limits{}, nil, nil)
	var handled atomic.Int64
	server, err := account.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		_, _ = w.Write(make([]byte, answerBytes))
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn := dial(t, server)
	go func() { _, _ = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\n\r\n", requests)) }()
	// The kernel takes some answers without the client; their number no longer grows then.
	for last := int64(-1); last != handled.Load(); time.Sleep(200 * time.Millisecond) {
		last = handled.Load()
	}
	if n := handled.Load(); n == 0 || n > requests/2 {
		t.Errorf("%d of %d requests were handled for a client that reads nothing", n, requests)
	}
	reader := bufio.NewReader(conn)
	for range requests {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, res.Body); n != answerBytes || err != nil {
			t.Fatal(n, err)
		}
	}
}

// Guards against an account that loses or keeps what connections held.
func TestAccountIsEmptyAfterConnectionsClose(t *testing.T) {
	account := NewAccount(Limits{}, nil, nil)
	server, _ := startEcho(t, account)
	for i := range 20 {
		conn := dial(t, server)
		_, _ = io.WriteString(conn, strings.Repeat("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", i)+"GET / HTTP/1.1\r\nX")
		_ = conn.Close()
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		account.mu.Lock()
		connections, held, closing := len(account.guards), account.held, account.closingHeld
		account.mu.Unlock()
		if connections == 0 && held == 0 && closing == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections hold %d bytes, %d of them closing", connections, held, closing)
		}
	}
}

// Guards against an account that keeps for ever what a connection held, because its guard closes it, for
// data that can't be parsed, when the connection has been closed and forgotten already.
func TestCloseOfAForgottenConnectionIsNotCharged(t *testing.T) {
	account := NewAccount(Limits{}, nil, nil)
	server, _ := startEcho(t, account)
	client := dial(t, server)
	_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na")
	var conn *nbio.Conn
	for deadline := time.Now().Add(10 * time.Second); conn == nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		account.mu.Lock()
		for c := range account.guards {
			conn = c
		}
		account.mu.Unlock()
	}
	g := account.guardOf(conn)
	account.forget(conn)
	g.close()
	account.mu.Lock()
	defer account.mu.Unlock()
	if account.closing != 0 || account.closingHeld != 0 || account.releasedHeld != 0 || account.held != 0 {
		t.Errorf("%d connections are closing and hold %d bytes, %d of them released; all hold %d", account.closing, account.closingHeld, account.releasedHeld, account.held)
	}
}

// Guards against an ordinary caller that is closed before those that hold more.
func TestLargestConnectionsAreClosedFirst(t *testing.T) {
	account := NewAccount(Limits{MemoryBytes: 8 << 20}, nil, nil)
	server, _ := startEcho(t, account)
	ordinary := dial(t, server)
	_, _ = io.WriteString(ordinary, "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na")
	for range 10 {
		conn := dial(t, server)
		go func() {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("b", 900_000))
		}()
	}
	// Of the ten, two at most fit into the budget.
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		account.mu.Lock()
		connections, held := len(account.guards), account.held
		account.mu.Unlock()
		if connections <= 3 && held <= account.budget {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections hold %d bytes", connections, held)
		}
	}
	_, _ = io.WriteString(ordinary, "b")
	expect(t, bufio.NewReader(ordinary), http.StatusOK, "2")
}

// Guards against connections without requests that keep ordinary callers out.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	server, _ := startEcho(t, NewAccount(Limits{Descriptors: 1}, nil, nil)) // minConnections
	caller := dial(t, server)
	reader := bufio.NewReader(caller)
	_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	expect(t, reader, http.StatusOK, "0")
	for range 10 * minConnections {
		dial(t, server)
	}
	_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	expect(t, reader, http.StatusOK, "0")
}

// Guards against a time limit that does not end, or one that ends a connection for which the
// server itself works.
func TestOverdueConnections(t *testing.T) {
	now := time.Now()
	long := now.Add(-time.Hour)
	tests := []struct {
		name string
		g    guard
		want string
	}{
		{"idle for long", guard{activeAt: long}, "idle"},
		{"idle", guard{activeAt: now}, ""},
		{"slow request", guard{activeAt: long, received: 1, beganAt: long}, reasonSlow},
		{"new request", guard{activeAt: long, received: 1, beganAt: now}, ""},
		{"request in flight", guard{activeAt: long, inFlight: []int64{1}}, ""},
		{"unread answer", guard{activeAt: long, unsent: 1, writtenAt: long}, reasonUnread},
		{"answer that is being read", guard{activeAt: long, unsent: 1, writtenAt: now}, ""},
		{"refused long ago", guard{refusal: refusalHead, refusedAt: long}, "refused"},
		{"refused", guard{refusal: refusalHead, refusedAt: now}, ""},
	}
	for _, test := range tests {
		if got := test.g.overdue(now); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

// FuzzGuard checks that a guard never lets a connection hold much more than its limits,
// whatever the client sends and however it is split.
func FuzzGuard(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1;e=f\r\nx\r\n0\r\nA: b\r\n\r\n",
		"\r\n\r\n\r\n",
		"GET / HTTP/1.1\r\n  \r\n  \r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
		strings.Repeat("GET / HTTP/1.1\r\n\r\n", 64),
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 64),
	} {
		f.Add([]byte(seed), uint8(7), uint16(1))
		f.Add([]byte(seed), uint8(255), uint16(300))
	}
	server, err := NewAccount(Limits{MemoryBytes: 1 << 40}, nil, nil).Start("127.0.0.1:0", http.NotFoundHandler())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(server.Close)
	f.Fuzz(func(t *testing.T, data []byte, step uint8, repeats uint16) {
		g := newTestGuard(t, server)
		data = bytes.Repeat(data, 1+int(repeats)%512)
		for len(data) > 0 {
			n := min(len(data), 1+int(step)*64)
			if !g.parse(data[:n]) {
				break
			}
			data = data[n:]
		}
		g.account.mu.Lock()
		defer g.account.mu.Unlock()
		const overshoot = chunkSliceBytes * (byteCost + lineCost + pieceCost + requestCost)
		bound := int64(connectionCost + maxPipelinedBytes + overshoot + byteCost*maxFramedBytes + pieceCost*maxFramedBytes/6 + len(g.rest))
		if g.charged > bound {
			t.Errorf("the connection holds %d bytes, the bound is %d", g.charged, bound)
		}
		if g.phase == inHead && g.received > DefaultMaxHeadBytes+headSliceBytes {
			t.Errorf("%d bytes of a head were received", g.received)
		}
		if len(g.inFlight) > maxPipelined+chunkSliceBytes/len("A / HTTP/1.1\r\n\r\n") {
			t.Errorf("%d requests are in flight", len(g.inFlight))
		}
	})
}

// newTestGuard returns the guard of a connection of the server. Requests on it never end.
func newTestGuard(t *testing.T, server *Server) *guard {
	t.Helper()
	client := dial(t, server)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		server.account.mu.Lock()
		for conn, g := range server.account.guards {
			if conn.RemoteAddr().String() == client.LocalAddr().String() {
				server.account.mu.Unlock()
				g.parser.Execute = func(func()) bool {
					g.update(g.completeRequest)
					return true
				}
				return g
			}
		}
		server.account.mu.Unlock()
	}
	t.Fatal("the connection was not accepted")
	return nil
}
