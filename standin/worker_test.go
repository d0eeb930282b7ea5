package standin_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/standin"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

const leaseMS = 20_000

// workerFixture drives one worker on a fake clock through its HTTP API.
type workerFixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	platform *standin.Platform
	worker   *standin.Worker
	client   *workerapi.HTTPClient
	address  string
}

func startWorker(t *testing.T) *workerFixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	p := standin.NewPlatform(clock, 1)
	w := standin.NewWorker(clock, standin.WorkerOptions{
		Name: "w", Capacity: structs.Resources{CPUMilli: 1000, MemoryMB: 100}, Objects: p, UsageLagMS: 2000,
	})
	server, err := w.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := workerapi.NewHTTPClient()
	t.Cleanup(client.Close)
	return &workerFixture{t, clock, p, w, client, server.Address()}
}

func (s *workerFixture) heartbeat(acknowledged ...structs.AttemptID) workerapi.HeartbeatResponse {
	s.t.Helper()
	r, err := s.client.Heartbeat(context.Background(), s.address, workerapi.HeartbeatRequest{
		LeaseMS: leaseMS, Acknowledged: acknowledged,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

func (s *workerFixture) startRequest(attempt structs.AttemptID, payload string) workerapi.StartRequest {
	report := s.heartbeat()
	return workerapi.StartRequest{
		Attempt: attempt, BootID: report.BootID, StartBeforeMS: report.UptimeMS + 1000, LeaseMS: leaseMS,
		Spec: structs.WorkSpec{
			Team: "t", Key: "k", Size: structs.Resources{CPUMilli: 800, MemoryMB: 80}, Payload: []byte(payload),
		},
	}
}

func (s *workerFixture) start(req workerapi.StartRequest) error {
	return s.client.Start(context.Background(), s.address, req)
}

func (s *workerFixture) stop(attempt structs.AttemptID, checkpoint bool) (workerapi.EndedAttempt, error) {
	r, err := s.client.Stop(context.Background(), s.address, workerapi.StopRequest{Attempt: attempt, Checkpoint: checkpoint})
	return r.Ended, err
}

func (s *workerFixture) noError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *workerFixture) eventKinds() []standin.WorkerEventKind {
	var out []standin.WorkerEventKind
	for _, e := range s.worker.Events(0) {
		out = append(out, e.Kind)
	}
	return out
}

// Guards property P2 (one place at a time) at the worker: an attempt runs only
// once, however often and however late its start request arrives.
func TestWorkerStartsAnAttemptOnce(t *testing.T) {
	s := startWorker(t)
	req := s.startRequest("a.1", `{"run_ms":1000}`)
	s.noError(s.start(req))
	s.noError(s.start(req))
	s.clock.Advance(1500 * time.Millisecond)
	s.noError(s.start(req)) // no error for a known attempt, although its start window has passed
	report := s.heartbeat()
	if len(report.Ended) != 1 || report.Ended[0].State != workerapi.EndFinished || report.Ended[0].Result == "" {
		t.Fatalf("ended %+v", report.Ended)
	}
	if report = s.heartbeat(); len(report.Ended) != 1 {
		t.Error("outcome not reported again before its acknowledgement")
	}
	if report = s.heartbeat("a.1"); len(report.Ended) != 0 {
		t.Error("outcome reported again after its acknowledgement")
	}
	lateStart := s.startRequest("a.1", "")
	if ended, err := s.stop("a.1", false); err != nil || ended.NeverStarted {
		t.Errorf("stop after the acknowledged end: %+v, %v", ended, err)
	}
	if err := s.start(lateStart); !errors.Is(err, workerapi.ErrRefused) {
		t.Errorf("start after the acknowledged end: %v", err)
	}
	if want := []standin.WorkerEventKind{standin.WorkerEventStart, standin.WorkerEventFinish, standin.WorkerEventRefuse}; !slices.Equal(s.eventKinds(), want) {
		t.Errorf("events %v, want %v", s.eventKinds(), want)
	}
}

// Guards against a worker that starts an attempt after its owner has abandoned it:
// after a stop, after the start window, after a restart of the worker, without its
// checkpoint, or while the worker refuses starts.
func TestWorkerRefusesLateStarts(t *testing.T) {
	s := startWorker(t)
	cases := map[string]func(r *workerapi.StartRequest){
		"tombstone": func(r *workerapi.StartRequest) {
			ended, err := s.stop(r.Attempt, false)
			if err != nil || ended.State != workerapi.EndStopped || !ended.NeverStarted {
				t.Errorf("stop of an unknown attempt: %+v, %v", ended, err)
			}
		},
		"window passed": func(*workerapi.StartRequest) { s.clock.Advance(1001 * time.Millisecond) },
		"other boot":    func(*workerapi.StartRequest) { s.worker.Restart() },
		"no checkpoint": func(r *workerapi.StartRequest) { r.Checkpoint = "missing" },
		"refuses":       func(*workerapi.StartRequest) { s.worker.SetFaults(standin.WorkerFaults{RefuseStarts: true}) },
	}
	for name, prepare := range cases {
		req := s.startRequest(structs.AttemptID(name), "")
		prepare(&req)
		if err := s.start(req); !errors.Is(err, workerapi.ErrRefused) {
			t.Errorf("%s: %v", name, err)
		}
		s.worker.SetFaults(standin.WorkerFaults{})
	}
	if report := s.heartbeat(); len(report.Running) != 0 {
		t.Errorf("running %+v", report.Running)
	}
}

// Guards property P3 (evicted work resumes once): evicted work resumes from its
// checkpoint, and work whose checkpoint cannot be written keeps running.
func TestWorkerCheckpointsAndResumes(t *testing.T) {
	s := startWorker(t)
	s.noError(s.start(s.startRequest("a.1", `{"run_ms":10000}`)))
	s.clock.Advance(6 * time.Second)
	s.platform.SetFaults(standin.PlatformFaults{Objects: standin.ComponentFaults{Down: true}})
	if _, err := s.stop("a.1", true); !errors.Is(err, workerapi.ErrRefused) {
		t.Fatalf("stop without an object store: %v", err)
	}
	if report := s.heartbeat(); len(report.Running) != 1 {
		t.Fatal("work stopped without its checkpoint")
	}
	s.platform.SetFaults(standin.PlatformFaults{})
	ended, err := s.stop("a.1", true)
	s.noError(err)
	repeated, err := s.stop("a.1", true)
	if err != nil || repeated != ended || ended.Checkpoint == "" {
		t.Fatalf("stopped as %+v, then %+v, %v", ended, repeated, err)
	}
	req := s.startRequest("a.2", `{"run_ms":10000}`)
	req.Checkpoint = ended.Checkpoint
	s.noError(s.start(req))
	s.clock.Advance(3999 * time.Millisecond)
	if running := s.heartbeat().Running; len(running) != 1 || running[0].Checkpoint != ended.Checkpoint {
		t.Errorf("running %+v, want the checkpoint from which the attempt resumed", running)
	}
	if report := s.heartbeat("a.1"); len(report.Running) != 1 {
		t.Fatal("finished before the end of its run time")
	}
	s.clock.Advance(time.Millisecond)
	if report := s.heartbeat(); len(report.Ended) != 1 || report.Ended[0].State != workerapi.EndFinished {
		t.Errorf("ended %+v at the end of its run time", report.Ended)
	}
}

// Guards against tasks that run after their lease has expired. Such a task could
// still run when its work is started on another worker.
func TestTaskLeaseExpiresWithoutHeartbeats(t *testing.T) {
	s := startWorker(t)
	s.noError(s.start(s.startRequest("a.1", `{"run_ms":3600000}`)))
	for range 3 {
		s.clock.Advance(leaseMS*time.Millisecond - 1)
		if report := s.heartbeat(); len(report.Running) != 1 {
			t.Fatal("lease expired although it was renewed")
		}
	}
	s.clock.Advance(leaseMS * time.Millisecond)
	report := s.heartbeat()
	if len(report.Running) != 0 || len(report.Ended) != 1 || report.Ended[0].State != workerapi.EndStopped || report.Ended[0].Checkpoint != "" {
		t.Errorf("running %+v, ended %+v after the lease expired", report.Running, report.Ended)
	}
}

// Guards against a worker that hides overcommitment. It must start attempts that
// exceed its capacity, slow its attempts down and record the overcommitment in its
// events.
func TestWorkerAcceptsOvercommitment(t *testing.T) {
	s := startWorker(t)
	s.noError(s.start(s.startRequest("a.1", `{"run_ms":1000}`)))
	s.noError(s.start(s.startRequest("b.1", `{"run_ms":1000,"fail":true}`)))
	events := s.worker.Events(1)
	if len(events) != 1 || events[0].Committed.Fits(events[0].Capacity) {
		t.Errorf("event %+v shows no overcommitment", events)
	}
	s.clock.Advance(time.Second)
	if report := s.heartbeat(); len(report.Running) != 2 || report.Running[0].Used.CPUMilli != 0 {
		t.Errorf("running %+v, want both attempts slowed down and no usage reported yet", report.Running)
	}
	s.noError(s.client.Throttle(context.Background(), s.address, workerapi.ThrottleRequest{Attempt: "b.1", Share: 0.25}))
	s.clock.Advance(500 * time.Millisecond)
	report := s.heartbeat()
	if len(report.Running) != 1 || report.Running[0].Throttle != 0.25 || len(report.Ended) != 1 {
		t.Fatalf("running %+v, ended %+v, want only the throttled attempt running", report.Running, report.Ended)
	}
	s.clock.Advance(2 * time.Second)
	if report = s.heartbeat("a.1"); len(report.Ended) != 1 || report.Ended[0].State != workerapi.EndFailed {
		t.Errorf("ended %+v, want a failure", report.Ended)
	}
}

// Guards against calls that a worker carried out but whose error says that they had
// no effect.
func TestWorkerCallErrorsMatchTheirEffect(t *testing.T) {
	s := startWorker(t)
	req := s.startRequest("a.1", `{"run_ms":60000}`)
	loseNextAnswer := standin.WorkerFaults{LoseAnswer: standin.FaultTrigger{NextCalls: 1}}
	s.worker.SetFaults(loseNextAnswer)
	if err := s.start(req); !errors.Is(err, workerapi.ErrOutcomeUnknown) {
		t.Errorf("start with a lost answer: %v", err)
	}
	if report := s.heartbeat(); len(report.Running) != 1 {
		t.Error("start with a lost answer had no effect")
	}
	s.noError(s.start(req))
	s.worker.SetFaults(loseNextAnswer)
	if _, err := s.stop("a.1", false); !errors.Is(err, workerapi.ErrOutcomeUnknown) {
		t.Errorf("stop with a lost answer: %v", err)
	}
	if ended, err := s.stop("a.1", false); err != nil || ended.State != workerapi.EndStopped {
		t.Errorf("repeated stop: %+v, %v", ended, err)
	}
	s.worker.SetFaults(standin.WorkerFaults{FailAll: true})
	s.noError(s.start(s.startRequest("b.1", `{"run_ms":60000}`)))
	s.clock.Advance(time.Millisecond)
	if report := s.heartbeat("a.1"); len(report.Ended) != 1 || report.Ended[0].State != workerapi.EndFailed {
		t.Errorf("ended %+v on a worker that fails every attempt", report.Ended)
	}
	s.worker.Restart()
	if report := s.heartbeat(); len(report.Running)+len(report.Ended) != 0 || report.BootID == req.BootID || report.UptimeMS != 0 {
		t.Errorf("after a restart: %+v", report)
	}
	proxy, err := standin.StartProxy("127.0.0.1:0", s.address)
	s.noError(err)
	s.address = proxy.Address()
	proxy.Close()
	if err := s.start(req); !errors.Is(err, workerapi.ErrUnreachable) {
		t.Errorf("nothing listens: %v", err)
	}
}
