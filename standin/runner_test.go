package standin_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/runnerapi"
	"bergamotstile/standin"
	"bergamotstile/structs"
)

type runnerFixture struct {
	runner *standin.Runner
	proxy  *standin.Proxy
	client *runnerapi.HTTPClient
}

// startRunner starts a runner behind a proxy, and a client that uses the proxy.
func startRunner(t *testing.T, options standin.RunnerOptions) runnerFixture {
	return startRunnerWithClock(t, clockwork.NewRealClock(), options)
}

// startRunnerWithClock is startRunner with a clock that determines how long
// requests run. The test may control the clock.
func startRunnerWithClock(t *testing.T, clock clockwork.Clock, options standin.RunnerOptions) runnerFixture {
	t.Helper()
	options.Name = "r"
	r := standin.NewRunner(clock, options)
	server, err := r.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	proxy, err := standin.StartProxy("127.0.0.1:0", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	client := runnerapi.NewHTTPClient(0)
	t.Cleanup(client.Close)
	return runnerFixture{r, proxy, client}
}

func (s runnerFixture) dispatch(id string, timeout time.Duration) ([]byte, error) {
	ctx := context.Background()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	d := runnerapi.Dispatch{ID: id, Service: "s", Kind: "k", Timeout: timeout, Body: []byte("body of " + id)}
	return s.client.Dispatch(ctx, s.proxy.Address(), d)
}

func (s runnerFixture) startCount(id string) int {
	starts := 0
	for _, e := range s.runner.Events(0) {
		if e.ID == id && e.Kind == standin.RunnerEventStart {
			starts++
		}
	}
	return starts
}

// Guards properties P4 (whole answer to its own request) and P5 (not run is true).
// For each fault of a runner, the error must show whether the request ran, the
// request must run at most once, and the next request must get its own answer.
func TestDispatchErrorMatchesOutcomeUnderEachFault(t *testing.T) {
	once := standin.FaultTrigger{NextCalls: 1}
	cases := []struct {
		name    string
		faults  standin.RunnerFaults
		timeout time.Duration
		want    error
	}{
		{"none", standin.RunnerFaults{}, 0, nil},
		{"truncate", standin.RunnerFaults{Truncate: once}, 0, runnerapi.ErrIncomplete},
		{"wrong ID", standin.RunnerFaults{WrongID: once}, 0, runnerapi.ErrIncomplete},
		{"wrong body", standin.RunnerFaults{WrongBody: once}, 0, runnerapi.ErrIncomplete},
		{"drop after run", standin.RunnerFaults{DropAfterRun: once}, 0, runnerapi.ErrIncomplete},
		{"fail", standin.RunnerFaults{Fail: once}, 0, runnerapi.ErrFailed},
		{"delay", standin.RunnerFaults{DelayMS: 5000}, time.Second, runnerapi.ErrTimeout},
	}
	for _, size := range []int{0, 200_000} {
		for _, c := range cases {
			t.Run(c.name+" "+strconv.Itoa(size), func(t *testing.T) {
				s := startRunner(t, standin.RunnerOptions{AnswerBytes: size})
				if _, err := s.dispatch("0", 0); err != nil { // opens a connection that the next dispatches reuse
					t.Fatal(err)
				}
				s.runner.SetFaults(c.faults)
				answer, err := s.dispatch("1", c.timeout)
				if !errors.Is(err, c.want) || err == nil && !bytes.HasPrefix(answer, []byte("r s/k body of 1")) {
					t.Errorf("answer %.40q, error %v, want %v", answer, err, c.want)
				}
				if n := s.startCount("1"); n != 1 {
					t.Errorf("ran %d times", n)
				}
				s.runner.SetFaults(standin.RunnerFaults{})
				answer, err = s.dispatch("2", 0)
				if err != nil || !bytes.HasPrefix(answer, []byte("r s/k body of 2")) {
					t.Errorf("next answer %.40q, error %v", answer, err)
				}
			})
		}
	}
}

// Guards property P5 (not run is true) for the three errors that say that a request
// did not run.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := startRunnerWithClock(t, clock, standin.RunnerOptions{Slots: 1, ServiceMS: 300})
	first := make(chan error, 1)
	go func() {
		_, err := s.dispatch("first", 0)
		first <- err
	}()
	for s.runner.Health().RunningRequests == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := s.dispatch("busy", 0); !errors.Is(err, runnerapi.ErrBusy) {
		t.Errorf("without a free slot: %v", err)
	}
	s.runner.Leave()
	if _, err := s.dispatch("leaving", 0); !errors.Is(err, runnerapi.ErrLeaving) {
		t.Errorf("while leaving: %v", err)
	}
	if health, err := s.client.Health(context.Background(), s.proxy.Address()); err != nil || !health.Leaving {
		t.Errorf("health %+v, error %v", health, err)
	}
	clock.Advance(time.Second)
	if err := <-first; err != nil {
		t.Errorf("request in flight while leaving: %v", err)
	}
	closedProxy, err := standin.StartProxy("127.0.0.1:0", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := runnerFixture{s.runner, closedProxy, s.client}
	closedProxy.Close()
	if _, err := unreachable.dispatch("unreachable", 0); !errors.Is(err, runnerapi.ErrUnreachable) {
		t.Errorf("nothing listens: %v", err)
	}
	for _, id := range []string{"busy", "leaving", "unreachable"} {
		if s.startCount(id) != 0 {
			t.Errorf("%s ran", id)
		}
	}
}

// Guards against more connections to a runner than it accepts (64), and against a
// health probe that waits behind slow requests. One connection is reserved for
// health probes, so 63 requests run at the same time.
func TestConnectionsToARunnerAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := startRunnerWithClock(t, clock, standin.RunnerOptions{Slots: 100, ServiceMS: 200})
	done := make(chan error, 100)
	for i := range 100 {
		go func() {
			_, err := s.dispatch(strconv.Itoa(i), 0)
			done <- err
		}()
	}
	for s.runner.Health().RunningRequests < 63 {
		time.Sleep(time.Millisecond)
	}
	if health, err := s.client.Health(context.Background(), s.proxy.Address()); err != nil || health.RunningRequests != 63 {
		t.Errorf("health %+v, error %v, want 63 running", health, err)
	}
	if n := s.proxy.OpenConnections(); n > 64 {
		t.Errorf("%d connections", n)
	}
	for endedCount := 0; endedCount < 100; {
		select {
		case err := <-done:
			endedCount++
			if err != nil {
				t.Error(err)
			}
		case <-time.After(time.Millisecond):
			clock.Advance(time.Second)
		}
	}
}

