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

func progressOf(t *testing.T, id jobs.ID, done int) Write {
	t.Helper()
	j := jobs.New(id, renders, jobs.Spec{Steps: []jobs.Step{{Count: 5}}}, 0, 1)
	j.Open(0)
	for i := range done {
		j.MarkDone(task(id, 0, i))
	}
	value, err := jobs.EncodeProgress(j, 0)
	if err != nil {
		t.Fatal(err)
	}
	return Write{Job: j, Value: value}
}

func fencedJournal(t *testing.T, store rowstore.Store, epoch uint64) *journal {
	t.Helper()
	n := newJournal(store, epoch, silentLog())
	if _, err := n.fence(context.Background(), gateway.PartOf(firstID)); err != nil {
		t.Fatal(err)
	}
	return n
}

// delayed holds the first commit of progress back and carries it out on
// request, as a store does with a call that it has not answered.
type delayed struct {
	*rowstore.Memory
	held *rowstore.Transaction
}

func (d *delayed) Commit(ctx context.Context, tx rowstore.Transaction) (uint64, error) {
	if d.held == nil && len(tx.Puts) > 0 && tx.Puts[0].Key.Table == gateway.ProgressTable {
		d.held = &tx
		return 0, rowstore.ErrUnknown
	}
	return d.Memory.Commit(ctx, tx)
}

