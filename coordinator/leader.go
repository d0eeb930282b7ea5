package coordinator

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// Times of the coordinator's duties.
const (
	tickEvery = 100 * time.Millisecond
	// storeEvery is the pause between writes of progress that is not urgent.
	storeEvery  = 60 * time.Millisecond
	eventBuffer = 1024
	maxBatch    = 128 // events handled between two rounds of scheduling
	// urgentBuffer is small: the events in it hold many rows each.
	urgentBuffer = 16
)

// leader is one term of the coordinator.
type leader struct {
	env     Environment
	term    *leadership.Term
	core    *Core
	journal *journal
	links   map[string]*link
	events  chan posted
	// urgent are the changes of jobs and of the registry. They are applied before
	// events: a cancel or a draining runner must not wait behind reports.
	urgent chan posted
	failed chan error
	ctx    context.Context
	cancel context.CancelFunc
	// coordinating is since when the term has coordinated.
	coordinating time.Duration

	// majorityUntil is until when leases may be granted without renewals, see
	// noteMajority.
	majorityUntil atomic.Int64
	predecessor   predecessor

	// jobsAsOf is the time of the store's clock up to which accepted jobs are known.
	jobsAsOf   time.Duration
	rounds     roundPacer
	roundTimer *time.Timer // fires when a round that was put off is due

	oldest    time.Duration // age of the oldest event of the present round
	backlog   backlog
	lagLog    logThrottle
	lagLogged bool // the log says that the coordinator is behind

	storing        bool
	lastStore      time.Duration
	advising       chan struct{} // token of the one request for advice
	storingShared  bool          // a write of shared rows is under way
	sharedRows     map[rowstore.Key]string
	expiries       map[string]recordedExpiry // that the store may hold, by runner
	nextSharedRows time.Duration
	nextLearn      time.Duration
	nextSweep      time.Duration
	ended          map[jobs.ID]time.Duration // on the store's clock
	upkeep         *upkeep                   // nil if waves are left alone
}

// Lead coordinates until ctx ends, a later coordinator is noticed or this one is too far
// behind (ErrBehind).
func Lead(ctx context.Context, env Environment, term *leadership.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &leader{
		env: env, term: term,
		core:       New(env.Limits, env.Log, env.Count),
		journal:    newJournal(env.Store, term.Epoch, env.Log),
		links:      map[string]*link{},
		events:     make(chan posted, eventBuffer),
		urgent:     make(chan posted, urgentBuffer),
		failed:     make(chan error, 1),
		ctx:        ctx,
		cancel:     cancel,
		advising:   make(chan struct{}, 1),
		sharedRows: map[rowstore.Key]string{},
		expiries:   map[string]recordedExpiry{},
		ended:      map[jobs.ID]time.Duration{},
		upkeep:     newUpkeep(env.Maintenance, env.Log),
	}
	begun := env.Clock()
	versions, err := t.takeOver(ctx)
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	env.Log.WithFields(logrus.Fields{"epoch": term.Epoch, "jobs": len(t.core.jobs), "runners": len(t.core.runners),
		"unresolved": t.core.Unresolved(), "took_ms": (env.Clock() - begun).Milliseconds()}).Info("coordinating")
	term.CompleteTakeover()
	t.coordinating = t.env.Clock()
	go t.followJobs(ctx, versions.jobs)
	go t.followRunners(ctx, versions.runners)
	defer t.exportLag(0)
	return t.loop(ctx)
}

// fail ends the term.
func (t *leader) fail(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

func (t *leader) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	t.roundTimer = time.NewTimer(0)
	defer t.roundTimer.Stop()
	t.act()
	for {
		// The end of the term goes before events, of which some always wait while the
		// coordinator is behind.
		select {
		case <-ctx.Done():
			t.handOver()
			return ctx.Err()
		case err := <-t.failed:
			return err
		default:
		}
		select {
		case <-ctx.Done():
			continue
		case err := <-t.failed:
			return err
		case <-tick.C:
			t.tick()
		case <-t.roundTimer.C:
		case p := <-t.urgent:
			t.take(p)
			t.sendOrders()
			t.drain()
		case p := <-t.events:
			t.applyUrgent()
			t.take(p)
			t.drain()
		}
		t.act()
		now := t.env.Clock()
		t.noteLag(now)
		if err := t.overdue(now); err != nil {
			// Nothing may be written beside the handover: it would be undone.
			t.cancel()
			t.handOver()
			return err
		}
	}
}

// drain handles events that wait, so that scheduling sees them together.
func (t *leader) drain() {
	for range maxBatch {
		t.applyUrgent()
		select {
		case p := <-t.events:
			t.take(p)
		default:
			return
		}
	}
}

