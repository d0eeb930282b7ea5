package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a request that stays in a queue after its client disconnected,
// and against a request that is cancelled because another client disconnected.
func TestDisconnectCancelsRequestContext(t *testing.T) {
	started, cancelled := make(chan string), make(chan string)
	release := make(chan struct{})
	s, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		select {
		case <-r.Context().Done():
			cancelled <- r.URL.Path
		case <-release:
			_, _ = io.WriteString(w, "whole")
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	answers := make(chan string)
	go func() {
		res, err := http.Get("http://" + s.Address() + "/stays")
		if err != nil {
			answers <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		body, _ := io.ReadAll(res.Body)
		answers <- string(body)
	}()
	<-started
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /leaves HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if path := <-cancelled; path != "/leaves" {
		t.Errorf("the request for %s was cancelled", path)
	}
	close(release)
	if body := <-answers; body != "whole" {
		t.Errorf("the client that stayed got %q", body)
	}
}
