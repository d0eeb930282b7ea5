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

// workerSetup drives one worker on a fake clock through its HTTP API.
type workerSetup struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	platform *standin.Platform
	worker   *standin.Worker
	client   *workerapi.HTTPClient
	address  string
}

func startWorker(t *testing.T) *workerSetup {
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
	return &workerSetup{t, clock, p, w, client, server.Address()}
}

func (s *workerSetup) beat(acknowledged ...structs.AttemptID) workerapi.HeartbeatResponse {
	s.t.Helper()
	r, err := s.client.Heartbeat(context.Background(), s.address, workerapi.HeartbeatRequest{
		LeaseMS: leaseMS, Acknowledged: acknowledged,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

func (s *workerSetup) request(attempt structs.AttemptID, payload string) workerapi.StartRequest {
	b := s.beat()
	return workerapi.StartRequest{
		Attempt: attempt, BootID: b.BootID, StartBeforeMS: b.UptimeMS + 1000, LeaseMS: leaseMS,
		Spec: structs.WorkSpec{
			Team: "t", Key: "k", Size: structs.Resources{CPUMilli: 800, MemoryMB: 80}, Payload: []byte(payload),
		},
	}
}

func (s *workerSetup) start(req workerapi.StartRequest) error {
	return s.client.Start(context.Background(), s.address, req)
}

func (s *workerSetup) stop(attempt structs.AttemptID, checkpoint bool) (workerapi.EndedAttempt, error) {
	r, err := s.client.Stop(context.Background(), s.address, workerapi.StopRequest{Attempt: attempt, Checkpoint: checkpoint})
	return r.Ended, err
}

func (s *workerSetup) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *workerSetup) kinds() []standin.EventKind {
	var out []standin.EventKind
	for _, e := range s.worker.Events(0) {
		out = append(out, e.Kind)
	}
	return out
}

// Guards property P2 at the worker: an attempt runs once however often and
// late its start arrives.
func TestWorkerStartsAnAttemptOnce(t *testing.T) {
	s := startWorker(t)
	req := s.request("a.1", `{"run_ms":1000}`)
	s.must(s.start(req))
	s.must(s.start(req))
	s.clock.Advance(1500 * time.Millisecond)
	s.must(s.start(req)) // known, although its window has passed
	b := s.beat()
	if len(b.Ended) != 1 || b.Ended[0].State != workerapi.EndFinished || b.Ended[0].Result == "" {
		t.Fatalf("ended %+v", b.Ended)
	}
	if b = s.beat(); len(b.Ended) != 1 {
		t.Error("outcome not repeated before its acknowledgement")
	}
	if b = s.beat("a.1"); len(b.Ended) != 0 {
		t.Error("outcome repeated after its acknowledgement")
	}
	late := s.request("a.1", "")
	if ended, err := s.stop("a.1", false); err != nil || ended.NeverStarted {
		t.Errorf("stop after the acknowledged end: %+v, %v", ended, err)
	}
	if err := s.start(late); !errors.Is(err, workerapi.ErrRefused) {
		t.Errorf("start after the acknowledged end: %v", err)
	}
	if want := []standin.EventKind{standin.EventStart, standin.EventFinish, standin.EventRefuse}; !slices.Equal(s.kinds(), want) {
		t.Errorf("events %v, want %v", s.kinds(), want)
	}
}

// Guards against starts that arrive after the attempt was given up.
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
	for name, happens := range cases {
		req := s.request(structs.AttemptID(name), "")
		happens(&req)
		if err := s.start(req); !errors.Is(err, workerapi.ErrRefused) {
			t.Errorf("%s: %v", name, err)
		}
		s.worker.SetFaults(standin.WorkerFaults{})
	}
	if b := s.beat(); len(b.Running) != 0 {
		t.Errorf("running %+v", b.Running)
	}
}

// Guards property P3: evicted work resumes from its checkpoint, and a
// checkpoint that cannot be written leaves the work running.
func TestWorkerCheckpointsAndResumes(t *testing.T) {
	s := startWorker(t)
	s.must(s.start(s.request("a.1", `{"run_ms":10000}`)))
	s.clock.Advance(6 * time.Second)
	s.platform.SetFaults(standin.PlatformFaults{Objects: standin.PartFaults{Down: true}})
	if _, err := s.stop("a.1", true); !errors.Is(err, workerapi.ErrRefused) {
		t.Fatalf("stop without an object store: %v", err)
	}
	if b := s.beat(); len(b.Running) != 1 {
		t.Fatal("work stopped without its checkpoint")
	}
	s.platform.SetFaults(standin.PlatformFaults{})
	ended, err := s.stop("a.1", true)
	s.must(err)
	again, err := s.stop("a.1", true)
	if err != nil || again != ended || ended.Checkpoint == "" {
		t.Fatalf("stopped as %+v, then %+v, %v", ended, again, err)
	}
	req := s.request("a.2", `{"run_ms":10000}`)
	req.Checkpoint = ended.Checkpoint
	s.must(s.start(req))
	s.clock.Advance(3999 * time.Millisecond)
	if kept := s.beat().Running; len(kept) != 1 || kept[0].Checkpoint != ended.Checkpoint {
		t.Errorf("running %+v, want the checkpoint it resumed from", kept)
	}
	if b := s.beat("a.1"); len(b.Running) != 1 {
		t.Fatal("finished before the rest of its run time")
	}
	s.clock.Advance(time.Millisecond)
	if b := s.beat(); len(b.Ended) != 1 || b.Ended[0].State != workerapi.EndFinished {
		t.Errorf("ended %+v after the rest of its run time", b.Ended)
	}
}

// Guards against tasks that outlive their lease: they would still run when
// their work is started elsewhere.
func TestTaskLeaseLapsesWithoutHeartbeats(t *testing.T) {
	s := startWorker(t)
	s.must(s.start(s.request("a.1", `{"run_ms":3600000}`)))
	for range 3 {
		s.clock.Advance(leaseMS*time.Millisecond - 1)
		if b := s.beat(); len(b.Running) != 1 {
			t.Fatal("lease lapsed although it was renewed")
		}
	}
	s.clock.Advance(leaseMS * time.Millisecond)
	b := s.beat()
	if len(b.Running) != 0 || len(b.Ended) != 1 || b.Ended[0].State != workerapi.EndStopped || b.Ended[0].Checkpoint != "" {
		t.Errorf("running %+v, ended %+v after the lease", b.Running, b.Ended)
	}
}

// Guards against a worker that hides overcommitment: it must start what does
// not fit, slow down, and leave the evidence.
func TestWorkerStartsWhatDoesNotFit(t *testing.T) {
	s := startWorker(t)
	s.must(s.start(s.request("a.1", `{"run_ms":1000}`)))
	s.must(s.start(s.request("b.1", `{"run_ms":1000,"fail":true}`)))
	events := s.worker.Events(1)
	if len(events) != 1 || events[0].Committed.Fits(events[0].Capacity) {
		t.Errorf("event %+v shows no overcommitment", events)
	}
	s.clock.Advance(time.Second)
	if b := s.beat(); len(b.Running) != 2 || b.Running[0].Used.CPUMilli != 0 {
		t.Errorf("running %+v, want both slowed down and usage not yet known", b.Running)
	}
	s.must(s.client.Throttle(context.Background(), s.address, workerapi.ThrottleRequest{Attempt: "b.1", Share: 0.25}))
	s.clock.Advance(500 * time.Millisecond)
	b := s.beat()
	if len(b.Running) != 1 || b.Running[0].Throttle != 0.25 || len(b.Ended) != 1 {
		t.Fatalf("running %+v, ended %+v, want the throttled one left", b.Running, b.Ended)
	}
	s.clock.Advance(2 * time.Second)
	if b = s.beat("a.1"); len(b.Ended) != 1 || b.Ended[0].State != workerapi.EndFailed {
		t.Errorf("ended %+v, want a failure", b.Ended)
	}
}

// Guards against worker calls reported as without effect that took effect.
func TestWorkerCallErrorsTellTheTruth(t *testing.T) {
	s := startWorker(t)
	req := s.request("a.1", `{"run_ms":60000}`)
	lose := standin.WorkerFaults{LoseAnswer: standin.Chance{Next: 1}}
	s.worker.SetFaults(lose)
	if err := s.start(req); !errors.Is(err, workerapi.ErrOutcomeUnknown) {
		t.Errorf("start with a lost answer: %v", err)
	}
	if b := s.beat(); len(b.Running) != 1 {
		t.Error("start with a lost answer had no effect")
	}
	s.must(s.start(req))
	s.worker.SetFaults(lose)
	if _, err := s.stop("a.1", false); !errors.Is(err, workerapi.ErrOutcomeUnknown) {
		t.Errorf("stop with a lost answer: %v", err)
	}
	if ended, err := s.stop("a.1", false); err != nil || ended.State != workerapi.EndStopped {
		t.Errorf("repeated stop: %+v, %v", ended, err)
	}
	s.worker.SetFaults(standin.WorkerFaults{FailAll: true})
	s.must(s.start(s.request("b.1", `{"run_ms":60000}`)))
	s.clock.Advance(time.Millisecond)
	if b := s.beat("a.1"); len(b.Ended) != 1 || b.Ended[0].State != workerapi.EndFailed {
		t.Errorf("ended %+v on a worker that fails everything", b.Ended)
	}
	s.worker.Restart()
	if b := s.beat(); len(b.Running)+len(b.Ended) != 0 || b.BootID == req.BootID || b.UptimeMS != 0 {
		t.Errorf("after a restart: %+v", b)
	}
	proxy, err := standin.StartProxy("127.0.0.1:0", s.address)
	s.must(err)
	s.address = proxy.Address()
	proxy.Close()
	if err := s.start(req); !errors.Is(err, workerapi.ErrUnreachable) {
		t.Errorf("nothing listens: %v", err)
	}
}