// Guards against a client that accepts a refusal or an answer without the request's
// ID, a length or a digest.
func TestUnverifiableAnswersAreRejected(t *testing.T) {
	body := "b"
	cases := map[string]func(w http.ResponseWriter){
		"no length": func(w http.ResponseWriter) {
			w.Header().Set(structs.HeaderContentDigest, runnerapi.ContentDigest([]byte(body)))
			w.(http.Flusher).Flush()
			_, _ = w.Write([]byte(body))
		},
		"no digest": func(w http.ResponseWriter) { _, _ = w.Write([]byte(body)) },
		"busy for another": func(w http.ResponseWriter) {
			w.Header().Set(structs.HeaderRequestID, "other")
			w.Header().Set(structs.HeaderContentDigest, runnerapi.ContentDigest(nil))
			w.Header().Set(runnerapi.HeaderRefusal, runnerapi.RefusalBusy)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	for name, respond := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(structs.HeaderRequestID, r.Header.Get(structs.HeaderRequestID))
			respond(w)
		}))
		client := runnerapi.NewHTTPClient(0)
		_, err := client.Dispatch(context.Background(), strings.TrimPrefix(server.URL, "http://"), runnerapi.Dispatch{ID: "1"})
		if !errors.Is(err, runnerapi.ErrIncomplete) {
			t.Errorf("%s: %v", name, err)
		}
		client.Close()
		server.Close()
	}
}

