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

// rawServer counts the requests and connections it receives and lets a script
// decide what happens to each.
type rawServer struct {
	listener net.Listener
	answer   func(request int, c net.Conn) (keep bool)

	mu       sync.Mutex
	requests int
	conns    int
}

func startRaw(t *testing.T, answer func(request int, c net.Conn) bool) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, answer: answer}
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
		if !s.answer(n, c) {
			return
		}
	}
}

func (s *rawServer) counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.conns
}

func ok(c net.Conn) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func accept(Response) error { return nil }

func post(s *rawServer) Request {
	return Request{Method: http.MethodPost, URL: "http://" + s.listener.Addr().String() + "/", Body: []byte("x")}
}

func sentError(t *testing.T, err error, sent bool) {
	t.Helper()
	var call *CallError
	if !errors.As(err, &call) || call.Sent != sent {
		t.Errorf("error %v, want a call error with sent %v", err, sent)
	}
}

// Guards against net/http's silent repeat of a request when a kept connection
// breaks before the answer: the work would run twice.
func TestBrokenKeptConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet} {
		s := startRaw(t, func(n int, c net.Conn) bool { return n == 1 && ok(c) })
		client := New(Options{})
		req := post(s)
		req.Method = method
		if method == http.MethodGet {
			req.Body = nil
		}
		req.Header = http.Header{"Idempotency-Key": {"k"}}
		if err := client.Do(context.Background(), req, accept); err != nil {
			t.Fatal(err)
		}
		sentError(t, client.Do(context.Background(), req, accept), true)
		if n, _ := s.counts(); n != 2 {
			t.Errorf("%s: server received %d requests for 2 calls", method, n)
		}
	}
}

// Guards against a redirect that sends the request a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	s := startRaw(t, func(_ int, c net.Conn) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 302 Found\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	var status int
	err := New(Options{}).Do(context.Background(), post(s), func(r Response) error { status = r.Status; return nil })
	if n, _ := s.counts(); err != nil || status != http.StatusFound || n != 1 {
		t.Errorf("status %d after %d requests, error %v", status, n, err)
	}
}

// Guards against a connection that is used again after its answer was found
// wrong: the next answer on it may belong to the earlier request.
func TestRejectedConnectionIsNotUsedAgain(t *testing.T) {
	s := startRaw(t, func(_ int, c net.Conn) bool { return ok(c) })
	client := New(Options{MaxConnsPerHost: 1})
	errWrong := errors.New("wrong answer")
	release := make(chan struct{})
	judging := make(chan struct{})
	first := make(chan error, 1)
	go func() {
		first <- client.Do(context.Background(), post(s), func(Response) error {
			close(judging)
			<-release
			return errWrong
		})
	}()
	<-judging
	second := make(chan error, 1)
	go func() { second <- client.Do(context.Background(), post(s), accept) }()
	select { // the second call must wait for the verdict on the first
	case err := <-second:
		t.Fatalf("second call ended before the verdict on the first: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	if err := <-first; !errors.Is(err, errWrong) {
		t.Errorf("first call: %v", err)
	}
	if err := <-second; err != nil {
		t.Errorf("second call: %v, want it to pass over the closed connection", err)
	}
	if n, conns := s.counts(); n != 2 || conns != 2 {
		t.Errorf("%d requests on %d connections, want 2 on 2", n, conns)
	}
}

// Guards against a call counted as possibly run although it never left, and
// the reverse.
func TestSentIsToldApart(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	received := make(chan struct{}, 1)
	s := startRaw(t, func(int, net.Conn) bool {
		received <- struct{}{}
		<-blocked
		return false
	})
	client := New(Options{MaxConnsPerHost: 1})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() { first <- client.Do(ctx, post(s), accept) }()
	<-received

	waiting, stop := context.WithCancel(context.Background())
	stop()
	sentError(t, client.Do(waiting, post(s), accept), false) // no connection is free
	cancel()
	sentError(t, <-first, true)

	gone := startRaw(t, func(int, net.Conn) bool { return false })
	_ = gone.listener.Close()
	sentError(t, client.Do(context.Background(), post(gone), accept), false)
	sentError(t, client.Do(context.Background(), Request{Method: "GET", URL: "http://%"}, accept), false)
}

// Guards against answers without a bound and answers cut short.
func TestAnswersAreBoundedAndWhole(t *testing.T) {
	bodies := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101),
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes+4096) + "\r\n\r\n",
	}
	for _, body := range bodies {
		s := startRaw(t, func(_ int, c net.Conn) bool {
			_, _ = fmt.Fprint(c, body)
			return false
		})
		sentError(t, New(Options{MaxResponseBytes: 100}).Do(context.Background(), post(s), accept), true)
	}
}
