// Package relay sends calls to the platform's table through a domain peer while this
// instance cannot reach the table itself. A domain peer is another entry instance of the
// same failure domain.
package relay

import (
	"context"
	"errors"
	"fmt"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Members reports the entry instances of a domain and whether an instance is reachable.
type Members interface {
	Entries(domain string) []structs.Member
	Reachable(instance string) bool
}

// Peers sends table calls to other instances; peer.Client implements it.
type Peers interface {
	Relay(ctx context.Context, address string, m *peer.RelayRequest) (*peer.RelayResponse, error)
}

// Table is a platform.Table that calls the platform first and, if the table is
// unavailable, tries the reachable domain peers one after the other.
type Table struct {
	direct platform.Table
	self   structs.Member
	view   Members
	peers  Peers
}

var _ platform.Table = (*Table)(nil)

// NewTable returns a Table for the instance self. direct is the platform's table.
func NewTable(direct platform.Table, self structs.Member, view Members, peers Peers) *Table {
	return &Table{direct: direct, self: self, view: view, peers: peers}
}

// Read returns the rows of those keys that exist.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := t.direct.Read(ctx, keys...)
	if !errors.Is(err, platform.ErrUnavailable) {
		return rows, err
	}
	response, err := t.readThroughPeers(ctx, &peer.RelayRequest{Read: keys}, err)
	if err != nil {
		return nil, err
	}
	return response.Rows, nil
}

// Scan returns at most limit rows whose key has the prefix and is greater than after.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.direct.Scan(ctx, prefix, after, limit)
	if !errors.Is(err, platform.ErrUnavailable) {
		return rows, err
	}
	scan := &peer.RelayScan{Prefix: prefix, After: after, Limit: limit}
	response, err := t.readThroughPeers(ctx, &peer.RelayRequest{Scan: scan}, err)
	if err != nil {
		return nil, err
	}
	return response.Rows, nil
}

// readThroughPeers sends a read or a scan to one domain peer after the other until one of
// them succeeds. Reads can be repeated safely, so after any failure it tries the next peer.
// directErr is the error of the direct call.
func (t *Table) readThroughPeers(ctx context.Context, req *peer.RelayRequest, directErr error) (*peer.RelayResponse, error) {
	for _, target := range t.reachableDomainPeers() {
		response, err := t.peers.Relay(ctx, target.Address, req)
		if err == nil && response.Failure == "" {
			return response, nil
		}
	}
	return nil, fmt.Errorf("relay: no neighbour reaches the table: %w", directErr)
}

// Commit applies the transaction directly or through a domain peer. It tries another peer
// only while it is certain that no attempt so far can have taken effect.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	result, directErr := t.direct.Commit(ctx, tx)
	if !errors.Is(directErr, platform.ErrUnavailable) {
		return result, directErr
	}
	for _, target := range t.reachableDomainPeers() {
		response, err := t.peers.Relay(ctx, target.Address, &peer.RelayRequest{Commit: &tx})
		if errors.Is(err, peer.ErrUnreachable) {
			continue
		}
		if err != nil {
			return platform.CommitResult{}, fmt.Errorf("relay through %s: %w: %v", target.Name, platform.ErrOutcomeUnknown, err)
		}
		if response.Failure == peer.RelayUnavailable {
			continue
		}
		return commitResultFrom(target.Name, response)
	}
	return platform.CommitResult{}, fmt.Errorf("relay: no neighbour reaches the table: %w", directErr)
}

// commitResultFrom converts a domain peer's response to a commit. If the response contains
// neither a conflict nor a result, the outcome is unknown.
func commitResultFrom(peerName string, response *peer.RelayResponse) (platform.CommitResult, error) {
	switch {
	case response.Failure == peer.RelayConflict && response.Conflict != nil:
		return platform.CommitResult{}, response.Conflict
	case response.Failure == "" && response.Commit != nil:
		return *response.Commit, nil
	}
	return platform.CommitResult{}, fmt.Errorf("relay through %s: %w", peerName, platform.ErrOutcomeUnknown)
}

// reachableDomainPeers returns the reachable entry instances of this instance's domain,
// without itself.
func (t *Table) reachableDomainPeers() []structs.Member {
	var members []structs.Member
	for _, candidate := range t.view.Entries(t.self.Domain) {
		if candidate.Name != t.self.Name && t.view.Reachable(candidate.Name) {
			members = append(members, candidate)
		}
	}
	return members
}
