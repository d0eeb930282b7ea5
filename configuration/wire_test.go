package configuration

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"bergamotstile/peer"
)

// configService serves the configuration calls of the peer protocol.
type configService struct {
	peer.Service
	store *Store
}

func (w configService) Push(ctx context.Context, m *peer.PushRequest) (*peer.PushResponse, error) {
	response, err := w.store.Push(ctx, *m)
	return &response, err
}

func (w configService) Fetch(ctx context.Context, m *peer.FetchRequest) (*peer.FetchResponse, error) {
	response, err := w.store.Fetch(ctx, *m)
	return &response, err
}

// Guards against messages that the codec of the peer protocol alters: digests cover
// every byte of a change and of a snapshot.
func TestChangesAndSnapshotsSurviveThePeerProtocol(t *testing.T) {
	c := newCluster("a1", "a2")
	source, target := c.instances[0], c.instances[1]
	mustApply(t, source, "operator", 1)
	mustApply(t, source, "operator", 2)
	server := httptest.NewServer(peer.NewHandler(configService{store: target.store}))
	defer server.Close()
	client := peer.NewClient()
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	response, err := client.Push(t.Context(), address, &peer.PushRequest{Changes: source.store.recentChanges})
	if err != nil || response.Version != 2 {
		t.Fatalf("push answered %+v, %v", response, err)
	}
	target.store.recentChanges = nil
	fetched, err := client.Fetch(t.Context(), address, &peer.FetchRequest{})
	if err != nil || len(fetched.Snapshot) == 0 {
		t.Fatalf("fetch answered %+v, %v", fetched, err)
	}
	source.restart()
	if err := source.store.installFetched(*fetched); err != nil || source.version() != 2 {
		t.Errorf("the snapshot leads to version %d, %v", source.version(), err)
	}
}