// A write that the store carries out late must not undo progress that was
// stored after it: the tasks in between would run again.
func TestLateWriteDoesNotUndoProgress(t *testing.T) {
	store := &delayed{Memory: rowstore.NewMemory()}
	n := fencedJournal(t, store, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for done := 1; done <= 3; done++ {
		if err := n.storeAll(ctx, []Write{progressOf(t, firstID, done)}); err != nil {
			t.Fatal(err)
		}
	}
	var conflict *rowstore.ConflictError
	if _, err := store.Memory.Commit(ctx, *store.held); !errors.As(err, &conflict) {
		t.Errorf("late write: %v, want a conflict", err)
	}
}

// An answer that is lost after the write took effect must not block later ones.
func TestLostAnswersAreResolved(t *testing.T) {
	store := rowstore.NewMemory()
	n := fencedJournal(t, store, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	calls := 0
	store.Lose = func(string) error {
		if calls++; calls%2 == 1 {
			return rowstore.ErrUnknown
		}
		return nil
	}
	for done := 1; done <= 4; done++ {
		if err := n.storeAll(ctx, []Write{progressOf(t, firstID, done)}); err != nil {
			t.Fatal(err)
		}
	}
}

// A coordinator that was deposed must not write progress any more.
func TestDeposedCoordinatorCannotWrite(t *testing.T) {
	store := rowstore.NewMemory()
	old := fencedJournal(t, store, 1)
	fencedJournal(t, store, 2)
	if err := old.storeAll(context.Background(), []Write{progressOf(t, firstID, 1)}); !errors.Is(err, ErrDeposed) {
		t.Errorf("error %v, want deposed", err)
	}
	late := newJournal(store, 1, silentLog())
	if _, err := late.fence(context.Background(), gateway.PartOf(firstID)); !errors.Is(err, ErrDeposed) {
		t.Errorf("fence of an old epoch: %v, want deposed", err)
	}
}

// A lease on a runner that never answered is that of the predecessor: it has
// not lapsed before the time inherited. A takeover started tasks a second time
// because it took such a runner's leases as lapsed at once.
func TestUnseenRunnerLapsesWithThePredecessorsLease(t *testing.T) {
	tn := &leader{env: Environment{Lease: 8 * time.Second}, term: leadership.NewTerm(1, time.Hour, func() time.Duration { return 0 })}
	l := newLink(tn, "a", "", 20*time.Second)
	l.unanswered(15 * time.Second)
	if l.lapses(15 * time.Second) {
		t.Error("lapsed before the predecessor's leases had")
	}
	if !l.lapses(21 * time.Second) {
		t.Error("not lapsed after the predecessor's leases had")
	}
}

// The runner's clock may be slow; leases there lapse later than here.
func TestLapseAllowsForASlowClock(t *testing.T) {
	l := lease{reading: 100 * time.Second, received: 10 * time.Second}
	granted := l.extend(19 * time.Second)
	if granted != 109*time.Second {
		t.Errorf("granted %v, want 109 s on the runner's clock", granted)
	}
	if least := 10*time.Second + 9*time.Second*100/98; l.lapsed < least {
		t.Errorf("lapsed at %v, want at least %v", l.lapsed, least)
	}
}

// A coordinator that can't renew its lease may have a successor that keeps the
// runs of a runner alive which it can't reach itself. It must not take them as
// lapsed, and start their tasks elsewhere.
func TestLapseIsNoProofWithoutTheLease(t *testing.T) {
	now := 20 * time.Second
	clock := func() time.Duration { return now }
	silent := func() *link {
		l := newLink(&leader{term: leadership.NewTerm(1, 20*time.Second, clock), env: Environment{Clock: clock}}, "a", "", time.Second)
		l.unanswered(now)
		return l
	}
	if !silent().lapses(now) {
		t.Error("leases that lapsed are no proof while the lease is held")
	}
	now += leadership.ExclusiveTime
	if silent().lapses(now) {
		t.Error("leases are taken as lapsed while a successor may extend them")
	}
	if !silent().replaced(ErrWrongRunner) {
		t.Error("another runner at the address is no proof")
	}
	if silent().replaced(errors.New("no answer")) {
		t.Error("a call without an answer counts as another runner at the address")
	}
}

// replaced answers as another runner at the same address does.
type replaced struct{}

func (replaced) Hold(context.Context, HoldRequest) (HoldResponse, error) {
	return HoldResponse{}, ErrWrongRunner
}

func (replaced) Send(context.Context, Order, uint64, time.Duration) (Outcome, error) {
	return WrongRunner, nil
}

// A runner whose address another one has taken is gone: its tasks must not wait
// for their leases, which cost those of a lost rack 4 s.
func TestReplacedRunnerIsGoneAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	tn := &leader{
		env:    Environment{Lease: 8 * time.Second, Runners: replaced{}, Clock: func() time.Duration { return time.Second }, Count: func(string, int64) {}},
		term:   leadership.NewTerm(1, time.Hour, func() time.Duration { return time.Second }),
		events: make(chan posted, 8),
	}
	l := newLink(tn, "a", "", time.Hour)
	go l.serve(ctx)
	for {
		select {
		case e := <-tn.events:
			if _, ok := e.event.(goneEvent); ok {
				return
			}
		case <-ctx.Done():
			t.Fatal("the runner was not taken as gone")
		}
	}
}

// A runner that has started anew numbers its ends from 1. After a call without an
// answer it must not be told to forget ends up to the number of before: in the
// soak (seed 106) one forgot an end that nobody had seen, and its task ran again.
func TestDoubtedRunnerForgetsNothing(t *testing.T) {
	l := newLink(&leader{term: leadership.NewTerm(1, time.Hour, func() time.Duration { return time.Second }), env: Environment{Clock: func() time.Duration { return time.Second }}}, "r", "a", 0)
	const incarnation = 5
	l.answered(incarnation, time.Second, time.Second, time.Second)
	l.acknowledge(Acknowledged{Incarnation: incarnation, Number: 7})
	if got := l.request().Acknowledged; got != 7 {
		t.Fatalf("acknowledged %d before any doubt, want 7", got)
	}
	l.unanswered(time.Second)
	if got := l.request().Acknowledged; got != 0 {
		t.Errorf("acknowledged %d after a call without an answer", got)
	}
	l.answered(incarnation, time.Second, time.Second, time.Second)
	l.doubt()
	if got := l.request().Acknowledged; got != 0 {
		t.Errorf("acknowledged %d after an order without an answer", got)
	}
	l.answered(incarnation, time.Second, time.Second, time.Second)
	if got := l.request().Acknowledged; got != 7 {
		t.Errorf("acknowledged %d after a report, want 7", got)
	}
}

// Guards against leases that seem to last for as long as a runner's earlier process
// had run: its clock starts anew, and what was granted to that process is void.
func TestRunnerThatStartedAnewIsGrantedLeasesOnItsNewClock(t *testing.T) {
	now := time.Minute
	clock := func() time.Duration { return now }
	l := newLink(&leader{term: leadership.NewTerm(1, time.Hour, clock), env: Environment{Clock: clock, Lease: 8 * time.Second}}, "r", "a", 0)
	l.answered(1, 10*time.Minute, now, now)
	l.request()
	l.answered(2, time.Second, now, now)
	if got := l.request().Deadline; got != 9*time.Second {
		t.Errorf("lease until %v on the new clock, want 9 s", got)
	}
	now += 9 * time.Second
	l.unanswered(now)
	if !l.lapses(now) {
		t.Error("the leases have not lapsed 9 s after the last grant")
	}
}
