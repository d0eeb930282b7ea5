package configuration

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"bergamotstile/peer"
	"bergamotstile/structs"
)

// fetchMax bounds the peers that are asked at the same time.
const fetchMax = 16

// Push receives changes from a peer and passes them on.
func (s *Store) Push(_ context.Context, req peer.PushRequest) (peer.PushResponse, error) {
	for _, c := range req.Changes {
		if err := s.install(c); err != nil {
			s.o.Log.Debugf("push not applied: %v", err)
			s.pollSoon()
			break
		}
	}
	if len(req.Relay) > 0 {
		s.enqueue(req)
	}
	return peer.PushResponse{Version: s.current().version}, nil
}

// Fetch answers a peer that is behind: with the changes that it lacks if they
// are still kept, or else with a snapshot.
func (s *Store) Fetch(_ context.Context, req peer.FetchRequest) (peer.FetchResponse, error) {
	current, changes := s.changesAbove(req.Above)
	response := peer.FetchResponse{Version: current.version, Changes: changes}
	if req.Above < current.version && len(changes) == 0 {
		response.Snapshot = current.snapshot()
	}
	return response, nil
}

// changesAbove returns the state in force and the changes from a version to
// it, or no changes if some are no longer kept.
func (s *Store) changesAbove(version uint64) (state, []peer.ConfigChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.state.version {
		return s.state, nil
	}
	missing := s.state.version - version
	if kept := uint64(len(s.recent)); missing <= kept {
		return s.state, slices.Clone(s.recent[kept-missing:])
	}
	return s.state, nil
}

// startPush begins to spread a change that was accepted here.
func (s *Store) startPush(c peer.ConfigChange) {
	s.enqueue(peer.PushRequest{Changes: []peer.ConfigChange{c}, Relay: s.peerNames()})
}

func (s *Store) enqueue(req peer.PushRequest) {
	if !s.pushes.Offer(req) {
		s.o.Metrics.Count("config_push_dropped", 1)
	}
}

func (s *Store) servePushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-s.pushes.C():
			s.relay(ctx, req)
		}
	}
}

// relay passes changes to at most fanOut peers, each with its part of the rest.
func (s *Store) relay(ctx context.Context, req peer.PushRequest) {
	addresses := s.peerAddresses()
	var branches sync.WaitGroup
	for _, names := range split(req.Relay, fanOut) {
		branches.Go(func() { s.pushBranch(ctx, addresses, req.Changes, names) })
	}
	branches.Wait()
}

// pushBranch pushes to the first name of a branch that answers. That peer
// passes the changes on to the rest.
func (s *Store) pushBranch(ctx context.Context, addresses map[string]string, changes []peer.ConfigChange, names []string) {
	tries := 0
	for i, name := range names {
		address, ok := addresses[name]
		if !ok {
			continue
		}
		if s.pushTo(ctx, address, &peer.PushRequest{Changes: changes, Relay: names[i+1:]}) {
			return
		}
		if tries++; tries == branchTries {
			return
		}
	}
}

func (s *Store) pushTo(ctx context.Context, address string, req *peer.PushRequest) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, pushTimeout)
	defer cancel()
	if _, err := s.o.Peers.Push(ctx, address, req); err != nil {
		s.o.Metrics.Count("config_push_failed", 1)
		s.o.Log.Debugf("push to %s failed: %v", address, err)
		return false
	}
	return true
}

// split cuts names into at most parts runs of nearly equal length.
func split(names []string, parts int) [][]string {
	var runs [][]string
	for parts > 0 && len(names) > 0 {
		n := (len(names) + parts - 1) / parts
		runs = append(runs, names[:n])
		names = names[n:]
		parts--
	}
	return runs
}

// peerNames returns the other live instances in order of name, so that every
// instance builds the same tree.
func (s *Store) peerNames() []string {
	var names []string
	for _, m := range s.peers() {
		names = append(names, m.Name)
	}
	return names
}

func (s *Store) peerAddresses() map[string]string {
	addresses := map[string]string{}
	for _, m := range s.peers() {
		addresses[m.Name] = m.Address
	}
	return addresses
}

func (s *Store) peers() []structs.Member {
	var others []structs.Member
	for _, m := range s.o.View.Entries("") {
		if m.Name != s.o.Name {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b structs.Member) int { return cmp.Compare(a.Name, b.Name) })
	return others
}

// fetchFromPeers takes the highest version among the peers that answer. An
// instance that has a configuration asks fanOut of them in turn; one without
// asks all.
func (s *Store) fetchFromPeers(ctx context.Context) {
	above := s.current().version
	responses := s.fetchAll(ctx, s.peersToAsk(above), above)
	slices.SortStableFunc(responses, func(a, b peer.FetchResponse) int { return cmp.Compare(b.Version, a.Version) })
	for _, response := range responses {
		if response.Version <= s.current().version {
			return
		}
		if err := s.installFetched(response); err != nil {
			s.o.Log.Warnf("configuration of a peer is not used: %v", err)
		}
	}
}

func (s *Store) peersToAsk(above uint64) []structs.Member {
	others := s.peers()
	if above == 0 || len(others) <= fanOut {
		return others
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []structs.Member
	for range fanOut {
		chosen = append(chosen, others[s.turn%len(others)])
		s.turn++
	}
	return chosen
}

func (s *Store) fetchAll(ctx context.Context, from []structs.Member, above uint64) []peer.FetchResponse {
	responses := make([]peer.FetchResponse, len(from))
	slots := make(chan struct{}, fetchMax)
	var calls sync.WaitGroup
	for i, m := range from {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			responses[i] = s.fetchFrom(ctx, m, above)
		})
	}
	calls.Wait()
	return responses
}

func (s *Store) fetchFrom(ctx context.Context, m structs.Member, above uint64) peer.FetchResponse {
	ctx, cancel := clockwork.WithTimeout(ctx, s.o.Clock, pushTimeout)
	defer cancel()
	response, err := s.o.Peers.Fetch(ctx, m.Address, &peer.FetchRequest{Above: above})
	if err != nil || response == nil {
		return peer.FetchResponse{}
	}
	return *response
}

func (s *Store) installFetched(response peer.FetchResponse) error {
	if len(response.Snapshot) > 0 {
		return s.installSnapshot(response.Snapshot)
	}
	for _, c := range response.Changes {
		if err := s.install(c); err != nil {
			return err
		}
	}
	return nil
}
