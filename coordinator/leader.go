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

// Intervals and sizes of the event loop.
const (
	tickInterval = 100 * time.Millisecond
	// progressStoreInterval is the least time between the starts of two writes of
	// progress that is not urgent.
	progressStoreInterval = 60 * time.Millisecond
	eventBufferSize       = 1024
	maxEventBatch         = 128 // events that wait and are applied before the next round of scheduling
	// urgentBufferSize is small because each urgent event may hold many rows.
	urgentBufferSize = 16
)

// leader is one term of the coordinator: the work of this process from when it takes the
// coordinator's lease until it loses or releases it.
type leader struct {
	env     Environment
	term    *leadership.Term
	core    *Core
	journal *journal
	links   map[string]*link // by runner ID
	events  chan queuedEvent
	// urgentEvents carries the changes of jobs and of the registry. They are applied
	// before those in events: a cancel or a draining runner must not wait behind reports.
	urgentEvents chan queuedEvent
	// fatalErrors carries the error that ends the term, see fail.
	fatalErrors chan error
	ctx         context.Context
	cancel      context.CancelFunc
	// coordinatingSince is when the takeover was complete, on the local clock.
	coordinatingSince time.Duration

	// majorityUntil is until when runners may be granted leases while the coordinator's
	// own lease is not renewed, in nanoseconds of the local clock. Zero means that none
	// may be granted. See updateMajority.
	majorityUntil atomic.Int64
	predecessor   predecessor

	// jobsAsOf is the time on the store's clock up to which all accepted jobs are known.
	jobsAsOf   time.Duration
	roundPacer roundPacer
	roundTimer *time.Timer // fires when a postponed round of scheduling is due

	oldestEventAge time.Duration // age of the oldest event applied in this pass of the loop
	backlog        lagTracker
	lagLogThrottle logThrottle
	isLagLogged    bool // the last line about the lag says that the coordinator is behind

	isStoringProgress   bool                      // a write of progress is under way or its event not applied
	lastProgressStore   time.Duration             // when the last write of progress began
	adviceSlot          chan struct{}             // holds a token while a request for advice is under way
	isWritingSharedRows bool                      // a write of shared rows is under way or its event not applied
	sharedRows          map[rowstore.Key]string   // values last written, or being written
	recordedExpiries    map[string]recordedExpiry // that the store may hold, by runner ID
	nextSharedRowsWrite time.Duration
	nextModelWrite      time.Duration
	nextSweep           time.Duration
	endedJobs           map[jobs.ID]time.Duration // when jobs ended whose rows are still stored, on the store's clock
	maintenance         *waveManager              // nil if this term leaves maintenance waves alone
}

// Lead takes over from the predecessor and coordinates. It returns when ctx ends, when
// the takeover or a write fails, when a later coordinator is noticed (ErrDeposed or
// ErrFenced), or when this one is too far behind (ErrBehind).
func Lead(ctx context.Context, env Environment, term *leadership.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &leader{
		env: env, term: term,
		core:             New(env.Limits, env.Log, env.Count),
		journal:          newJournal(env.Store, term.Epoch, env.Log),
		links:            map[string]*link{},
		events:           make(chan queuedEvent, eventBufferSize),
		urgentEvents:     make(chan queuedEvent, urgentBufferSize),
		fatalErrors:      make(chan error, 1),
		ctx:              ctx,
		cancel:           cancel,
		adviceSlot:       make(chan struct{}, 1),
		sharedRows:       map[rowstore.Key]string{},
		recordedExpiries: map[string]recordedExpiry{},
		endedJobs:        map[jobs.ID]time.Duration{},
		maintenance:      newWaveManager(env.Maintenance, env.Log),
	}
	startedAt := env.Clock()
	versions, err := t.takeOver(ctx)
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	env.Log.WithFields(logrus.Fields{"epoch": term.Epoch, "jobs": len(t.core.jobs), "runners": len(t.core.runners),
		"unresolved": t.core.UnresolvedRunners(), "took_ms": (env.Clock() - startedAt).Milliseconds()}).Info("coordinating")
	term.CompleteTakeover()
	t.coordinatingSince = t.env.Clock()
	go t.followJobs(ctx, versions.jobs)
	go t.followRunners(ctx, versions.runners)
	defer t.exportLag(0)
	return t.loop(ctx)
}

