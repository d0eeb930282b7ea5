package coordinator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotstile/jobs"
	"bergamotstile/leadership"
	"bergamotstile/rowstore"
)

// chainHarness plays takeovers one after the other, without an event loop, over one store. The runner
// testRunnerID runs tasks of the job firstID until it is lost; "other" is idle all the while.
type chainHarness struct {
	*rosterHarness
	registered []RunnerInfo // in the registry at a takeover
}

func newChainHarness(t *testing.T) *chainHarness {
	t.Helper()
	h := &chainHarness{rosterHarness: newRosterHarness(t)}
	h.coordinator.env.MaxLeaseDuration = 10 * time.Second
	h.coordinator.env.DecodeRunner = func(row rowstore.Row) (RunnerInfo, error) {
		var info RunnerInfo
		err := json.Unmarshal(row.Value, &info)
		return info, err
	}
	h.prepareCore()
	return h
}

// prepareCore gives the coordinator the queue of the tests and the idle runner.
func (h *chainHarness) prepareCore() {
	core := h.coordinator.core
	core.Configure([]jobs.Queue{testQueue})
	core.UpdateRunner(testRunner("other", 32_000), h.clock.now())
	core.ApplyReport(Report{Runner: "other", Incarnation: 1, Sent: h.clock.now()}, h.clock.now())
}

// addJob adds the job of the tests to the core.
func (h *chainHarness) addJob(tasks int, inherited bool) {
	spec := jobs.Spec{Text: "text", Steps: []jobs.Step{plainStep(tasks, 1000)}}
	h.coordinator.core.AddJob(jobs.New(firstID, testQueue, spec, 0, 1), inherited, 0)
}

// runOnLostRunner lets some tasks run on the runner testRunnerID, as its report says, and then lets it
// be silent for long enough that its expiry is stored.
func (h *chainHarness) runOnLostRunner(tasks ...jobs.TaskID) *link {
	l := h.register()
	var running []RunStatus
	for _, task := range tasks {
		running = append(running, RunStatus{Task: task, Run: 1, Percent: 1})
	}
	l.recordAnswer(1, time.Hour, h.clock.now(), h.clock.now(), l.token())
	h.clock.advance(11 * time.Second) // the process is settled
	l.recordAnswer(1, time.Hour+11*time.Second, h.clock.now(), h.clock.now(), l.token())
	l.nextRequest()
	h.coordinator.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: 1, Sent: h.clock.now(), Running: running}, h.clock.now())
	return l
}

// fallSilent lets a runner be silent for long enough that its expiry is stored, and stores it.
func (h *chainHarness) fallSilent(l *link) {
	l.recordUnanswered(h.clock.now())
	h.clock.advance(minRecordedSilence)
	h.storeRoster()
}

// storeRoster writes the shared rows and waits until they are stored.
func (h *chainHarness) storeRoster() {
	h.t.Helper()
	h.coordinator.writeSharedRows(h.clock.now())
	h.awaitStoredRoster()
	(<-h.coordinator.events).apply(h.coordinator)
}

// beginTakeover replaces the coordinator, which was killed, by a successor that has fenced the store.
func (h *chainHarness) beginTakeover() {
	h.t.Helper()
	epoch := h.coordinator.term.Epoch + 1
	env := h.coordinator.env
	h.coordinator = newCoordinatorWithoutLoop(env, leadership.NewTerm(epoch, 24*time.Hour, h.clock.now))
	coord := h.coordinator
	coord.journal = newJournal(h.store, epoch, discardLog())
	coord.events, coord.fatalErrors, coord.ctx = make(chan queuedEvent, 16), make(chan error, 1), h.t.Context()
	if _, err := coord.journal.fence(h.t.Context(), sharedPart); err != nil {
		h.t.Fatal(err)
	}
}

