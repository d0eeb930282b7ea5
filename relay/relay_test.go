package relay

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// scriptedTable is a table whose calls fail with the given errors, one after the other; a
// nil error and calls after the last error succeed. It counts the commits that took
// effect.
type scriptedTable struct {
	errs    []error
	effects int
}

func (s *scriptedTable) next() error {
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scriptedTable) Read(context.Context, ...string) ([]platform.Row, error) {
	return []platform.Row{{Key: "k", Version: 1}}, s.next()
}

func (s *scriptedTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return []platform.Row{{Key: "k", Version: 1}}, s.next()
}

func (s *scriptedTable) Commit(context.Context, platform.Transaction) (platform.CommitResult, error) {
	err := s.next()
	if err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
		s.effects++
	}
	return platform.CommitResult{Version: 7}, err
}

// fakeDomainPeers holds the instances of a domain, each with its own connection to the
// table. It serves as the membership view and as the peer client.
type fakeDomainPeers struct {
	members  []structs.Member
	tables   map[string]*scriptedTable
	callErrs map[string]error // error of the peer call itself, by address
}

func (n *fakeDomainPeers) Entries(string) []structs.Member { return n.members }
func (n *fakeDomainPeers) Reachable(string) bool           { return true }

func (n *fakeDomainPeers) Relay(ctx context.Context, address string, m *peer.RelayRequest) (*peer.RelayResponse, error) {
	if err := n.callErrs[address]; errors.Is(err, peer.ErrUnreachable) {
		return nil, err
	}
	response, err := NewHandler(n.tables[address]).Relay(ctx, m)
	if n.callErrs[address] != nil {
		return nil, n.callErrs[address]
	}
	return response, err
}

// Guards against a commit that takes effect twice, against one that is reported to have
// no effect although it took effect, and against a reported success without effect.
func TestCommitTakesEffectAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := []error{nil, platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrOutcomeUnknown, &platform.ConflictError{Key: "k"}}
		direct := &scriptedTable{errs: []error{rapid.SampledFrom(outcomes).Draw(t, "direct")}}
		domainPeers := &fakeDomainPeers{tables: map[string]*scriptedTable{}, callErrs: map[string]error{}}
		for _, name := range []string{"self", "a", "b", "c"} {
			domainPeers.members = append(domainPeers.members, structs.Member{Name: name, Address: name})
			domainPeers.tables[name] = &scriptedTable{errs: []error{rapid.SampledFrom(outcomes).Draw(t, name)}}
			domainPeers.callErrs[name] = rapid.SampledFrom([]error{nil, nil, peer.ErrUnreachable, peer.ErrOutcomeUnknown}).Draw(t, name+" call")
		}
		table := NewTable(direct, structs.Member{Name: "self"}, domainPeers, domainPeers)
		_, err := table.Commit(t.Context(), platform.Transaction{WriteID: "w"})
		effects := direct.effects
		for _, other := range domainPeers.tables {
			effects += other.effects
		}
		var conflict *platform.ConflictError
		switch {
		case effects > 1:
			t.Fatalf("the commit took effect %d times", effects)
		case err == nil && effects != 1:
			t.Fatal("the commit succeeded without taking effect")
		case effects == 1 && (errors.Is(err, platform.ErrUnavailable) || errors.As(err, &conflict)):
			t.Fatalf("the commit took effect, but the caller gets the error %v", err)
		}
	})
}

// Guards against reads that fail although a reachable domain peer can read the table.
func TestReadTriesEachReachableDomainPeer(t *testing.T) {
	domainPeers := &fakeDomainPeers{
		members: []structs.Member{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"}},
		tables: map[string]*scriptedTable{
			"a": {errs: []error{platform.ErrUnavailable}},
			"b": {},
			"c": {},
		},
		callErrs: map[string]error{"b": peer.ErrOutcomeUnknown},
	}
	direct := &scriptedTable{errs: []error{platform.ErrUnavailable}}
	table := NewTable(direct, structs.Member{Name: "self"}, domainPeers, domainPeers)
	rows, err := table.Read(t.Context(), "k")
	if err != nil || len(rows) != 1 {
		t.Fatalf("read: %v, %v", rows, err)
	}
}
