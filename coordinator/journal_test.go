package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotstile/gateway"
	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// progressWrite returns a write of the progress of a job with some tasks done.
func progressWrite(t *testing.T, id jobs.ID, done int) ProgressWrite {
	t.Helper()
	j := jobs.New(id, testQueue, jobs.Spec{Steps: []jobs.Step{{Count: 5}}}, 0, 1)
	j.OpenOccurrence(0)
	for i := range done {
		j.MarkDone(taskID(id, 0, i))
	}
	value, err := jobs.EncodeProgress(j, 0)
	if err != nil {
		t.Fatal(err)
	}
	return ProgressWrite{Job: j, Value: value}
}

// newFencedJournal returns the journal of a coordinator that has fenced the part of firstID.
func newFencedJournal(t *testing.T, store rowstore.Store, epoch uint64) *journal {
	t.Helper()
	j := newJournal(store, epoch, discardLog())
	if _, err := j.fence(context.Background(), gateway.PartOf(firstID)); err != nil {
		t.Fatal(err)
	}
	return j
}

// delayingStore does not carry out the first commit of progress, but keeps it so that the
// test can carry it out later. A real store may do so with a call that it has not answered.
type delayingStore struct {
	*rowstore.Memory
	delayedCommit *rowstore.Transaction
}

func (s *delayingStore) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	if s.delayedCommit == nil && len(tx.Puts) > 0 && tx.Puts[0].Key.Table == gateway.ProgressTable {
		s.delayedCommit = &tx
		return 0, rowstore.ErrOutcomeUnknown
	}
	return s.Memory.Commit(ctx, tx)
}

