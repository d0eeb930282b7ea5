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

// peerService answers forwarded requests with a router, over the real protocol.
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

// Guards against errors of the peer client that lead to a wrong outcome: a
// refused connection proves that the request was not sent, a connection cut
// later does not.
func TestPeerErrorsGiveTheTrueOutcome(t *testing.T) {
	c := newCluster(t, Settings{}, "a", "b")
	cutConnection := make(chan struct{}, 1)
	handler := peer.NewHandler(peerService{router: c.instances["a"].router})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		select {
		case <-cutConnection:
			panic(http.ErrAbortHandler)
		default:
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := peer.NewClient()
	defer client.Close()
	sender := c.instances["b"].router
	sender.Peers = fixedAddressPeers{client, func() string { return address }}

	check := func(name string, reason structs.Reason, outcome structs.Outcome, key string) {
		t.Helper()
		if body, gotReason, gotOutcome := handle(c.instances["b"], request(name, key, "x")); gotReason != reason || gotOutcome != outcome || reason == "" && body != "answer:x" {
			t.Errorf("%s: %q %s %s", name, body, gotReason, gotOutcome)
		}
	}
	check("answered", "", structs.OutcomeRan, "k1")
	c.runners.setRespond(alwaysRespond(0, runnerapi.ErrFailed))
	check("refused", structs.ReasonRunnerFailed, structs.OutcomeMayHaveRun, "k2")
	c.runners.setRespond(alwaysRespond(20*time.Millisecond, nil))
	cutConnection <- struct{}{}
	check("cut off", structs.ReasonOwnerUnreachable, structs.OutcomeMayHaveRun, "k3")
	server.Close()
	client.Close()
	check("dial refused", structs.ReasonOwnerUnreachable, structs.OutcomeNotRun, "k4")
}

// fixedAddressPeers sends every call to the same address.
type fixedAddressPeers struct {
	Peers
	address func() string
}

func (a fixedAddressPeers) Forward(ctx context.Context, _ string, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return a.Peers.Forward(ctx, a.address(), m)
}
