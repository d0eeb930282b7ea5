package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotstile/leadership"
	"bergamotstile/maintenance"
	"bergamotstile/rowstore"
)

const testHandover = 700 * time.Millisecond

// silentMachines are two machines that are up. No order is answered.
type silentMachines struct {
	mu     sync.Mutex
	called []maintenance.Call
	epochs []uint64
	at     []time.Time
	err    error
}

func (s *silentMachines) List(context.Context) ([]maintenance.Machine, error) {
	return []maintenance.Machine{{ID: "m1", Runner: "x1"}, {ID: "m2", Runner: "x2"}}, nil
}

func (s *silentMachines) BeginUpkeep(_ context.Context, c maintenance.Call, epoch uint64) (maintenance.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.called, s.epochs, s.at = append(s.called, c), append(s.epochs, epoch), append(s.at, time.Now())
	return maintenance.Unanswered, s.err
}

func (s *silentMachines) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.called)
}

func waveStatus(r maintenance.Report) rowstore.Put {
	return rowstore.Put{Key: rowstore.Key{Table: "status", Key: "wave"}, Value: []byte(r.Status.String())}
}

// waveTerms returns a function that runs one term of a coordinator with a wave.
func waveTerms(t *testing.T, m *silentMachines) (*rowstore.Memory, func(epoch uint64, length time.Duration) error) {
	store, env := deployment(t, newFleet(1, 1))
	wave := maintenance.Wave{Number: 1, Machines: []string{"m1", "m2"}, FinishWithin: time.Minute, MaxDown: 1}
	env.Maintenance = &Maintenance{Machines: m, Waves: func() []maintenance.Wave { return []maintenance.Wave{wave} },
		EncodeStatus: waveStatus, Upkeep: time.Second, Handover: testHandover}
	return store, func(epoch uint64, length time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		return Lead(ctx, env, leadership.NewTerm(epoch, env.Clock(), env.Clock))
	}
}

// A successor must repeat the call whose fate it can't know, with its own epoch and
// not while its predecessor may, and must not take another machine down beside it.
func TestSuccessorRepeatsCallsForUpkeep(t *testing.T) {
	m := &silentMachines{err: errNoAnswer}
	_, lead := waveTerms(t, m)
	_ = lead(1, 700*time.Millisecond)
	first := m.calls()
	if first == 0 {
		t.Fatal("no call in the first term")
	}
	begun := time.Now()
	_ = lead(2, 1500*time.Millisecond)
	if m.calls() == first {
		t.Fatal("no call in the second term")
	}
	if gap := m.at[first].Sub(begun); gap < testHandover {
		t.Errorf("first call %v after the takeover", gap)
	}
	if slices.ContainsFunc(m.called, func(c maintenance.Call) bool { return c != m.called[0] }) {
		t.Errorf("calls %v", m.called)
	}
	if m.epochs[first-1] != 1 || m.epochs[first] != 2 {
		t.Errorf("epochs %v", m.epochs)
	}
}

// A coordinator whose order is refused because of a later one must give up.
func TestFencedUpkeepEndsTheTerm(t *testing.T) {
	m := &silentMachines{err: ErrFenced}
	_, lead := waveTerms(t, m)
	if err := lead(1, 5*time.Second); !errors.Is(err, ErrFenced) {
		t.Errorf("the term ended with %v", err)
	}
}

// Without its predecessor's record a coordinator can't keep a wave's limit, so it
// must leave waves alone, and no status may say otherwise.
func TestWavesAreLeftAloneWithoutTheirRecord(t *testing.T) {
	m := &silentMachines{err: errNoAnswer}
	store, lead := waveTerms(t, m)
	if _, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: wavesKey, Value: []byte("\xff")}}}); err != nil {
		t.Fatal(err)
	}
	_ = lead(1, 700*time.Millisecond)
	res, err := store.Read(context.Background(), rowstore.Range{Table: "status"})
	if err != nil || len(res.Rows) > 0 || m.calls() > 0 {
		t.Errorf("%d calls, %d statuses, %v", m.calls(), len(res.Rows), err)
	}
}
