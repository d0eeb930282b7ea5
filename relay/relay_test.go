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

// scripted fails each call with the next error and counts what took effect.
type scripted struct {
	errs    []error
	effects int
}

func (s *scripted) next() error {
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *scripted) Read(context.Context, ...string) ([]platform.Row, error) {
	return []platform.Row{{Key: "k", Version: 1}}, s.next()
}

func (s *scripted) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return []platform.Row{{Key: "k", Version: 1}}, s.next()
}

func (s *scripted) Commit(context.Context, platform.Transaction) (platform.CommitResult, error) {
	err := s.next()
	if err == nil || errors.Is(err, platform.ErrOutcomeUnknown) {
		s.effects++
	}
	return platform.CommitResult{Version: 7}, err
}

// neighbourhood is the other instances, each with its own way to the table.
type neighbourhood struct {
	members []structs.Member
	tables  map[string]*scripted
	calls   map[string]error // failure of the call itself
}

func (n *neighbourhood) Entries(string) []structs.Member { return n.members }
func (n *neighbourhood) Reachable(string) bool           { return true }

func (n *neighbourhood) Relay(ctx context.Context, address string, m *peer.RelayRequest) (*peer.RelayResponse, error) {
	if err := n.calls[address]; errors.Is(err, peer.ErrUnreachable) {
		return nil, err
	}
	answer, err := NewHandler(n.tables[address]).Relay(ctx, m)
	if n.calls[address] != nil {
		return nil, n.calls[address]
	}
	return answer, err
}

// Guards against a commit that takes effect twice, and against one reported
// as without effect although it had one.
func TestCommitIsNeverRepeatedBlindly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcomes := []error{nil, platform.ErrUnavailable, platform.ErrUnavailable, platform.ErrOutcomeUnknown, &platform.ConflictError{Key: "k"}}
		direct := &scripted{errs: []error{rapid.SampledFrom(outcomes).Draw(t, "direct")}}
		n := &neighbourhood{tables: map[string]*scripted{}, calls: map[string]error{}}
		for _, name := range []string{"self", "a", "b", "c"} {
			n.members = append(n.members, structs.Member{Name: name, Address: name})
			n.tables[name] = &scripted{errs: []error{rapid.SampledFrom(outcomes).Draw(t, name)}}
			n.calls[name] = rapid.SampledFrom([]error{nil, nil, peer.ErrUnreachable, peer.ErrOutcomeUnknown}).Draw(t, name+" call")
		}
		table := NewTable(direct, structs.Member{Name: "self"}, n, n)
		_, err := table.Commit(t.Context(), platform.Transaction{WriteID: "w"})
		effects := direct.effects
		for _, other := range n.tables {
			effects += other.effects
		}
		var conflict *platform.ConflictError
		switch {
		case effects > 1:
			t.Fatalf("the commit took effect %d times", effects)
		case err == nil && effects != 1:
			t.Fatal("success without effect")
		case effects == 1 && (errors.Is(err, platform.ErrUnavailable) || errors.As(err, &conflict)):
			t.Fatalf("it took effect, but the caller sees %v", err)
		}
	})
}

// Guards against reads that give up although a neighbour reaches the table.
func TestReadTriesEachNeighbour(t *testing.T) {
	n := &neighbourhood{
		members: []structs.Member{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"}},
		tables: map[string]*scripted{
			"a": {errs: []error{platform.ErrUnavailable}},
			"b": {},
			"c": {},
		},
		calls: map[string]error{"b": peer.ErrOutcomeUnknown},
	}
	direct := &scripted{errs: []error{platform.ErrUnavailable}}
	table := NewTable(direct, structs.Member{Name: "self"}, n, n)
	rows, err := table.Read(t.Context(), "k")
	if err != nil || len(rows) != 1 {
		t.Fatalf("read: %v, %v", rows, err)
	}
}
