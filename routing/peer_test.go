package routing

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotstile/peer"
	"bergamotstile/runnerapi"
	"bergamotstile/structs"
)

// peerService answers forwards with a router, over the real protocol.
type peerService struct {
	peer.Service
	router *Router
}

func (s peerService) Forward(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	answer, err := s.router.HandleForwarded(ctx, m.Request, m.Hops)
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.ForwardResponse{Answer: &answer}, nil
}

// Guards against errors of the peer client that are taken for another outcome:
// a refused dial proves that nothing was sent, a cut connection does not.
func TestForwardOverPeerProtocol(t *testing.T) {
	c := newCluster(t, Settings{}, "a", "b")
	cut := make(chan struct{}, 1)
	handler := peer.NewHandler(peerService{router: c.nodes["a"].router})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		default:
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := peer.NewClient()
	defer client.Close()
	sender := c.nodes["b"].router
	sender.Peers = addressed{client, func() string { return address }}

	check := func(name string, reason structs.Reason, outcome structs.Outcome, key string) {
		t.Helper()
		if body, r, o := handle(c.nodes["b"], request(name, key, "x")); r != reason || o != outcome || reason == "" && body != "answer:x" {
			t.Errorf("%s: %q %s %s", name, body, r, o)
		}
	}
	check("answered", "", structs.OutcomeRan, "k1")
	c.runners.setBehave(always(0, runnerapi.ErrFailed))
	check("refused", structs.ReasonRunnerFailed, structs.OutcomeMayHaveRun, "k2")
	c.runners.setBehave(always(20*time.Millisecond, nil))
	cut <- struct{}{}
	check("cut off", structs.ReasonOwnerUnreachable, structs.OutcomeMayHaveRun, "k3")
	server.Close()
	client.Close()
	check("dial refused", structs.ReasonOwnerUnreachable, structs.OutcomeNotRun, "k4")
}

// addressed sends every call to one address.
type addressed struct {
	Peers
	address func() string
}

func (a addressed) Forward(ctx context.Context, _ string, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return a.Peers.Forward(ctx, a.address(), m)
}