// applyUrgent handles the urgent events that wait and sends the orders that follow
// from them, which don't wait for a round of scheduling.
func (t *leader) applyUrgent() {
	waiting := len(t.urgent)
	if waiting == 0 {
		return
	}
	for range waiting {
		t.take(<-t.urgent)
	}
	t.sendOrders()
}

func (t *leader) tick() {
	now := t.env.Clock()
	t.core.SetStoreClock(now, t.env.StoreClock())
	t.core.Configure(t.env.Queues())
	t.exportLag(t.backlog.lag)
	t.noteMajority()
	t.lapse(now)
	t.maintain(now)
	t.core.Watch(now)
	t.dropLinks()
	if now >= t.nextSharedRows || t.withdraws() {
		t.nextSharedRows = now + sharedRowsEvery
		t.writeSharedRows(now)
	}
	if now >= t.nextSweep {
		t.nextSweep = now + sweepEvery
		t.sweep()
	}
}

// act schedules if a round is due, sends the orders and stores the progress.
func (t *leader) act() {
	now := t.env.Clock()
	t.schedule(now)
	t.sendOrders()
	for _, r := range t.core.TakeRequests() {
		go t.advise(r)
	}
	waits, urgent := t.core.Dirty()
	if !t.storing && waits && (urgent || now-t.lastStore >= storeEvery) {
		t.storeProgress(now)
	}
}

func (t *leader) schedule(now time.Duration) {
	began := time.Now()
	if wait := t.rounds.wait(began); wait > 0 {
		t.roundTimer.Reset(wait)
		return
	}
	t.core.Schedule(now, time.Duration(began.UnixNano()))
	t.rounds.done(began, time.Now())
}

func (t *leader) sendOrders() {
	for _, o := range t.core.TakeOrders() {
		if l := t.links[o.Runner]; l != nil {
			go l.send(t.ctx, o)
		}
	}
}

// advise asks for advice. The service answers one call of a machine at a time.
func (t *leader) advise(r AdviceRequest) {
	select {
	case t.advising <- struct{}{}:
		defer func() { <-t.advising }()
	case <-t.ctx.Done():
		return
	}
	advice, err := t.env.Adviser.Advise(t.ctx, r)
	t.post(t.ctx, adviceEvent{r, advice, err})
}

func (t *leader) storeProgress(now time.Duration) {
	writes, acknowledged, err := t.core.TakeWrites(now)
	if err != nil {
		t.fail(err)
		return
	}
	for _, w := range writes {
		if w.Job.State.Terminal() {
			t.ended[w.Job.ID] = t.env.StoreClock()
		}
	}
	t.storing, t.lastStore = true, now
	go func() {
		if err := t.journal.storeAll(t.ctx, writes); err != nil {
			t.fail(err)
			return
		}
		t.env.Count("progress_stored", int64(len(writes)))
		t.post(t.ctx, storedEvent{acknowledged})
	}()
}

// lapse gives up what runs on silent runners once every lease there has lapsed,
// whether or not a call to them is still waited for.
func (t *leader) lapse(now time.Duration) {
	if t.term.IsExclusive() {
		t.noteSuccession(now)
		t.core.LapseInherited(now)
	}
	for id, l := range t.links {
		if l.lapses(now) {
			l.lapsedAt = now
			t.core.RunnerLapsed(id, now)
		}
	}
}

// noteSuccession brings forward when the predecessor's leases have lapsed, once it
// can't have a majority of the runners any more.
func (t *leader) noteSuccession(now time.Duration) {
	if t.core.Unresolved() == 0 || t.predecessor.gone <= now || !t.core.mostReached() {
		return
	}
	if !t.core.LowerInherited(t.predecessor.withoutMajority(now)) {
		return
	}
	for id, l := range t.links {
		l.lowerInherited(t.core.InheritedLapse(id))
	}
}

// dropLinks ends the duties of runners that are gone.
func (t *leader) dropLinks() {
	for id, l := range t.links {
		if t.core.runners[id] == nil {
			l.stop()
			delete(t.links, id)
		}
	}
}

// linkTo returns a link to a runner that has not been called yet.
func (t *leader) linkTo(info RunnerInfo, now time.Duration) *link {
	lapsed := t.core.InheritedLapse(info.ID)
	x, held := t.expiries[info.ID]
	if held {
		lapsed = x.local
	}
	l := newLink(t, info.ID, info.Address, lapsed)
	l.recorded, l.silentSince = held, now
	return l
}
