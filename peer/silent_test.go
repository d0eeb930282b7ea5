package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// silenceableListener accepts connections that can go silent: nothing that the server writes
// on them arrives any more.
type silenceableListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []*silenceableConn
}

func (l *silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &silenceableConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, wrapped)
	return wrapped, nil
}

// silence makes all connections that are open now go silent.
func (l *silenceableListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.accepted {
		conn.silent.Store(true)
	}
}

type silenceableConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// gatheringService answers heartbeats only once as many as gather are waiting, so that each
// uses a connection of its own. After that it answers at once.
type gatheringService struct {
	echoService
	gather sync.WaitGroup
}

func (s *gatheringService) Heartbeat(_ context.Context, m *Heartbeat) (*Heartbeat, error) {
	if m.Name == "gathering" {
		s.gather.Done()
		s.gather.Wait()
	}
	return m, nil
}

// startPeer serves a service on connections that can go silent. It returns its address.
func startPeer(t *testing.T, service Service) (*silenceableListener, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(NewHandler(service))
	listener := &silenceableListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return listener, strings.TrimPrefix(server.URL, "http://")
}

// openConnections makes concurrent calls that leave as many open connections in the pool.
func openConnections(t *testing.T, client *Client, service *gatheringService, address string, number int) {
	t.Helper()
	service.gather.Add(number)
	var calls sync.WaitGroup
	for range number {
		calls.Go(func() {
			if _, err := client.Heartbeat(t.Context(), address, &Heartbeat{Name: "gathering"}); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

// Guards against calls that fail one after the other because each uses another kept
// connection to a peer whose connections all went silent at the same time.
func TestNextCallReachesPeerAfterAllConnectionsWentSilent(t *testing.T) {
	service := &gatheringService{}
	listener, address := startPeer(t, service)
	client := NewClient()
	t.Cleanup(client.Close)
	openConnections(t, client, service, address, 4)
	listener.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := client.Heartbeat(ctx, address, &Heartbeat{}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("call on a silent connection: %v", err)
	}
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := client.Heartbeat(ctx, address, &Heartbeat{}); err != nil {
		t.Errorf("call after the lost answer: %v", err)
	}
}

// Guards against new connections to all peers because one of them does not answer.
func TestLostAnswerKeepsConnectionsToOtherPeers(t *testing.T) {
	service, other := &gatheringService{}, &gatheringService{}
	listener, address := startPeer(t, service)
	otherListener, otherAddress := startPeer(t, other)
	client := NewClient()
	t.Cleanup(client.Close)
	openConnections(t, client, service, address, 1)
	openConnections(t, client, other, otherAddress, 1)
	listener.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _ = client.Heartbeat(ctx, address, &Heartbeat{}) // fails, see the test before
	if _, err := client.Heartbeat(t.Context(), otherAddress, &Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	if n := len(otherListener.accepted); n != 1 {
		t.Errorf("%d connections to the other peer, want 1", n)
	}
}

// Guards against pools that are kept for good for peers which were replaced.
func TestPoolsOfPeersThatAreNotCalledAreRemoved(t *testing.T) {
	pools := &connectionPools{pools: map[string]*connectionPool{}}
	now := time.Now()
	pools.transportFor("old:1", now)
	pools.transportFor("used:1", now)
	pools.transportFor("used:1", now.Add(unusedPoolTime/2))
	pools.transportFor("new:1", now.Add(unusedPoolTime))
	if len(pools.pools) != 2 || pools.pools["old:1"] != nil {
		t.Errorf("pools %v", pools.pools)
	}
}

var _ http.RoundTripper = (*connectionPools)(nil)
