package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// lateStore carries out some commits only when the test says so, and never answers them.
type lateStore struct {
	*rowstore.Memory
	isLate func() bool
	late   []rowstore.Transaction
}

func (s *lateStore) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	if s.isLate() {
		s.late = append(s.late, tx)
		return 0, rowstore.ErrOutcomeUnknown
	}
	return s.Memory.Commit(ctx, tx)
}

// carryOutOne carries out the late commit at an index, if its conditions still hold.
func (s *lateStore) carryOutOne(ctx context.Context, index int) {
	tx := s.late[index]
	s.late = append(s.late[:index], s.late[index+1:]...)
	_, _ = s.Memory.Commit(ctx, tx)
}

// Guards against a job that runs after its cancel was answered: the store lost the answers to the
// writes that submit it, the cancel found no job, and the store carried one of the writes out later.
func TestLateSubmissionFailsAfterItsCancelWasAnswered(t *testing.T) {
	isLate := true
	store := &lateStore{Memory: rowstore.NewMemory(), isLate: func() bool { return isLate }}
	if err := newGateway(store).Submit(shortContext(t), queue, id, spec); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("error %v, want unknown", err)
	}
	isLate = false
	other := newGateway(store)
	if exists, err := other.Cancel(shortContext(t), id); exists || err != nil {
		t.Fatalf("exists %v, error %v, want no such job", exists, err)
	}
	for len(store.late) > 0 {
		store.carryOutOne(t.Context(), 0)
	}
	if state, exists, err := other.Status(shortContext(t), id); exists || err != nil {
		t.Errorf("the job is %v after its cancel was answered, error %v", state, err)
	}
	if err := newGateway(store).Submit(shortContext(t), queue, id, spec); !errors.Is(err, ErrCancelled) {
		t.Errorf("a repeated submission: %v, want cancelled", err)
	}
	if exists, err := other.Cancel(shortContext(t), id); exists || err != nil {
		t.Errorf("a repeated cancel: exists %v, error %v, want no such job", exists, err)
	}
}

// Guards against any order of submissions, cancels and late writes by which a job is accepted and
// not cancelled after a cancel was answered, or a submission is refused although the job runs.
func TestAnsweredCancelHoldsWhateverIsCarriedOutLate(t *testing.T) {
	cancels, lates := 0, 0
	for seed := range uint64(2000) {
		synctest.Test(t, func(t *testing.T) {
			c, l := playCancels(t, rand.New(rand.NewPCG(seed, 45)))
			cancels, lates = cancels+c, lates+l
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	if cancels < 2000 || lates < 500 {
		t.Errorf("%d cancels and %d late writes show too little", cancels, lates)
	}
}

// playCancels submits and cancels a job in a random order, while the store carries some writes out
// late, and checks the state of the job. It returns the numbers of cancels and of late writes.
func playCancels(t *testing.T, random *rand.Rand) (cancels, lates int) {
	store := &lateStore{Memory: rowstore.NewMemory(), isLate: func() bool { return random.IntN(3) == 0 }}
	isCancelled, isAccepted := false, false
	for range 12 {
		g := newGateway(store) // each call is made at another instance
		switch n := random.IntN(4); {
		case n == 0:
			isAccepted = g.Submit(t.Context(), queue, id, spec) == nil || isAccepted
		case n == 1:
			_, err := g.Cancel(t.Context(), id)
			isCancelled = isCancelled || err == nil
			cancels++
		case len(store.late) > 0:
			store.carryOutOne(t.Context(), random.IntN(len(store.late)))
			lates++
		}
		state, exists, err := g.Status(t.Context(), id)
		switch {
		case err != nil:
			t.Error(err)
		case isCancelled && exists && state != jobs.Cancelled:
			t.Errorf("the job is %v after its cancel was answered", state)
		case isAccepted && !exists:
			t.Error("an accepted job does not exist")
		}
	}
	return cancels, lates
}

// Guards against a submission that is refused as cancelled although the store does not say so: an
// earlier one may have been accepted.
func TestConflictWithoutRowsLeavesTheOutcomeUnknown(t *testing.T) {
	if err := submitOutcome(id, &rowstore.ConflictError{}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error %v, want unknown", err)
	}
}