// Guards against a write that the store carries out late and that undoes progress stored
// meanwhile: the tasks done meanwhile would run again.
func TestLateWriteDoesNotUndoProgress(t *testing.T) {
	store := &delayingStore{Memory: rowstore.NewMemory()}
	j := newFencedJournal(t, store, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for done := 1; done <= 3; done++ {
		if err := j.storeAll(ctx, []ProgressWrite{progressWrite(t, firstID, done)}); err != nil {
			t.Fatal(err)
		}
	}
	var conflict *rowstore.ConflictError
	if _, err := store.Memory.Commit(ctx, *store.delayedCommit); !errors.As(err, &conflict) {
		t.Errorf("late write: %v, want a conflict", err)
	}
}

// Guards against a write whose answer is lost after it took effect, and which blocks all
// later writes.
func TestLostAnswersAreResolved(t *testing.T) {
	store := rowstore.NewMemory()
	j := newFencedJournal(t, store, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	calls := 0
	store.AfterCommit = func(string) error {
		if calls++; calls%2 == 1 {
			return rowstore.ErrOutcomeUnknown
		}
		return nil
	}
	for done := 1; done <= 4; done++ {
		if err := j.storeAll(ctx, []ProgressWrite{progressWrite(t, firstID, done)}); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a coordinator that writes progress after a later one has fenced it off.
func TestDeposedCoordinatorCannotWrite(t *testing.T) {
	store := rowstore.NewMemory()
	old := newFencedJournal(t, store, 1)
	newFencedJournal(t, store, 2)
	if err := old.storeAll(context.Background(), []ProgressWrite{progressWrite(t, firstID, 1)}); !errors.Is(err, ErrDeposed) {
		t.Errorf("error %v, want deposed", err)
	}
	late := newJournal(store, 1, discardLog())
	if _, err := late.fence(context.Background(), gateway.PartOf(firstID)); !errors.Is(err, ErrDeposed) {
		t.Errorf("fence of an old epoch: %v, want deposed", err)
	}
}

// Guards against leases that count as expired at once on a runner that has never answered
// this coordinator. They were granted by the predecessor and expire at the inherited time. A
// takeover started tasks a second time because of this fault.
func TestRunnerThatNeverAnsweredExpiresWithItsInheritedLease(t *testing.T) {
	coord := &coordinator{env: Environment{LeaseDuration: 8 * time.Second}, term: leadership.NewTerm(1, time.Hour, func() time.Duration { return 0 })}
	l := newLink(coord, "a", "", 20*time.Second)
	l.recordUnanswered(15 * time.Second)
	if l.markExpired(15 * time.Second) {
		t.Error("expired before the predecessor's leases had")
	}
	if !l.markExpired(21 * time.Second) {
		t.Error("not expired after the predecessor's leases had")
	}
}

// Guards against leases that count as expired while a runner with a slow clock still keeps
// them.
func TestLeaseExpiryAllowsForSlowClock(t *testing.T) {
	l := leaseState{clockReading: 100 * time.Second, receivedAt: 10 * time.Second}
	deadline := l.extend(19 * time.Second)
	if deadline != 109*time.Second {
		t.Errorf("deadline %v, want 109 s on the runner's clock", deadline)
	}
	if minExpiry := 10*time.Second + 9*time.Second*100/98; l.expiresBy < minExpiry {
		t.Errorf("expired at %v, want at least %v", l.expiresBy, minExpiry)
	}
}

// Guards against a coordinator that can't renew its lease, takes the leases on a runner that
// it can't reach as expired, and starts the runner's tasks elsewhere. It may have a
// successor that extends those leases.
func TestRunnerLeasesDoNotExpireWithoutTheCoordinatorsLease(t *testing.T) {
	now := 20 * time.Second
	clock := func() time.Duration { return now }
	newSilentLink := func() *link {
		l := newLink(&coordinator{term: leadership.NewTerm(1, 20*time.Second, clock), env: Environment{Clock: clock}}, "a", "", time.Second)
		l.recordUnanswered(now)
		return l
	}
	if !newSilentLink().markExpired(now) {
		t.Error("the runner is not taken as gone although its leases have expired and the coordinator's lease is held")
	}
	now += leadership.ExclusiveTime
	if newSilentLink().markExpired(now) {
		t.Error("leases are taken as expired while a successor may extend them")
	}
	if !newSilentLink().markReplaced(ErrWrongRunner) {
		t.Error("the runner is not taken as gone although another runner has the address")
	}
	if newSilentLink().markReplaced(errors.New("no answer")) {
		t.Error("a poll without an answer counts as another runner at the address")
	}
}

// replacedRunner answers every poll and every order as another runner at the same address
// does.
type replacedRunner struct{}

func (replacedRunner) Poll(context.Context, PollRequest) (PollResponse, error) {
	return PollResponse{}, ErrWrongRunner
}

func (replacedRunner) Send(context.Context, Order, uint64, time.Duration) (OrderResponse, error) {
	return OrderResponse{Outcome: WrongRunner}, nil
}

// Guards against tasks that wait for their leases to expire although another runner has
// taken the address of their runner, so that their runner no longer runs anything. The wait
// cost the tasks of a lost rack 4 s.
func TestReplacedRunnerIsGoneAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	coord := &coordinator{
		env:    Environment{LeaseDuration: 8 * time.Second, Runners: replacedRunner{}, Clock: func() time.Duration { return time.Second }, Count: func(string, int64) {}},
		term:   leadership.NewTerm(1, time.Hour, func() time.Duration { return time.Second }),
		events: make(chan queuedEvent, 8),
	}
	l := newLink(coord, "a", "", time.Hour)
	go l.pollLoop(ctx)
	for {
		select {
		case e := <-coord.events:
			if _, ok := e.event.(runnerReplacedEvent); ok {
				return
			}
		case <-ctx.Done():
			t.Fatal("the runner was not taken as gone")
		}
	}
}

// Guards against an acknowledgement for an earlier process of a runner that reaches a new
// one. A new process numbers its results from 1, so after a poll or an order without an answer no
// poll may say that the runner may forget results. In the soak test (seed 106) a runner forgot a
// result that the coordinator had not seen, and its task ran again.
func TestPossiblyRestartedRunnerIsSentNoAcknowledgement(t *testing.T) {
	l := newLink(&coordinator{term: leadership.NewTerm(1, time.Hour, func() time.Duration { return time.Second }), env: Environment{Clock: func() time.Duration { return time.Second }}}, "r", "a", 0)
	const incarnation = 5
	l.recordAnswer(incarnation, time.Second, time.Second, time.Second, l.token())
	l.setAcknowledged(Acknowledgement{Incarnation: incarnation, Number: 7})
	if got := l.nextRequest().Acknowledged; got != 7 {
		t.Fatalf("acknowledged %d while the runner answers, want 7", got)
	}
	l.recordUnanswered(time.Second)
	if got := l.nextRequest().Acknowledged; got != 0 {
		t.Errorf("acknowledged %d after a poll without an answer", got)
	}
	l.recordAnswer(incarnation, time.Second, time.Second, time.Second, l.token())
	l.recordUnansweredOrder(Order{Kind: Stop}, 0, errNoAnswer)
	if got := l.nextRequest().Acknowledged; got != 0 {
		t.Errorf("acknowledged %d after an order without an answer", got)
	}
	l.recordAnswer(incarnation, time.Second, time.Second, time.Second, l.token())
	if got := l.nextRequest().Acknowledged; got != 7 {
		t.Errorf("acknowledged %d after a report, want 7", got)
	}
}

// Guards against leases on a restarted runner that count as lasting for as long as its
// earlier process had run. The clock of the new process starts from zero, and the leases of
// the earlier one no longer count.
func TestRestartedRunnerIsGrantedLeasesOnItsNewClock(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	l := newLink(&coordinator{term: leadership.NewTerm(1, time.Hour, clock), env: Environment{Clock: clock, LeaseDuration: 8 * time.Second}}, "r", "a", 0)
	l.recordAnswer(1, 10*time.Minute, now, now, l.token())
	l.nextRequest()
	l.recordAnswer(2, time.Second, now, now, l.token())
	if got := l.nextRequest().Deadline; got != 9*time.Second {
		t.Errorf("lease until %v on the new clock, want 9 s", got)
	}
	// The new process has seen the token that replaced the one of the calls to the earlier one.
	l.recordAnswer(2, time.Second, now, now, l.token())
	now += 9 * time.Second
	l.recordUnanswered(now)
	if !l.markExpired(now) {
		t.Error("the leases have not expired 9 s after the last grant")
	}
}