// fail makes the loop end the term with an error. Only the first error counts.
func (t *leader) fail(err error) {
	select {
	case t.fatalErrors <- err:
	default:
	}
}

// loop applies events and schedules until the term ends, and returns why it ended.
func (t *leader) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	t.roundTimer = time.NewTimer(0)
	defer t.roundTimer.Stop()
	t.scheduleAndStore()
	for {
		// Check for the end of the term first: while the coordinator is behind, events
		// always wait, and the select statement below might choose them instead.
		select {
		case <-ctx.Done():
			t.handOverLeases()
			return ctx.Err()
		case err := <-t.fatalErrors:
			return err
		default:
		}
		select {
		case <-ctx.Done():
			continue
		case err := <-t.fatalErrors:
			return err
		case <-tick.C:
			t.tick()
		case <-t.roundTimer.C:
		case queued := <-t.urgentEvents:
			t.applyEvent(queued)
			t.sendOrders()
			t.applyWaitingEvents()
		case queued := <-t.events:
			t.applyUrgentEvents()
			t.applyEvent(queued)
			t.applyWaitingEvents()
		}
		t.scheduleAndStore()
		now := t.env.Clock()
		t.updateLag(now)
		if err := t.checkBehind(now); err != nil {
			// Stop all other writes first: they would overwrite the handover.
			t.cancel()
			t.handOverLeases()
			return err
		}
	}
}

// applyWaitingEvents applies up to maxEventBatch events that wait, so that one round of
// scheduling covers them all. Before each it applies the urgent events that wait.
func (t *leader) applyWaitingEvents() {
	for range maxEventBatch {
		t.applyUrgentEvents()
		select {
		case queued := <-t.events:
			t.applyEvent(queued)
		default:
			return
		}
	}
}

// applyUrgentEvents applies the urgent events that wait. It sends the orders that follow
// from them at once, not only after the next round of scheduling.
func (t *leader) applyUrgentEvents() {
	waiting := len(t.urgentEvents)
	if waiting == 0 {
		return
	}
	for range waiting {
		t.applyEvent(<-t.urgentEvents)
	}
	t.sendOrders()
}

// tick does the work that does not follow from an event: it updates the store's clock and
// the queues, expires leases, advances maintenance waves, checks running tasks, and
// writes and removes rows.
func (t *leader) tick() {
	now := t.env.Clock()
	t.core.SetStoreClock(now, t.env.StoreClock())
	t.core.Configure(t.env.Queues())
	t.exportLag(t.backlog.lag)
	t.updateMajority()
	t.expireLeases(now)
	t.advanceWaves(now)
	t.core.CheckRuns(now)
	t.dropStaleLinks()
	if now >= t.nextSharedRowsWrite || t.needsExpiryRemoval() {
		t.nextSharedRowsWrite = now + sharedRowsInterval
		t.writeSharedRows(now)
	}
	if now >= t.nextSweep {
		t.nextSweep = now + sweepInterval
		t.sweepEndedJobs()
	}
}

// scheduleAndStore runs a round of scheduling if one is due, sends the orders and the
// requests for advice, and starts a write of progress if one is due.
func (t *leader) scheduleAndStore() {
	now := t.env.Clock()
	t.schedule(now)
	t.sendOrders()
	for _, r := range t.core.TakeAdviceRequests() {
		go t.requestAdvice(r)
	}
	hasUnstored, urgent := t.core.UnstoredProgress()
	if !t.isStoringProgress && hasUnstored && (urgent || now-t.lastProgressStore >= progressStoreInterval) {
		t.storeProgress(now)
	}
}

