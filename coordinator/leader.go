package coordinator

import (
	"context"
	"errors"
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

// coordinator is this process in the role of the coordinator, during one term: from when it
// takes the coordinator's lease until it loses or releases it.
type coordinator struct {
	env     Environment
	term    *leadership.Term
	core    *Core
	journal *journal
	links   map[string]*link // by runner ID; each polls its runner, tracks the leases there and sends the orders
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
	tokens        tokenIssuer
	predecessor   predecessor
	// predecessorsList is set if all predecessors granted leases on listed runners only, so that
	// nothing runs on others. See listing.go.
	predecessorsList bool
	takenOverAt      time.Duration // when the takeover read what the predecessor had stored

	// jobsAsOf is the time on the store's clock up to which all accepted jobs are known.
	jobsAsOf   time.Duration
	roundPacer roundPacer
	roundTimer *time.Timer // fires when a postponed round of scheduling is due

	oldestEventAge time.Duration // age of the oldest event applied in this pass of the loop
	lagTracker     lagTracker
	lagLogThrottle logThrottle
	isLagLogged    bool // the last line about the lag says that the coordinator is behind

	isStoringProgress   bool                      // a write of progress is under way or its event not applied
	lastProgressStore   time.Duration             // when the last write of progress began
	adviceSlot          chan struct{}             // holds a token while a request for advice is under way
	isWritingSharedRows bool                      // a write of shared rows is under way or its event not applied
	sharedRowsStoredAt  time.Duration             // when the store last took shared rows
	rosterRowCount      int                       // rows of the roster that the store may hold
	sharedRows          map[rowstore.Key]string   // values last written, or being written
	recordedExpiries    map[string]recordedExpiry // that the store may hold, by runner ID
	// settledIncarnations holds, by runner ID, the processes that the predecessor's roster names
	// as those on which no misdirected call can hold a lease.
	settledIncarnations map[string]int64
	// lateCallExpiries holds, by runner ID, the local time at which the last lease has expired that
	// a call without an answer by a predecessor can have granted.
	lateCallExpiries map[string]time.Duration
	fencedProcesses  map[string]fencedProcess // as in the predecessor's roster, by runner ID
	storeTimes       storeTimes
	// listedRunners holds the runners that the stored roster names, whatever becomes of a write that
	// is under way. See listing.go.
	listedRunners       runnerSet
	nextSharedRowsWrite time.Duration
	nextModelWrite      time.Duration
	nextJobRemoval      time.Duration
	endedJobs           map[jobs.ID]*endedJob
	unreadableJobs      map[jobs.ID]struct{} // accepted jobs whose rows can't be read
	heldWrites          heldWrites           // progress that the store refuses for good
	sharedRowsHeldUntil time.Duration        // no shared rows are written before
	waveManager         *waveManager         // nil if this term ignores maintenance waves
}

// Lead takes over from the predecessor and coordinates. It returns when ctx ends, when
// the takeover or a write fails, when a later coordinator is noticed (ErrDeposed or
// ErrFenced), or when this one is too far behind (ErrBehind).
func Lead(ctx context.Context, env Environment, term *leadership.Term) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	coord := &coordinator{
		env: env, term: term,
		core:                New(env.Limits, env.Log, env.Count),
		journal:             newJournal(env.Store, term.Epoch, env.Log),
		links:               map[string]*link{},
		events:              make(chan queuedEvent, eventBufferSize),
		urgentEvents:        make(chan queuedEvent, urgentBufferSize),
		fatalErrors:         make(chan error, 1),
		ctx:                 ctx,
		cancel:              cancel,
		adviceSlot:          make(chan struct{}, 1),
		sharedRows:          map[rowstore.Key]string{},
		recordedExpiries:    map[string]recordedExpiry{},
		settledIncarnations: map[string]int64{},
		lateCallExpiries:    map[string]time.Duration{},
		fencedProcesses:     map[string]fencedProcess{},
		endedJobs:           map[jobs.ID]*endedJob{},
		unreadableJobs:      map[jobs.ID]struct{}{},
		heldWrites:          heldWrites{},
		waveManager:         newWaveManager(env.Maintenance, env.Log),
	}
	startedAt := env.Clock()
	versions, err := coord.takeOver(ctx)
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	env.Log.WithFields(logrus.Fields{"epoch": term.Epoch, "jobs": len(coord.core.jobs), "runners": len(coord.core.runners),
		"unresolved": coord.core.UnresolvedRunners(), "took_ms": (env.Clock() - startedAt).Milliseconds()}).Info("coordinating")
	term.CompleteTakeover()
	coord.coordinatingSince = coord.env.Clock()
	go coord.followJobs(ctx, versions.jobs)
	go coord.followRunners(ctx, versions.runners)
	defer coord.exportLag(0)
	defer coord.exportEvacuation(EvacuationStatus{})
	return coord.loop(ctx)
}