// fenceAsEarlierVersion lets a coordinator of an earlier version fence the store and be killed. It leaves
// the row with the listing epoch alone.
func (h *chainHarness) fenceAsEarlierVersion() {
	h.t.Helper()
	epoch := h.coordinator.term.Epoch + 1
	h.coordinator.term = leadership.NewTerm(epoch, 24*time.Hour, h.clock.now)
	key := rowstore.Key{Table: epochsTable, Part: sharedPart, Key: epochKey}
	if _, err := h.store.Commit(h.t.Context(), rowstore.Transaction{Puts: []rowstore.Put{{Key: key, Value: binary.BigEndian.AppendUint64(nil, epoch)}}}); err != nil {
		h.t.Fatal(err)
	}
}

// takeOver replaces the coordinator, which was killed, by a successor. A runner in the registry never
// answers.
func (h *chainHarness) takeOver(tasks int) {
	h.t.Helper()
	h.beginTakeover()
	coord := h.coordinator
	var rows []rowstore.Row
	for _, info := range h.registered {
		value, err := json.Marshal(info)
		if err != nil {
			h.t.Fatal(err)
		}
		rows = append(rows, rowstore.Row{Key: rowstore.Key{Table: runnersTable, Key: info.ID}, Value: value})
	}
	if err := coord.inheritSharedRows(h.t.Context(), h.store, rows); err != nil {
		h.t.Fatal(err)
	}
	for _, info := range h.registered {
		coord.core.UpdateRunner(info, h.clock.now())
		l := coord.createLink(info, h.clock.now())
		l.stop = func() {}
		l.recordUnanswered(h.clock.now())
		coord.links[info.ID] = l
	}
	h.prepareCore()
	h.addJob(tasks, true)
}

// startable lets leases expire and returns the tasks that may be started now.
func (h *chainHarness) startable() []jobs.TaskID {
	coord := h.coordinator
	coord.expireLeases(h.clock.now())
	coord.core.AwaitAnsweredRunners(coord.hasAnswered)
	var tasks []jobs.TaskID
	for _, s := range coord.core.jobs[firstID].openSteps {
		for _, index := range coord.core.startableTasks(s) {
			tasks = append(tasks, s.taskID(index))
		}
	}
	return tasks
}

// awaitStartable returns after which time a task may be started, with a takeover each interval if that
// is not zero. Each coordinator stores a roster each second.
func (h *chainHarness) awaitStartable(task jobs.TaskID, tasks int, interval, limit time.Duration) time.Duration {
	h.t.Helper()
	began := h.clock.now()
	takenOverAt := began
	for h.clock.now()-began < limit {
		if slices.Contains(h.startable(), task) {
			return h.clock.now() - began
		}
		h.clock.advance(500 * time.Millisecond)
		h.storeRoster()
		if interval > 0 && h.clock.now()-takenOverAt >= interval {
			takenOverAt = h.clock.now()
			h.takeOver(tasks)
		}
	}
	h.t.Fatalf("task %v is not startable after %v", task, limit)
	return 0
}

// Guards against a task that never runs: its start had no answer, its runner was lost, and each takeover
// began the wait for the late start anew (review/15).
func TestTakeoversDoNotRestartTheWaitForADelayedStart(t *testing.T) {
	for _, interval := range []time.Duration{0, 3 * time.Second, 7 * time.Second, 22 * time.Second} {
		for _, isRegistered := range []bool{false, true} {
			t.Run(fmt.Sprint(interval, isRegistered), func(t *testing.T) {
				h := newChainHarness(t)
				h.addJob(1, false)
				task := taskID(firstID, 0, 0)
				l := h.runOnLostRunner(task)
				sentAt := h.clock.now()
				l.recordUnansweredOrder(Order{Kind: Start, Task: task}, sentAt, errNoAnswer)
				l.recordAnswer(1, time.Hour+11*time.Second, h.clock.now(), h.clock.now(), l.token())
				l.nextRequest()
				h.fallSilent(l)
				if isRegistered {
					h.registered = []RunnerInfo{{ID: testRunnerID, Incarnation: 1, Service: testService}}
				}
				h.takeOver(1)
				h.awaitStartable(task, 1, interval, time.Minute)
				held := h.clock.now() - sentAt
				mayRun := maxCallDelay + 10*time.Second
				if held < mayRun || held > mayRun+2*time.Second {
					t.Errorf("the task is held for %v after the start, which may keep it running for %v", held, mayRun)
				}
			})
		}
	}
}