// schedule runs a round of scheduling. If it is too early for one, it sets the timer for
// when the round is due.
func (t *leader) schedule(now time.Duration) {
	began := time.Now()
	if wait := t.roundPacer.waitTime(began); wait > 0 {
		t.roundTimer.Reset(wait)
		return
	}
	t.core.Schedule(now, time.Duration(began.UnixNano()))
	t.roundPacer.recordRound(began, time.Now())
}

// sendOrders sends the orders that the core has given since the last call. It drops
// orders to runners without a link.
func (t *leader) sendOrders() {
	for _, o := range t.core.TakeOrders() {
		if l := t.links[o.Runner]; l != nil {
			go l.sendOrder(t.ctx, o)
		}
	}
}

// requestAdvice sends a request for advice and posts the answer. It sends one request at
// a time, as the advice service answers the calls of one machine one after the other.
func (t *leader) requestAdvice(r AdviceRequest) {
	select {
	case t.adviceSlot <- struct{}{}:
		defer func() { <-t.adviceSlot }()
	case <-t.ctx.Done():
		return
	}
	advice, err := t.env.Adviser.Advise(t.ctx, r)
	t.post(t.ctx, adviceEvent{r, advice, err})
}

// storeProgress starts a write of the progress that is not stored yet. It ends the term
// if the progress can't be stored.
func (t *leader) storeProgress(now time.Duration) {
	writes, acknowledged, err := t.core.TakeWrites(now)
	if err != nil {
		t.fail(err)
		return
	}
	for _, w := range writes {
		if w.Job.State.Terminal() {
			t.endedJobs[w.Job.ID] = t.env.StoreClock()
		}
	}
	t.isStoringProgress, t.lastProgressStore = true, now
	go func() {
		if err := t.journal.storeAll(t.ctx, writes); err != nil {
			t.fail(err)
			return
		}
		t.env.Count("progress_stored", int64(len(writes)))
		t.post(t.ctx, progressStoredEvent{acknowledged})
	}()
}

// expireLeases gives up the runs on silent runners as lost once every lease there has
// expired, also while a call to the runner still waits for an answer. It also resolves the
// runners on which the predecessor's leases have expired. It does either only while no
// other process can hold the coordinator's lease.
func (t *leader) expireLeases(now time.Duration) {
	if t.term.IsExclusive() {
		t.lowerInheritedExpiries(now)
		t.core.ResolveExpiredRunners(now)
	}
	for id, l := range t.links {
		if l.markExpired(now) {
			l.expiredAt = now
			t.core.ExpireRunnerLeases(id, now)
		}
	}
}

// lowerInheritedExpiries brings forward the times at which the predecessor's leases are
// taken as expired. It does so once most runners have answered this coordinator, so that
// the predecessor can't get answers from a majority any more.
func (t *leader) lowerInheritedExpiries(now time.Duration) {
	if t.core.UnresolvedRunners() == 0 || t.predecessor.goneBy <= now || !t.core.hasReachedMost() {
		return
	}
	if !t.core.LowerInheritedExpiry(t.predecessor.expiryWithoutMajority(now)) {
		return
	}
	for id, l := range t.links {
		l.lowerInheritedExpiry(t.core.InheritedExpiry(id))
	}
}

// dropStaleLinks stops and removes the links to runners that the core has dropped.
func (t *leader) dropStaleLinks() {
	for id, l := range t.links {
		if t.core.runners[id] == nil {
			l.stop()
			delete(t.links, id)
		}
	}
}

// createLink returns a link to a runner that has not been called over it yet. Leases that
// were granted before count until the expiry that is recorded for the runner or, without
// one, until the predecessor's leases have expired.
func (t *leader) createLink(info RunnerInfo, now time.Duration) *link {
	expiry := t.core.InheritedExpiry(info.ID)
	recorded, isRecorded := t.recordedExpiries[info.ID]
	if isRecorded {
		expiry = recorded.onLocalClock
	}
	l := newLink(t, info.ID, info.Address, expiry)
	l.isExpiryRecorded, l.silentSince = isRecorded, now
	return l
}