// fail makes the loop end the term with an error. Only the first error counts.
func (coord *coordinator) fail(err error) {
	select {
	case coord.fatalErrors <- err:
	default:
	}
}

// loop applies events and schedules until the term ends, and returns why it ended.
func (coord *coordinator) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	coord.roundTimer = time.NewTimer(0)
	defer coord.roundTimer.Stop()
	coord.scheduleAndStore()
	for {
		// Check for the end of the term first: while the coordinator is behind, events
		// always wait, and the select statement below might choose them instead.
		select {
		case <-ctx.Done():
			coord.handOverLeases()
			return ctx.Err()
		case err := <-coord.fatalErrors:
			return err
		default:
		}
		select {
		case <-ctx.Done():
			continue
		case err := <-coord.fatalErrors:
			return err
		case <-tick.C:
			coord.tick()
		case <-coord.roundTimer.C:
		case queued := <-coord.urgentEvents:
			coord.applyEvent(queued)
			coord.sendOrders()
			coord.applyWaitingEvents()
		case queued := <-coord.events:
			coord.applyUrgentEvents()
			coord.applyEvent(queued)
			coord.applyWaitingEvents()
		}
		coord.scheduleAndStore()
		now := coord.env.Clock()
		coord.updateLag(now)
		if err := coord.checkBehind(now); err != nil {
			// Stop all other writes first: they would overwrite the handover.
			coord.cancel()
			coord.handOverLeases()
			return err
		}
	}
}

// applyWaitingEvents applies up to maxEventBatch events that wait, so that one round of
// scheduling covers them all. Before each it applies the urgent events that wait.
func (coord *coordinator) applyWaitingEvents() {
	for range maxEventBatch {
		coord.applyUrgentEvents()
		select {
		case queued := <-coord.events:
			coord.applyEvent(queued)
		default:
			return
		}
	}
}

// applyUrgentEvents applies the urgent events that wait. It sends the orders that follow
// from them at once, not only after the next round of scheduling.
func (coord *coordinator) applyUrgentEvents() {
	waiting := len(coord.urgentEvents)
	if waiting == 0 {
		return
	}
	for range waiting {
		coord.applyEvent(<-coord.urgentEvents)
	}
	coord.sendOrders()
}

// tick does the work that does not follow from an event: it updates the store's clock and
// the queues, expires leases, advances maintenance waves, checks running tasks, and starts
// writes and removals of rows.
func (coord *coordinator) tick() {
	now := coord.env.Clock()
	coord.core.SetStoreClock(now, coord.env.StoreClock())
	coord.core.Configure(coord.env.Queues())
	coord.exportLag(coord.lagTracker.lag)
	coord.updateMajority()
	coord.expireLeases(now)
	coord.advanceWaves(now)
	coord.core.CheckRuns(now)
	coord.exportEvacuation(coord.core.EvacuationStatus())
	coord.removeStaleLinks()
	if now >= coord.nextSharedRowsWrite || coord.needsRosterWrite() {
		coord.nextSharedRowsWrite = now + sharedRowsInterval
		coord.writeSharedRows(now)
	}
	if now >= coord.nextJobRemoval {
		coord.nextJobRemoval = now + jobRemovalInterval
		coord.removeExpiredJobRows(now)
	}
}

// scheduleAndStore runs a round of scheduling if one is due, sends the orders and the
// requests for advice, and starts a write of progress if one is due.
func (coord *coordinator) scheduleAndStore() {
	now := coord.env.Clock()
	coord.updateEvacuatedDomains(now)
	coord.schedule(now)
	coord.sendOrders()
	for _, request := range coord.core.TakeAdviceRequests() {
		go coord.requestAdvice(request)
	}
	hasUnstored, urgent := coord.core.UnstoredProgress()
	isDue := hasUnstored && (urgent || now-coord.lastProgressStore >= progressStoreInterval) || coord.heldWrites.isDue(now)
	if !coord.isStoringProgress && isDue {
		coord.storeProgress(now)
	}
}

// schedule runs a round of scheduling. If it is too early for one, it sets the timer for
// when the round is due.
func (coord *coordinator) schedule(now time.Duration) {
	coord.core.AwaitAnsweredRunners(coord.hasAnswered)
	began := time.Now()
	if wait := coord.roundPacer.waitTime(began); wait > 0 {
		coord.core.ScheduleUrgent(now)
		coord.roundTimer.Reset(wait)
		return
	}
	coord.core.Schedule(now, time.Duration(began.UnixNano()))
	coord.roundPacer.recordRound(began, time.Now())
}

// sendOrders starts to send the orders that the core has issued since sendOrders last took
// them. It discards orders to runners without a link.
func (coord *coordinator) sendOrders() {
	for _, order := range coord.core.TakeOrders() {
		if l := coord.links[order.Runner]; l != nil {
			go l.sendOrder(coord.ctx, order)
		}
	}
}

