package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// rawServer counts the requests and connections that it receives. It calls
// respond for each request with the number of the request, and closes the
// connection if respond returns false.
type rawServer struct {
	listener net.Listener
	respond  func(request int, c net.Conn) (keep bool)

	mu       sync.Mutex
	requests int
	conns    int
}

func startRawServer(t *testing.T, respond func(request int, c net.Conn) bool) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, respond: respond}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

func (s *rawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *rawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		buffer := make([]byte, req.ContentLength)
		if _, err := req.Body.Read(buffer); err != nil && req.ContentLength > 0 && err.Error() != "EOF" {
			return
		}
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		if !s.respond(n, c) {
			return
		}
	}
}

func (s *rawServer) counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.conns
}

func respondOK(c net.Conn) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func acceptAny(Response) error { return nil }

func postRequest(s *rawServer) Request {
	return Request{Method: http.MethodPost, URL: "http://" + s.listener.Addr().String() + "/", Body: []byte("x")}
}

func expectCallError(t *testing.T, err error, sent bool) {
	t.Helper()
	var callErr *CallError
	if !errors.As(err, &callErr) || callErr.Sent != sent {
		t.Errorf("got error %v, want a call error with sent %v", err, sent)
	}
}

// Guards against a silent repeat of the request by net/http if a kept connection
// breaks before the answer. The request would then run twice.
func TestRequestOnBrokenKeptConnectionIsNotRepeated(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet} {
		s := startRawServer(t, func(n int, c net.Conn) bool { return n == 1 && respondOK(c) })
		client := New(Options{})
		req := postRequest(s)
		req.Method = method
		if method == http.MethodGet {
			req.Body = nil
		}
		req.Header = http.Header{"Idempotency-Key": {"k"}}
		if err := client.Do(context.Background(), req, acceptAny); err != nil {
			t.Fatal(err)
		}
		expectCallError(t, client.Do(context.Background(), req, acceptAny), true)
		if n, _ := s.counts(); n != 2 {
			t.Errorf("%s: server received %d requests for 2 calls", method, n)
		}
	}
}

// Guards against a redirect that sends the request a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	s := startRawServer(t, func(_ int, c net.Conn) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 302 Found\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	var status int
	err := New(Options{}).Do(context.Background(), postRequest(s), func(r Response) error { status = r.Status; return nil })
	if n, _ := s.counts(); err != nil || status != http.StatusFound || n != 1 {
		t.Errorf("status %d after %d requests, error %v", status, n, err)
	}
}

// Guards against using a connection again after an answer on it was rejected.
// The next answer on it may belong to the earlier request.
func TestConnectionIsNotReusedAfterRejectedAnswer(t *testing.T) {
	s := startRawServer(t, func(_ int, c net.Conn) bool { return respondOK(c) })
	client := New(Options{MaxConnsPerHost: 1})
	errRejected := errors.New("answer rejected")
	release := make(chan struct{})
	accepting := make(chan struct{})
	first := make(chan error, 1)
	go func() {
		first <- client.Do(context.Background(), postRequest(s), func(Response) error {
			close(accepting)
			<-release
			return errRejected
		})
	}()
	<-accepting
	second := make(chan error, 1)
	go func() { second <- client.Do(context.Background(), postRequest(s), acceptAny) }()
	select { // the second call must wait until the first answer is accepted or rejected
	case err := <-second:
		t.Fatalf("second call ended before the first answer was rejected: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if err := <-first; !errors.Is(err, errRejected) {
		t.Errorf("first call: %v", err)
	}
	if err := <-second; err != nil {
		t.Errorf("second call: %v, want it to use another connection than the closed one", err)
	}
	if n, conns := s.counts(); n != 2 || conns != 2 {
		t.Errorf("%d requests on %d connections, want 2 on 2", n, conns)
	}
}

// Guards against reporting a request as sent although no byte of it was written,
// and against the reverse.
func TestCallErrorReportsWhetherRequestWasSent(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	received := make(chan struct{}, 1)
	s := startRawServer(t, func(int, net.Conn) bool {
		received <- struct{}{}
		<-blocked
		return false
	})
	client := New(Options{MaxConnsPerHost: 1})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- client.Do(ctx, postRequest(s), acceptAny) }()
	<-received

	cancelledCtx, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	expectCallError(t, client.Do(cancelledCtx, postRequest(s), acceptAny), false) // no connection is free
	cancel()
	expectCallError(t, <-first, true)

	closedServer := startRawServer(t, func(int, net.Conn) bool { return false })
	_ = closedServer.listener.Close()
	expectCallError(t, client.Do(context.Background(), postRequest(closedServer), acceptAny), false)
	expectCallError(t, client.Do(context.Background(), Request{Method: "GET", URL: "http://%"}, acceptAny), false)
}

// Guards against accepting answers whose body or header is too large, and answers
// that are incomplete.
func TestOversizedAndTruncatedAnswersAreRefused(t *testing.T) {
	bodies := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101),
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes+4096) + "\r\n\r\n",
	}
	for _, body := range bodies {
		s := startRawServer(t, func(_ int, c net.Conn) bool {
			_, _ = fmt.Fprint(c, body)
			return false
		})
		expectCallError(t, New(Options{MaxResponseBytes: 100}).Do(context.Background(), postRequest(s), acceptAny), true)
	}
}

// Guards against calls that fail one after the other because each uses another kept
// connection to a server whose connections all went silent at the same time.
func TestOtherConnectionsAreNotUsedAfterLostAnswer(t *testing.T) {
	const conns = 4
	var opened sync.WaitGroup // all first requests have arrived, each on its own connection
	opened.Add(conns)
	var silent sync.Map // connections that no longer answer
	s := startRawServer(t, func(request int, c net.Conn) bool {
		if request <= conns {
			opened.Done()
			opened.Wait()
			silent.Store(c, true)
			return respondOK(c)
		}
		if _, isSilent := silent.Load(c); isSilent {
			return true
		}
		return respondOK(c)
	})
	client := New(Options{})
	var first sync.WaitGroup
	for range conns {
		first.Go(func() {
			if err := client.Do(t.Context(), postRequest(s), acceptAny); err != nil {
				t.Error(err)
			}
		})
	}
	first.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	expectCallError(t, client.Do(ctx, postRequest(s), acceptAny), true)
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := client.Do(ctx, postRequest(s), acceptAny); err != nil {
		t.Errorf("call after the lost answer: %v", err)
	}
}

// Guards against new connections to a server that works each time a caller cancels a call.
func TestCancelledCallKeepsOtherConnections(t *testing.T) {
	var opened sync.WaitGroup
	opened.Add(2)
	received := make(chan struct{})
	s := startRawServer(t, func(request int, c net.Conn) bool {
		if request <= 2 {
			opened.Done()
			opened.Wait()
		}
		if request == 3 {
			close(received)
			return true
		}
		return respondOK(c)
	})
	client := New(Options{})
	var first sync.WaitGroup
	for range 2 {
		first.Go(func() {
			if err := client.Do(t.Context(), postRequest(s), acceptAny); err != nil {
				t.Error(err)
			}
		})
	}
	first.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	expectCallError(t, client.Do(ctx, postRequest(s), acceptAny), true)
	if err := client.Do(t.Context(), postRequest(s), acceptAny); err != nil {
		t.Fatal(err)
	}
	if _, conns := s.counts(); conns != 2 {
		t.Errorf("%d connections, want 2", conns)
	}
}
