package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/settings"
	"bergamotstile/structs"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bergamotstile": func() {
			os.Exit(Run(context.Background(), os.Args[1:], Registry{}, os.Stdout, os.Stderr))
		},
	})
}

// TestScripts runs the scripts in testdata/script. The head of each script says
// what it guards against.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	entry := httptest.NewServer(fakeEntry())
	t.Cleanup(entry.Close)
	closedServer := httptest.NewServer(nil)
	closedServer.Close()
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			env.Setenv("ENTRY", strings.TrimPrefix(entry.URL, "http://"))
			env.Setenv("CLOSED", strings.TrimPrefix(closedServer.URL, "http://"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": checkExitStatus},
	})
}

// checkExitStatus implements the script command "exits". It runs the command in
// args[1:] and fails the script unless its exit status is args[0].
func checkExitStatus(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		ts.Fatalf("usage: exits STATUS COMMAND...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status %d, want %d", got, want)
	}
}

// fakeEntry returns a handler that answers like the caller API of an entry
// instance. It knows the single work item w1.
func fakeEntry() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/declarations", serveApply)
	mux.HandleFunc("POST /v1/work", serveSubmit)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, http.StatusOK, callerapi.ApplyResponse{Version: 7})
	})
	mux.HandleFunc("GET /v1/work/w1", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, http.StatusOK, structs.WorkStatus{ID: "w1", State: structs.StateRunning})
	})
	mux.HandleFunc("DELETE /v1/work/w1", func(w http.ResponseWriter, _ *http.Request) {
		writeAnswer(w, http.StatusOK, structs.WorkStatus{ID: "w1", Outcome: structs.OutcomeNotRun})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, structs.NotRun(structs.ReasonNotFound, "no such work item"))
	})
	return mux
}

func writeAnswer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeRefusal(w http.ResponseWriter, r *structs.Refusal) {
	writeAnswer(w, r.HTTPStatus(), r)
}

// serveApply checks a declaration as an instance does. The name of the operator
// then selects the answer: accepted, or one of several refusals and failures.
func serveApply(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	d, err := declaration.Decode(body)
	if err == nil {
		err = d.Check(declaration.DefaultLimits())
	}
	if err != nil {
		writeRefusal(w, structs.NotRun(structs.ReasonDeclarationInvalid, "%v", err))
		return
	}
	switch r.Header.Get(callerapi.HeaderOperator) {
	case "loser":
		writeRefusal(w, structs.NotRun(structs.ReasonVersionConflict, `lost to version 7 of operator "ayo"`))
	case "late":
		writeRefusal(w, &structs.Refusal{Reason: structs.ReasonStoreUnavailable, Outcome: structs.OutcomeNotRun, RetryAfterMS: 1500})
	case "garbled":
		http.Error(w, "<html>", http.StatusInternalServerError)
	case "hangup":
		panic(http.ErrAbortHandler)
	default:
		base, _ := strconv.ParseUint(r.Header.Get(callerapi.HeaderBaseVersion), 10, 64)
		writeAnswer(w, http.StatusOK, callerapi.ApplyResponse{Version: max(base, 6) + 1})
	}
}

// serveSubmit accepts work of the team members and returns the submitted values
// in the detail of the work item's status.
func serveSubmit(w http.ResponseWriter, r *http.Request) {
	var submit callerapi.Submit
	if err := json.NewDecoder(r.Body).Decode(&submit); err != nil || r.Header.Get(structs.HeaderIdempotencyKey) != submit.Key {
		writeRefusal(w, structs.NotRun(structs.ReasonBadRequest, "%v", err))
		return
	}
	if submit.Team != "members" {
		writeRefusal(w, structs.NotRun(structs.ReasonUnknownTeam, "team %q is not declared", submit.Team))
		return
	}
	detail := fmt.Sprint(submit.Team, " ", submit.Key, " ", submit.Job, " ", submit.Domain, " ",
		submit.Class, " ", submit.Size.CPUMilli, " ", strings.TrimSpace(string(submit.Payload)))
	writeAnswer(w, http.StatusAccepted, structs.WorkStatus{ID: structs.NewWorkID(submit.Team, submit.Key), State: structs.StateQueued, Detail: detail})
}

// Guards against options that do not reach the functions of the Registry, and
// against an exit status of success although such a function failed. A worker
// that stops because the context was cancelled is a success.
func TestRunPassesOptionsToRegistry(t *testing.T) {
	var got string
	benchErr := errors.New("the bench failed")
	registry := Registry{
		Entry: func(_ context.Context, s *settings.Settings) error {
			got = s.Name + " " + s.PeerAddress
			return nil
		},
		Bench: func(_ context.Context, o BenchOptions, _ io.Writer) error {
			got = fmt.Sprint(o.Deployment, " ", o.Policy, " ", o.Seed)
			return benchErr
		},
		StandinProxy: func(_ context.Context, o ProxyOptions, _ io.Writer) error {
			got = o.Listen + " " + o.Target
			return nil
		},
		StandinWorker: func(ctx context.Context, o WorkerOptions, _ io.Writer) error {
			got = fmt.Sprint(o.Name, " ", o.Domain, " ", o.CPUMilli)
			return fmt.Errorf("stopped: %w", context.Canceled)
		},
		StandinRunner: func(_ context.Context, o RunnerOptions, _ io.Writer) error {
			got = fmt.Sprint(o.Listen, " ", o.Platform, " ", o.Name, " ", o.Domain, " ", o.Service)
			return nil
		},
	}
	cases := []struct {
		line, want string
		status     int
	}{
		{"entry --settings ../examples/entry.json", "entry-ogbomoso-1 127.0.0.1:7001", ExitSuccess},
		{"bench --deployment lavigne --policy best-fit --seed 3", "lavigne best-fit 3", ExitFailure},
		{"standin proxy --listen 127.0.0.1:0 --control 127.0.0.1:0 --target 127.0.0.1:9", "127.0.0.1:0 127.0.0.1:9", ExitSuccess},
		{"standin worker --listen 127.0.0.1:0 --platform 127.0.0.1:9 --name w --domain d", "w d 32000", ExitSuccess},
		{"standin runner --listen 127.0.0.1:0 --platform 127.0.0.1:9 --name r --domain d --service s", "127.0.0.1:0 127.0.0.1:9 r d s", ExitSuccess},
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range cases {
		got = ""
		var out, errOut bytes.Buffer
		status := Run(ctx, strings.Fields(c.line), registry, &out, &errOut)
		if got != c.want || status != c.status {
			t.Errorf("%s: got %q and status %d, stderr %s", c.line, got, status, &errOut)
		}
	}
}