// requestAdvice sends a request for advice and posts the answer. It sends one request at
// a time, as the advice service answers the calls of one machine one after the other.
func (coord *coordinator) requestAdvice(request AdviceRequest) {
	select {
	case coord.adviceSlot <- struct{}{}:
		defer func() { <-coord.adviceSlot }()
	case <-coord.ctx.Done():
		return
	}
	advice, err := coord.env.Adviser.Advise(coord.ctx, request)
	coord.post(coord.ctx, adviceEvent{request, advice, err})
}

// storeProgress starts a write of the progress that is not stored yet. It ends the term
// if the progress can't be stored.
func (coord *coordinator) storeProgress(now time.Duration) {
	writes, acknowledged, err := coord.core.TakeWrites(now)
	if err != nil {
		coord.fail(err)
		return
	}
	for _, write := range writes {
		if write.Job.State.IsTerminal() {
			coord.endedJobs[write.Job.ID] = &endedJob{endedAt: coord.env.StoreClock()}
		}
	}
	coord.isStoringProgress, coord.lastProgressStore = true, now
	writes = coord.heldWrites.hold(writes, now)
	go func() {
		outcome := &rejectedRowsError{accepted: len(writes)}
		if err := coord.journal.storeAll(coord.ctx, writes); err != nil && !errors.As(err, &outcome) {
			coord.fail(err)
			return
		}
		coord.env.Count("progress_stored", int64(len(writes)-len(outcome.rows)))
		coord.post(coord.ctx, progressStoredEvent{acknowledged, writes, outcome})
	}()
}

// expireLeases records the runs on silent runners as lost once every lease there has
// expired, also while a poll of the runner or an order to it still waits for an answer. It
// also resolves the runners on which the predecessor's leases have expired, and ends the holds
// of tasks that are over. It does any of it only while no other process can hold the
// coordinator's lease.
func (coord *coordinator) expireLeases(now time.Duration) {
	if coord.term.IsExclusive() {
		coord.lowerInheritedExpiries(now)
		coord.core.ResolveExpiredRunners(now, coord.hasAnswered)
		coord.core.ReleaseExpiredTasks(now, coord.hasAnswered)
	}
	for id, l := range coord.links {
		if l.markExpired(now) {
			l.expiredAt = now
			coord.core.HoldDelayedStarts(id, l.delayedStartExpiries(), now)
			coord.core.ExpireRunnerLeases(id, now)
		}
	}
	coord.core.ForgetAnsweredStarts(coord.hasAnswered)
	if coord.term.IsExclusive() {
		coord.core.ExpireDelayedStarts(now)
	}
}

// lowerInheritedExpiries brings forward the times at which the predecessor's leases are
// taken as expired. It does so once at least successorMajorityPercent percent of the
// predecessor's runners have answered this coordinator, so that the predecessor can't get
// answers from a majority any more.
func (coord *coordinator) lowerInheritedExpiries(now time.Duration) {
	if coord.core.UnresolvedRunners() == 0 || coord.predecessor.actingUntil <= now || !coord.core.haveMostAnswered() {
		return
	}
	if !coord.core.LowerInheritedExpiry(coord.predecessor.expiryWithoutMajority(now)) {
		return
	}
	for id, l := range coord.links {
		l.lowerInheritedExpiry(coord.core.InheritedExpiry(id))
	}
}

// removeStaleLinks stops and removes the links to runners that the core has removed.
func (coord *coordinator) removeStaleLinks() {
	for id, l := range coord.links {
		if coord.core.runners[id] == nil {
			l.stop()
			delete(coord.links, id)
		}
	}
}

// createLink returns a new link to a runner. A link polls one runner, tracks the leases there
// and sends the orders to it. No poll or order has been sent over the new link yet, and its
// poll loop has not been started. Leases may exist on the runner that were granted before the
// link was created. The link takes them as expired at the expiry that the store may hold for
// the runner or, if it holds none, when the predecessor's leases on the runner have expired
// for certain.
func (coord *coordinator) createLink(info RunnerInfo, now time.Duration) *link {
	expiry := coord.core.InheritedExpiry(info.ID)
	recorded, isRecorded := coord.recordedExpiries[info.ID]
	if isRecorded {
		expiry = recorded.onLocalClock
	}
	l := newLink(coord, info.ID, info.Address, expiry)
	l.isDraining = info.Draining
	l.isExpiryRecorded, l.unansweredSince = isRecorded, now
	l.awaitsListing = !coord.listedRunners.has(info.ID)
	l.registeredIncarnation, l.settledIncarnation = info.Incarnation, coord.settledIncarnations[info.ID]
	l.inheritedIncarnation = coord.fencedProcesses[info.ID].incarnation
	l.lease.misdirectedExpiresBy = coord.core.misdirectedExpiries[info.ID]
	if !coord.core.isInherited(info.ID) && !coord.tokens.hasIssuedBefore(info.ID) {
		l.settledIncarnation = info.Incarnation // no call has been sent to an earlier process
	}
	return l
}