// Guards against network faults that the client reports as a request that did not
// run, and against proxy faults that have no effect.
func TestProxyFaults(t *testing.T) {
	const timeout = time.Second
	cut, freeze := standin.DirectionFaults{Cut: true}, standin.DirectionFaults{Freeze: true}
	cases := []struct {
		name   string
		faults standin.ProxyFaults
		runs   int
	}{
		{"cut to target", standin.ProxyFaults{ToTarget: cut}, 0},
		{"cut to client", standin.ProxyFaults{ToClient: cut}, 1},
		{"cut both ways", standin.ProxyFaults{ToTarget: cut, ToClient: cut}, 0},
		{"freeze", standin.ProxyFaults{ToTarget: freeze}, 0},
		{"delay", standin.ProxyFaults{ToClient: standin.DirectionFaults{DelayMS: 10000}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startRunner(t, standin.RunnerOptions{})
			s.proxy.SetFaults(c.faults)
			if _, err := s.dispatch("1", timeout); !errors.Is(err, runnerapi.ErrTimeout) {
				t.Errorf("error %v, want a timeout", err)
			}
			if n := s.startCount("1"); n != c.runs {
				t.Errorf("ran %d times, want %d", n, c.runs)
			}
			s.proxy.SetFaults(standin.ProxyFaults{})
			if _, err := s.dispatch("2", 0); err != nil {
				t.Errorf("after the fault ended: %v", err)
			}
		})
	}
}

// Guards against bytes that are lost in a freeze, connections that survive a reset
// and connections that are forwarded while the proxy refuses them.
func TestProxyFreezeDelaysBytesAndResetEndsConnections(t *testing.T) {
	s := startRunner(t, standin.RunnerOptions{})
	s.proxy.SetFaults(standin.ProxyFaults{ToTarget: standin.DirectionFaults{Freeze: true}})
	done := make(chan error, 1)
	go func() {
		_, err := s.dispatch("frozen", 0)
		done <- err
	}()
	for s.proxy.OpenConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.proxy.SetFaults(standin.ProxyFaults{})
	if err := <-done; err != nil || s.startCount("frozen") != 1 {
		t.Errorf("after the freeze: %v, ran %d times", err, s.startCount("frozen"))
	}
	s.runner.SetServiceTime(2 * time.Second)
	go func() {
		_, err := s.dispatch("reset", 0)
		done <- err
	}()
	for s.startCount("reset") == 0 {
		time.Sleep(time.Millisecond)
	}
	s.proxy.Reset()
	if err := <-done; !errors.Is(err, runnerapi.ErrIncomplete) {
		t.Errorf("after the reset: %v", err)
	}
	s.proxy.SetFaults(standin.ProxyFaults{Refuse: true})
	if conn, err := net.Dial("tcp", s.proxy.Address()); err == nil {
		if n, readErr := conn.Read(make([]byte, 1)); readErr == nil {
			t.Errorf("read %d bytes from a refused connection", n)
		}
		_ = conn.Close()
	}
}

// Guards against a runner that returns other results through the in-process client
// than over HTTP.
func TestInMemoryRunnerMatchesHTTPRunner(t *testing.T) {
	runner := standin.NewRunner(clockwork.NewRealClock(), standin.RunnerOptions{Name: "r"})
	client := &standin.RunnerClient{}
	client.Add("a", runner)
	ctx := context.Background()
	d := runnerapi.Dispatch{ID: "1", Service: "s", Kind: "k", Timeout: time.Minute}
	if got, err := client.Dispatch(ctx, "a", d); err != nil || string(got) != "r s/k " {
		t.Errorf("%q, %v", got, err)
	}
	runner.SetFaults(standin.RunnerFaults{WrongID: standin.FaultTrigger{NextCalls: 1}})
	if _, err := client.Dispatch(ctx, "a", d); !errors.Is(err, runnerapi.ErrIncomplete) {
		t.Error(err)
	}
	if _, err := client.Dispatch(ctx, "b", d); !errors.Is(err, runnerapi.ErrUnreachable) {
		t.Error(err)
	}
	runner.Leave()
	if _, err := client.Dispatch(ctx, "a", d); !errors.Is(err, runnerapi.ErrLeaving) {
		t.Error(err)
	}
}
