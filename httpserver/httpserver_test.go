package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against a drain that ends while a request is in flight.
func TestDrainWaitsForRequestInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	server, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	answers := make(chan string, 1)
	go func() {
		res, err := http.Post("http://"+server.Address(), "text/plain", strings.NewReader("x"))
		if err != nil {
			answers <- err.Error()
			return
		}
		defer res.Body.Close()
		b, _ := io.ReadAll(res.Body)
		answers <- string(b)
	}()
	<-started
	shortCtx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if server.Drain(shortCtx, 0) == nil {
		t.Fatal("drain ended with a request in flight")
	}
	close(release)
	if body := <-answers; body != "done" {
		t.Fatalf("answer was %q", body)
	}
	if err := server.Drain(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against passing a body above the limit to the handler.
func TestOversizedBodyIsRefused(t *testing.T) {
	handled := make(chan int, 1)
	server, err := Start("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		handled <- len(b)
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	res, err := http.Post("http://"+server.Address(), "text/plain", strings.NewReader(strings.Repeat("x", MaxBodyBytes+1)))
	if err == nil {
		res.Body.Close()
		if res.StatusCode < 400 {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	select {
	case n := <-handled:
		t.Errorf("handler ran with a body of %d bytes", n)
	default:
	}
}

// Guards against a drain that never ends because a load balancer continues to
// probe the server.
func TestProbesDoNotProlongDrain(t *testing.T) {
	server, err := Start("127.0.0.1:0", http.NotFoundHandler(), "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	res, err := http.Get("http://" + server.Address() + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if !server.isQuiet(time.Hour) {
		t.Error("a probe counted as activity")
	}
}

// Guards against a server that closes a connection after an answer. A late event
// for the closed descriptor would then interrupt another client's request.
func TestServerLeavesCloseToClient(t *testing.T) {
	server, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	reader := bufio.NewReader(conn)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(res.Body); err != nil || string(body) != "done" || !res.Close {
		t.Fatalf("answer %q, close announced: %v, error %v", body, res.Close, err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the server closed the connection: %v", err)
	}
}

// Guards against a Close that never returns if it is called immediately after the
// start. A stop has no effect on the pollers of an engine before they run.
func TestCloseRightAfterStartReturns(t *testing.T) {
	ended := make(chan error, 1)
	go func() {
		for range 50 {
			s, err := Start("127.0.0.1:0", http.NotFoundHandler())
			if err != nil {
				ended <- err
				return
			}
			s.Close()
		}
		ended <- nil
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("Close did not return")
	}
}
