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

const testHandoverGap = 700 * time.Millisecond

// unansweringMachines is a platform with two machines that are up. It records the calls
// for maintenance and answers none of them.
type unansweringMachines struct {
	mu        sync.Mutex
	sentCalls []maintenance.Call
	epochs    []uint64
	sentAt    []time.Time
	err       error
}

func (s *unansweringMachines) List(context.Context) ([]maintenance.Machine, error) {
	return []maintenance.Machine{{ID: "m1", Runner: "x1"}, {ID: "m2", Runner: "x2"}}, nil
}

func (s *unansweringMachines) BeginMaintenance(_ context.Context, call maintenance.Call, epoch uint64) (maintenance.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentCalls, s.epochs, s.sentAt = append(s.sentCalls, call), append(s.epochs, epoch), append(s.sentAt, time.Now())
	return maintenance.Unanswered, s.err
}

// callCount returns the number of calls for maintenance so far.
func (s *unansweringMachines) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sentCalls)
}

// encodeTestStatus returns the row for the status of a wave.
func encodeTestStatus(r maintenance.Report) rowstore.Put {
	return rowstore.Put{Key: rowstore.Key{Table: "status", Key: "wave"}, Value: []byte(r.Status.String())}
}

// newWaveTerms returns a store and a function that runs one term of a coordinator with a
// maintenance wave.
func newWaveTerms(t *testing.T, machines *unansweringMachines) (*rowstore.Memory, func(epoch uint64, length time.Duration) error) {
	store, env := newDeployment(t, newFakeFleet(1, 1))
	wave := maintenance.Wave{Number: 1, Machines: []string{"m1", "m2"}, FinishWithin: time.Minute, MaxDown: 1}
	env.Maintenance = &Maintenance{Machines: machines, Waves: func() []maintenance.Wave { return []maintenance.Wave{wave} },
		EncodeStatus: encodeTestStatus, MachineDuration: time.Second, HandoverGap: testHandoverGap}
	return store, func(epoch uint64, length time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		return Lead(ctx, env, leadership.NewTerm(epoch, env.Clock(), env.Clock))
	}
}

// Guards against a successor that does not repeat a predecessor's call with an unknown
// outcome, that repeats it under the predecessor's epoch or while the predecessor may
// still call, or that takes another machine down at the same time.
func TestSuccessorRepeatsUnansweredMaintenanceCalls(t *testing.T) {
	machines := &unansweringMachines{err: errNoAnswer}
	_, runTerm := newWaveTerms(t, machines)
	_ = runTerm(1, 700*time.Millisecond)
	firstTermCalls := machines.callCount()
	if firstTermCalls == 0 {
		t.Fatal("no call in the first term")
	}
	takeover := time.Now()
	_ = runTerm(2, 1500*time.Millisecond)
	if machines.callCount() == firstTermCalls {
		t.Fatal("no call in the second term")
	}
	if gap := machines.sentAt[firstTermCalls].Sub(takeover); gap < testHandoverGap {
		t.Errorf("first call %v after the takeover", gap)
	}
	if slices.ContainsFunc(machines.sentCalls, func(call maintenance.Call) bool { return call != machines.sentCalls[0] }) {
		t.Errorf("calls %v", machines.sentCalls)
	}
	if machines.epochs[firstTermCalls-1] != 1 || machines.epochs[firstTermCalls] != 2 {
		t.Errorf("epochs %v", machines.epochs)
	}
}

// Guards against a term that goes on although a call was refused because a later
// coordinator has called.
func TestFencedMaintenanceCallEndsTheTerm(t *testing.T) {
	machines := &unansweringMachines{err: ErrFenced}
	_, runTerm := newWaveTerms(t, machines)
	if err := runTerm(1, 5*time.Second); !errors.Is(err, ErrFenced) {
		t.Errorf("the term ended with %v", err)
	}
}

// Guards against a coordinator that carries out waves, or reports their status, although
// it can't read its predecessor's record: it could not keep the limit of a wave.
func TestWavesAreIgnoredWithoutTheirRecord(t *testing.T) {
	machines := &unansweringMachines{err: errNoAnswer}
	store, runTerm := newWaveTerms(t, machines)
	if _, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Put{{Key: wavesKey, Value: []byte("\xff")}}}); err != nil {
		t.Fatal(err)
	}
	_ = runTerm(1, 700*time.Millisecond)
	result, err := store.Read(context.Background(), rowstore.Range{Table: "status"})
	if err != nil || len(result.Rows) > 0 || machines.callCount() > 0 {
		t.Errorf("%d calls, %d statuses, %v", machines.callCount(), len(result.Rows), err)
	}
}
