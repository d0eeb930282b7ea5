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

// maxParallelFetches bounds the peers that are asked at the same time.
const maxParallelFetches = 16

// Push installs changes from a peer and queues their push to the peers in req.RelayTo. If
// a change cannot be installed, it requests a poll and passes the changes on nevertheless.
// It returns the version in force.
func (s *Store) Push(_ context.Context, req peer.PushRequest) (peer.PushResponse, error) {
	for _, c := range req.Changes {
		if err := s.installChange(c); err != nil {
			s.options.Log.Debugf("push not applied: %v", err)
			s.requestPoll()
			break
		}
	}
	if len(req.RelayTo) > 0 {
		s.enqueuePush(req)
	}
	return peer.PushResponse{Version: s.current().version}, nil
}

// Fetch answers a peer that lacks changes. The response holds these changes if this
// instance still keeps all of them, or else a snapshot.
func (s *Store) Fetch(_ context.Context, req peer.FetchRequest) (peer.FetchResponse, error) {
	current, changes := s.changesAbove(req.Above)
	response := peer.FetchResponse{Version: current.version, Changes: changes}
	if req.Above < current.version && len(changes) == 0 {
		response.Snapshot = current.encodeSnapshot()
	}
	return response, nil
}

// changesAbove returns the state in force, and the changes that lead from a version to
// this state. It returns no changes if this instance no longer keeps all of them.
func (s *Store) changesAbove(version uint64) (configState, []peer.ConfigChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.state.version {
		return s.state, nil
	}
	missing := s.state.version - version
	if kept := uint64(len(s.recentChanges)); missing <= kept {
		return s.state, slices.Clone(s.recentChanges[kept-missing:])
	}
	return s.state, nil
}

// startPush starts to push a change that this instance has accepted to all others.
func (s *Store) startPush(c peer.ConfigChange) {
	s.enqueuePush(peer.PushRequest{Changes: []peer.ConfigChange{c}, RelayTo: s.peerNames()})
}

// enqueuePush queues a push, or drops it if the queue is full.
func (s *Store) enqueuePush(req peer.PushRequest) {
	if !s.pushes.Offer(req) {
		s.options.Metrics.Count("config_push_dropped", 1)
	}
}

// sendQueuedPushes sends the queued pushes one after the other until ctx ends.
func (s *Store) sendQueuedPushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-s.pushes.C():
			s.relayPush(ctx, req)
		}
	}
}

// relayPush pushes changes to at most fanOut peers. Each of them passes the changes on
// to a nearly equal part of the other receivers.
func (s *Store) relayPush(ctx context.Context, req peer.PushRequest) {
	addresses := s.peerAddresses()
	var branches sync.WaitGroup
	for _, names := range splitBranches(req.RelayTo, fanOut) {
		branches.Go(func() { s.pushBranch(ctx, addresses, req.Changes, names) })
	}
	branches.Wait()
}

// pushBranch pushes changes to the first peer of a branch that answers. That peer passes
// them on to the peers that follow it in the branch. After maxBranchAttempts peers that
// did not answer, pushBranch stops, and the rest of the branch gets no push.
func (s *Store) pushBranch(ctx context.Context, addresses map[string]string, changes []peer.ConfigChange, names []string) {
	tries := 0
	for i, name := range names {
		address, ok := addresses[name]
		if !ok {
			continue
		}
		if s.pushTo(ctx, address, &peer.PushRequest{Changes: changes, RelayTo: names[i+1:]}) {
			return
		}
		if tries++; tries == maxBranchAttempts {
			return
		}
	}
}

// pushTo pushes changes to one peer and reports whether the peer answered.
func (s *Store) pushTo(ctx context.Context, address string, req *peer.PushRequest) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, pushTimeout)
	defer cancel()
	if _, err := s.options.Peers.Push(ctx, address, req); err != nil {
		s.options.Metrics.Count("config_push_failed", 1)
		s.options.Log.Debugf("push to %s failed: %v", address, err)
		return false
	}
	return true
}

// splitBranches divides names into at most branchesLeft consecutive branches of nearly
// equal length.
func splitBranches(names []string, branchesLeft int) [][]string {
	var branches [][]string
	for branchesLeft > 0 && len(names) > 0 {
		n := (len(names) + branchesLeft - 1) / branchesLeft
		branches = append(branches, names[:n])
		names = names[n:]
		branchesLeft--
	}
	return branches
}

// peerNames returns the sorted names of the other instances in the view, so that every
// instance with the same view builds the relay tree in the same order.
func (s *Store) peerNames() []string {
	var names []string
	for _, m := range s.peers() {
		names = append(names, m.Name)
	}
	return names
}

// peerAddresses returns the addresses of the other instances in the view, by name.
func (s *Store) peerAddresses() map[string]string {
	addresses := map[string]string{}
	for _, m := range s.peers() {
		addresses[m.Name] = m.Address
	}
	return addresses
}

// peers returns the other instances in the view, sorted by name.
func (s *Store) peers() []structs.Member {
	var others []structs.Member
	for _, m := range s.options.View.Entries("") {
		if m.Name != s.options.Name {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b structs.Member) int { return cmp.Compare(a.Name, b.Name) })
	return others
}

// fetchFromPeers installs the highest version among the peers that answer. An instance
// that has a configuration asks fanOut peers, in rotation. An instance without one asks
// all peers.
func (s *Store) fetchFromPeers(ctx context.Context) {
	above := s.current().version
	responses := s.fetchAll(ctx, s.selectPeers(above), above)
	slices.SortStableFunc(responses, func(a, b peer.FetchResponse) int { return cmp.Compare(b.Version, a.Version) })
	for _, response := range responses {
		if response.Version <= s.current().version {
			return
		}
		if err := s.installFetched(response); err != nil {
			s.options.Log.Warnf("configuration of a peer is not used: %v", err)
		}
	}
}

// selectPeers returns the peers that fetchFromPeers asks.
func (s *Store) selectPeers(above uint64) []structs.Member {
	others := s.peers()
	if above == 0 || len(others) <= fanOut {
		return others
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var chosen []structs.Member
	for range fanOut {
		chosen = append(chosen, others[s.nextPeer%len(others)])
		s.nextPeer++
	}
	return chosen
}

// fetchAll fetches the changes above a version from several peers at the same time. The
// response of a peer that did not answer is empty.
func (s *Store) fetchAll(ctx context.Context, from []structs.Member, above uint64) []peer.FetchResponse {
	responses := make([]peer.FetchResponse, len(from))
	slots := make(chan struct{}, maxParallelFetches)
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
	ctx, cancel := clockwork.WithTimeout(ctx, s.options.Clock, pushTimeout)
	defer cancel()
	response, err := s.options.Peers.Fetch(ctx, m.Address, &peer.FetchRequest{Above: above})
	if err != nil || response == nil {
		return peer.FetchResponse{}
	}
	return *response
}

// installFetched installs the snapshot or the changes in a peer's response.
func (s *Store) installFetched(response peer.FetchResponse) error {
	if len(response.Snapshot) > 0 {
		return s.installSnapshot(response.Snapshot)
	}
	for _, c := range response.Changes {
		if err := s.installChange(c); err != nil {
			return err
		}
	}
	return nil
}