// Guards against a runner that was lost before a takeover and keeps every task waiting, also those that
// were never started or ran elsewhere (review/13), and against a task of such a runner that is started
// while it may run there.
func TestLostRunnerHoldsBackOnlyItsTasks(t *testing.T) {
	onLost, never := taskID(firstID, 0, 0), taskID(firstID, 0, 1)
	for name, registered := range map[string][]RunnerInfo{
		"entry has expired": nil,
		"same process":      {{ID: testRunnerID, Incarnation: 1, Service: testService}},
		"other process":     {{ID: testRunnerID, Incarnation: 2, Service: testService}},
	} {
		for takeovers := range 3 {
			t.Run(fmt.Sprint(name, takeovers+1), func(t *testing.T) {
				h := newChainHarness(t)
				h.addJob(2, false)
				l := h.runOnLostRunner(onLost)
				lastGrant := h.clock.now()
				h.fallSilent(l)
				h.registered = registered
				for range takeovers + 1 {
					h.takeOver(2)
					if got := h.startable(); !slices.Equal(got, []jobs.TaskID{never}) {
						t.Fatalf("startable are %v, want the task that was not started", got)
					}
					h.clock.advance(1500 * time.Millisecond)
					h.storeRoster()
				}
				h.awaitStartable(onLost, 2, 0, time.Minute)
				lease := h.coordinator.env.LeaseDuration
				if held := h.clock.now() - lastGrant; held < lease || held > lease+2*time.Second {
					t.Errorf("the task is held for %v after the last grant of %v", held, lease)
				}
			})
		}
	}
}

// Guards against a start that the restarted process of a lost runner may carry out late: it had no answer
// and the runner answered nothing after it, but the registry shows that another process exists.
func TestUnconfirmedStartIsHeldIfTheRunnerHasRestarted(t *testing.T) {
	for incarnation, want := range map[int64]time.Duration{1: 8 * time.Second, 2: maxCallDelay + 10*time.Second} {
		h := newChainHarness(t)
		h.addJob(1, false)
		l := h.runOnLostRunner()
		h.clock.advance(10 * time.Millisecond) // since the last answer
		orders := h.scheduledStartsOn(testRunnerID)
		if len(orders) != 1 {
			t.Fatalf("%d starts on the runner, want 1", len(orders))
		}
		sentAt := h.clock.now()
		if _, err := l.findOrderTarget(orders[0]); err != nil {
			t.Fatal(err)
		}
		l.recordUnansweredOrder(orders[0], sentAt, errNoAnswer)
		h.fallSilent(l)
		h.registered = []RunnerInfo{{ID: testRunnerID, Incarnation: incarnation, Service: testService}}
		h.takeOver(1)
		h.awaitStartable(orders[0].Task, 1, 4*time.Second, time.Minute)
		if held := h.clock.now() - sentAt; held < want || held > want+3*time.Second {
			t.Errorf("process %d: the task is held for %v, want %v", incarnation, held, want)
		}
	}
}

// Guards against a runner that joined just before a takeover, ran nothing and can't be reached, and for
// which all tasks of the predecessors wait (review/13): it is in the registry and not in the roster. That
// some coordinators are killed during their takeover, or before it, makes no difference. A predecessor of
// an earlier version may have started tasks there.
func TestUnlistedRunnerHoldsNothingBackUnlessAPredecessorIsOfAnEarlierVersion(t *testing.T) {
	cases := []struct {
		name      string
		interlude func(h *chainHarness)
		isHeld    bool
	}{
		{"one takeover", func(*chainHarness) {}, false},
		{"killed after the fence", func(h *chainHarness) { h.beginTakeover() }, false},
		{"killed after two fences", func(h *chainHarness) { h.beginTakeover(); h.beginTakeover() }, false},
		{"killed before the fence", func(h *chainHarness) {
			h.coordinator.term = leadership.NewTerm(h.coordinator.term.Epoch+1, 24*time.Hour, h.clock.now)
		}, false},
		{"earlier version", func(h *chainHarness) { h.fenceAsEarlierVersion() }, true},
		{"earlier version, then killed after the fence", func(h *chainHarness) { h.fenceAsEarlierVersion(); h.beginTakeover() }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newChainHarness(t)
			h.addJob(1, false)
			h.takeOver(1)
			c.interlude(h)
			h.registered = []RunnerInfo{{ID: "joined", Incarnation: 7, Service: testService}}
			h.takeOver(1)
			if got := h.startable(); (len(got) == 0) != c.isHeld {
				t.Errorf("startable are %v, held back: %v", got, c.isHeld)
			}
		})
	}
}

