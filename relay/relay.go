// Package relay reaches the platform's table through a neighbour when the
// instance itself cannot.
package relay

import (
	"context"
	"errors"
	"fmt"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Neighbours tells which entry instances may relay.
type Neighbours interface {
	Entries(domain string) []structs.Member
	Reachable(instance string) bool
}

// Peers sends table calls to other instances; peer.Client is one.
type Peers interface {
	Relay(ctx context.Context, address string, m *peer.RelayRequest) (*peer.RelayResponse, error)
}

// Table is a platform.Table that tries the platform first and then the
// reachable neighbours, one after the other.
type Table struct {
	direct     platform.Table
	self       structs.Member
	neighbours Neighbours
	peers      Peers
}

var _ platform.Table = (*Table)(nil)

// NewTable returns a relaying table for the instance self.
func NewTable(direct platform.Table, self structs.Member, neighbours Neighbours, peers Peers) *Table {
	return &Table{direct: direct, self: self, neighbours: neighbours, peers: peers}
}

// Read returns the rows that exist among keys.
func (t *Table) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := t.direct.Read(ctx, keys...)
	if !errors.Is(err, platform.ErrUnavailable) {
		return rows, err
	}
	answer, err := t.relayRead(ctx, &peer.RelayRequest{Read: keys}, err)
	if err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

// Scan returns at most limit rows with the prefix and a key above after.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.direct.Scan(ctx, prefix, after, limit)
	if !errors.Is(err, platform.ErrUnavailable) {
		return rows, err
	}
	scan := &peer.RelayScan{Prefix: prefix, After: after, Limit: limit}
	answer, err := t.relayRead(ctx, &peer.RelayRequest{Scan: scan}, err)
	if err != nil {
		return nil, err
	}
	return answer.Rows, nil
}

// relayRead asks one neighbour after the other; a read may be repeated.
func (t *Table) relayRead(ctx context.Context, req *peer.RelayRequest, cause error) (*peer.RelayResponse, error) {
	for _, n := range t.reachable() {
		answer, err := t.peers.Relay(ctx, n.Address, req)
		if err == nil && answer.Failure == "" {
			return answer, nil
		}
	}
	return nil, fmt.Errorf("relay: no neighbour reaches the table: %w", cause)
}

// Commit applies the transaction directly or through one neighbour. It is
// passed to another neighbour only while no copy can have taken effect.
func (t *Table) Commit(ctx context.Context, tx platform.Transaction) (platform.CommitResult, error) {
	result, cause := t.direct.Commit(ctx, tx)
	if !errors.Is(cause, platform.ErrUnavailable) {
		return result, cause
	}
	for _, n := range t.reachable() {
		answer, err := t.peers.Relay(ctx, n.Address, &peer.RelayRequest{Commit: &tx})
		if errors.Is(err, peer.ErrUnreachable) {
			continue
		}
		if err != nil {
			return platform.CommitResult{}, fmt.Errorf("relay through %s: %w: %v", n.Name, platform.ErrOutcomeUnknown, err)
		}
		if answer.Failure == peer.RelayUnavailable {
			continue
		}
		return commitResult(n.Name, answer)
	}
	return platform.CommitResult{}, fmt.Errorf("relay: no neighbour reaches the table: %w", cause)
}

// commitResult converts an answer. One without a result proves nothing.
func commitResult(name string, answer *peer.RelayResponse) (platform.CommitResult, error) {
	switch {
	case answer.Failure == peer.RelayConflict && answer.Conflict != nil:
		return platform.CommitResult{}, answer.Conflict
	case answer.Failure == "" && answer.Commit != nil:
		return *answer.Commit, nil
	}
	return platform.CommitResult{}, fmt.Errorf("relay through %s: %w", name, platform.ErrOutcomeUnknown)
}

func (t *Table) reachable() []structs.Member {
	var members []structs.Member
	for _, n := range t.neighbours.Entries(t.self.Domain) {
		if n.Name != t.self.Name && t.neighbours.Reachable(n.Name) {
			members = append(members, n)
		}
	}
	return members
}
