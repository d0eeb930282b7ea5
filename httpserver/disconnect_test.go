package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a request of a client that disconnected which goes on waiting
// in a queue, and against one that is ended by another client's disconnect.
func TestDisconnectEndsTheContext(t *testing.T) {
	entered, ended := make(chan string), make(chan string)
	release := make(chan struct{})
	s, err := Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- r.URL.Path
		select {
		case <-r.Context().Done():
			ended <- r.URL.Path
		case <-release:
			_, _ = io.WriteString(w, "whole")
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	stays := make(chan string)
	go func() {
		res, err := http.Get("http://" + s.Address() + "/stays")
		if err != nil {
			stays <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		body, _ := io.ReadAll(res.Body)
		stays <- string(body)
	}()
	<-entered
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /leaves HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-entered
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if path := <-ended; path != "/leaves" {
		t.Errorf("%s was ended", path)
	}
	close(release)
	if body := <-stays; body != "whole" {
		t.Errorf("the client that stayed got %q", body)
	}
}