// scheduledStartsOn makes a runner the only usable one, schedules and returns the starts there.
func (h *chainHarness) scheduledStartsOn(id string) []Order {
	core := h.coordinator.core
	core.UpdateRunner(testRunner(id, 32_000), h.clock.now())
	core.MarkRunnerSilent("other")
	core.Schedule(h.clock.now(), 0)
	return startOrders(core.TakeOrders())
}

// Guards against a process that refuses all misdirected calls and counts all the same as one that may
// carry them out: a takeover soon after the restart of a runner that is then lost.
func TestFencedProcessIsNotTakenForAnUnknownOne(t *testing.T) {
	h := newChainHarness(t)
	h.addJob(1, false)
	l := h.register()
	restart := func(incarnation int64) {
		l.recordAnswer(incarnation, time.Hour, h.clock.now(), h.clock.now(), l.token())
		l.recordAnswer(incarnation, time.Hour, h.clock.now(), h.clock.now(), l.token())
		h.coordinator.core.ApplyReport(Report{Runner: testRunnerID, Incarnation: incarnation, Sent: h.clock.now()}, h.clock.now())
	}
	restart(1)
	restart(2)
	fencedAt := h.clock.now()
	h.storeRoster()
	for incarnation, want := range map[int64]time.Duration{2: 10 * time.Second, 3: maxCallDelay + 10*time.Second} {
		successor := &chainHarness{rosterHarness: &rosterHarness{t: t, clock: newManualClock(h.clock.now()), store: h.store, coordinator: h.coordinator}}
		env := h.coordinator.env
		successor.coordinator = newCoordinatorWithoutLoop(env, h.coordinator.term)
		successor.coordinator.env.Clock = successor.clock.now
		successor.registered = []RunnerInfo{{ID: testRunnerID, Incarnation: incarnation, Service: testService}}
		successor.takeOver(1)
		if got := successor.coordinator.core.InheritedExpiry(testRunnerID) - fencedAt; got < want || got > want+time.Second {
			t.Errorf("process %d: leases are taken as expired %v after the restart, want %v", incarnation, got, want)
		}
	}
}

// Guards against a line of the roster that an instance of an earlier version can't read: it knows the
// markers for a runner that answered, an idle one and a settled process, and ignores others.
func TestEarlierVersionsReadTheRosterWithTasks(t *testing.T) {
	line := encodeRoster([]rosterEntry{{id: "a", expiry: time.Hour, wasAnswering: true, settledIncarnation: 77, lateCallExpiry: 2 * time.Hour,
		tasks: &runnerTasks{[]heldTask{{taskID(firstID, 0, 0), heldRunning, time.Hour}}, true}}})
	fields := strings.Fields(line)
	if fields[0] != "a" || fields[1] != "3600000" || fields[2] != answeringMarker || !slices.Contains(fields, "@25") {
		t.Errorf("line %q", line)
	}
	for _, marker := range fields[3:] {
		if marker == answeringMarker || marker == idleMarker || strings.HasPrefix(marker, "@") != (marker == "@25") {
			t.Errorf("marker %q would be taken for another one", marker)
		}
	}
	if fenced := encodeRoster([]rosterEntry{{id: "a", fenced: fencedProcess{77, time.Hour}}}); fenced != "a ~25/252hc" && !strings.HasPrefix(fenced, "a ~25/") {
		t.Errorf("line %q", fenced)
	}
}

// Guards against tasks, kinds and times that are lost between encoding and decoding, and against
// damaged markers after which the tasks still count as complete.
func TestRosterEncodingKeepsTasks(t *testing.T) {
	tasks := []heldTask{{taskID(firstID, 0, 1), heldDelayed, 3 * time.Second}, {taskID(firstID, 0, 2), heldRunning, 2 * time.Second}, {taskID(firstID, 0, 0), heldUnconfirmed, time.Second}}
	line := encodeRoster([]rosterEntry{{id: "a", expiry: time.Second, lateCallExpiry: time.Minute, fenced: fencedProcess{5, time.Hour}, tasks: &runnerTasks{slices.Clone(tasks), true}}})
	e := decodeRoster(line)[0]
	if e.lateCallExpiry != time.Minute || e.fenced != (fencedProcess{5, time.Hour}) || e.tasks == nil || !e.tasks.isComplete {
		t.Fatalf("%q is decoded as %+v", line, e)
	}
	for _, want := range tasks {
		if !slices.Contains(e.tasks.tasks, want) {
			t.Errorf("%q is decoded without %v", line, want)
		}
	}
	damaged := strings.Replace(line, ".0.2/", ".0.x/", 1)
	if e := decodeRoster(damaged)[0]; e.tasks == nil || e.tasks.isComplete || len(e.tasks.tasks) != 2 {
		t.Errorf("%q is decoded as %+v", damaged, e.tasks)
	}
	if e := decodeRoster("a +x ^1 complete")[0]; e.tasks != nil || e.lateCallExpiry != 0 {
		t.Errorf("tasks without an expiry are decoded as %+v", e)
	}
}

// Guards against a roster that the store refuses because many silent runners have many tasks, and against
// tasks that are left out although they count as complete.
func TestTasksOfSilentRunnersFitIntoTheRoster(t *testing.T) {
	coord := &coordinator{env: Environment{Log: discardLog()}}
	var entries []rosterEntry
	for i := range 490 {
		e := rosterEntry{id: fmt.Sprintf("i-%010x", i), expiry: time.Hour, wasAnswering: i%2 == 0, lateCallExpiry: time.Hour, tasks: &runnerTasks{isComplete: true}}
		for index := range 12 {
			e.tasks.tasks = append(e.tasks.tasks, heldTask{taskID(firstID, i, index), heldRunning, time.Hour})
		}
		entries = append(entries, e)
	}
	answering, silent := 0, 0
	for key, value := range coord.encodeRosterRows(entries) {
		if len(value) > rowstore.DefaultMaxRowBytes {
			t.Errorf("row %v has %d bytes", key, len(value))
		}
		for _, e := range decodeRoster(value) {
			if e.tasks != nil && (!e.tasks.isComplete || len(e.tasks.tasks) != 12) {
				t.Errorf("tasks of %s are decoded as %+v", e.id, e.tasks)
			}
			if e.tasks != nil && e.wasAnswering {
				answering++
			} else if e.tasks != nil {
				silent++
			}
		}
	}
	if silent < 50 || answering > 0 {
		t.Errorf("tasks of %d silent and %d answering runners are stored, want those of silent ones first", silent, answering)
	}
}

// Guards against the end of a hold while a successor may have extended the leases on the runner, of
// which this coordinator, cut off from the store, does not know.
func TestHeldTasksAreReleasedOnlyByTheLeaseHolder(t *testing.T) {
	h := newChainHarness(t)
	task := taskID(firstID, 0, 0)
	h.addJob(1, true)
	h.coordinator.term = leadership.NewTerm(1, h.clock.now(), h.clock.now)
	h.coordinator.core.HoldTask(testRunnerID, heldTask{task, heldDelayed, h.clock.now() + time.Second})
	h.clock.advance(leadership.ExclusiveTime)
	if got := h.startable(); len(got) > 0 {
		t.Errorf("startable are %v without the coordinator's lease", got)
	}
	h.coordinator.term = leadership.NewTerm(1, h.clock.now(), h.clock.now)
	if got := h.startable(); len(got) != 1 {
		t.Errorf("startable are %v, want the task whose run has ended", got)
	}
}
