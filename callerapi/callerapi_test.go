package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotstile/metrics"
	"bergamotstile/structs"
)

type fakeCatalog struct{}

func (fakeCatalog) Service(s string) bool { return s == "pathworks" }
func (fakeCatalog) Kind(_, kind string) (RequestKind, bool) {
	switch kind {
	case "proof":
		return RequestKind{Idempotent: true, Timeout: time.Second}, true
	case "bill":
		return RequestKind{}, true
	}
	return RequestKind{}, false
}

type fakeRequests struct {
	received []structs.Request
	err      error
}

func (f *fakeRequests) Handle(_ context.Context, req structs.Request) (structs.Answer, error) {
	f.received = append(f.received, req)
	return structs.Answer{RequestID: req.ID, Body: append([]byte("answer to "), req.Body...)}, f.err
}

type fakeWork struct{ received []Submit }

func (f *fakeWork) Submit(_ context.Context, submit Submit) (structs.WorkStatus, error) {
	f.received = append(f.received, submit)
	return structs.WorkStatus{ID: structs.NewWorkID(submit.Team, submit.Key), State: structs.StateQueued, Outcome: structs.OutcomeNotRun}, nil
}

func (f *fakeWork) Status(_ context.Context, _ string, id structs.WorkID) (structs.WorkStatus, error) {
	return structs.WorkStatus{ID: id}, nil
}

func (f *fakeWork) Cancel(_ context.Context, _ string, id structs.WorkID) (structs.WorkStatus, error) {
	return structs.WorkStatus{ID: id, State: structs.StateCancelled}, nil
}

type fakeDeclarations struct{}

func (fakeDeclarations) Apply(_ context.Context, _ string, base uint64, _ []byte) (uint64, error) {
	return base + 1, nil
}

func sendRequest(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against losing the class, key or deadline of a request before it reaches the
// handler.
func TestRequestReachesHandler(t *testing.T) {
	requests := &fakeRequests{}
	h := New(Config{Requests: requests, Catalog: fakeCatalog{}})
	w := sendRequest(h, "POST", "/v1/requests/pathworks/proof", "body", structs.HeaderIdempotencyKey, "k", structs.HeaderCaller, "c",
		structs.HeaderDomain, "saki", structs.HeaderTimeoutMS, "700", structs.HeaderRequestID, "r1")
	if w.Code != 200 || w.Body.String() != "answer to body" || w.Header().Get(structs.HeaderRequestID) != "r1" || w.Header().Get(structs.HeaderContentDigest) == "" {
		t.Fatalf("answer %d %q %v", w.Code, w.Body, w.Header())
	}
	req := requests.received[0]
	if req.Key != "k" || req.Caller != "c" || req.Domain != "saki" || req.Timeout != 700*time.Millisecond || !req.Idempotent {
		t.Fatalf("handler got %+v", req)
	}
}

// Guards against accepting malformed input, and against refusals that callers cannot
// decode or that are not counted.
func TestRefusals(t *testing.T) {
	const path = "/v1/requests/pathworks/proof"
	spec := `{"team":"t","key":"k","job":"j","class":"normal","size":{"cpu_milli":1,"memory_mb":1}`
	cases := []struct {
		name, method, path, body string
		headers                  []string
		code                     int
		reason                   structs.Reason
	}{
		{"unknown path", "GET", "/v2", "", nil, 404, structs.ReasonNotFound},
		{"wrong method", "GET", path, "", nil, 405, structs.ReasonBadRequest},
		{"unknown service", "POST", "/v1/requests/other/proof", "", nil, 404, structs.ReasonUnknownService},
		{"unknown kind", "POST", "/v1/requests/pathworks/other", "", nil, 404, structs.ReasonNotFound},
		{"bad name", "POST", "/v1/requests/pathworks/a%20b", "", nil, 400, structs.ReasonBadRequest},
		{"missing key", "POST", "/v1/requests/pathworks/bill", "", nil, 400, structs.ReasonKeyRequired},
		{"repeated key", "POST", path, "", []string{structs.HeaderIdempotencyKey, "a", structs.HeaderIdempotencyKey, "b"}, 400, structs.ReasonBadRequest},
		{"key with space", "POST", path, "", []string{structs.HeaderIdempotencyKey, "a b"}, 400, structs.ReasonBadRequest},
		{"long key", "POST", path, "", []string{structs.HeaderIdempotencyKey, strings.Repeat("k", 201)}, 400, structs.ReasonBadRequest},
		{"timeout above limit", "POST", path, "", []string{structs.HeaderTimeoutMS, "1501"}, 400, structs.ReasonBadRequest},
		{"timeout zero", "POST", path, "", []string{structs.HeaderTimeoutMS, "0"}, 400, structs.ReasonBadRequest},
		{"timeout signed", "POST", path, "", []string{structs.HeaderTimeoutMS, "+10"}, 400, structs.ReasonBadRequest},
		{"two lengths", "POST", path, "abcde", []string{"Content-Length", "3", "Content-Length", "5"}, 400, structs.ReasonBadRequest},
		{"length and coding", "POST", path, "", []string{"Content-Length", "3", "Transfer-Encoding", "chunked"}, 400, structs.ReasonBadRequest},
		{"path that is not clean", "POST", "/v1//work", spec + "}", nil, 404, structs.ReasonNotFound},
		{"body too large", "POST", path, strings.Repeat("x", MaxRequestBytes+1), nil, 413, structs.ReasonTooLarge},
		{"submit without key", "POST", "/v1/work", strings.Replace(spec, `"key":"k",`, "", 1) + "}", nil, 400, structs.ReasonKeyRequired},
		{"submit with two keys", "POST", "/v1/work", spec + "}", []string{structs.HeaderIdempotencyKey, "other"}, 400, structs.ReasonBadRequest},
		{"unknown field", "POST", "/v1/work", spec + `,"x":1}`, nil, 400, structs.ReasonBadRequest},
		{"duplicate field", "POST", "/v1/work", spec + `,"Team":"u"}`, nil, 400, structs.ReasonBadRequest},
		{"trailing data", "POST", "/v1/work", spec + "} 1", nil, 400, structs.ReasonBadRequest},
		{"negative size", "POST", "/v1/work", strings.Replace(spec, ":1}", ":-1}", 1) + "}", nil, 400, structs.ReasonBadRequest},
		{"bad work ID", "GET", "/v1/work/ABC", "", nil, 404, structs.ReasonNotFound},
		{"apply without base", "POST", "/v1/declarations", "{}", []string{HeaderOperator, "o"}, 400, structs.ReasonBadRequest},
		{"apply without operator", "POST", "/v1/declarations", "{}", []string{HeaderBaseVersion, "1"}, 400, structs.ReasonBadRequest},
		{"not ready", "GET", "/readyz", "", nil, 503, structs.ReasonNotReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := metrics.NewSet()
			requests, work := &fakeRequests{}, &fakeWork{}
			h := New(Config{Requests: requests, Work: work, Declarations: fakeDeclarations{}, Catalog: fakeCatalog{}, Metrics: set})
			w := sendRequest(h, c.method, c.path, c.body, c.headers...)
			var got structs.Refusal
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatalf("body %q: %v", w.Body, err)
			}
			if w.Code != c.code || got.Reason != c.reason || got.Outcome != structs.OutcomeNotRun {
				t.Errorf("got %d %+v, want %d %s not_run", w.Code, got, c.code, c.reason)
			}
			if set.Refusals.Get(string(c.reason)) == nil {
				t.Error("refusal was not counted")
			}
			if len(requests.received)+len(work.received) > 0 {
				t.Error("a refused message was passed on")
			}
		})
	}
}

// Guards against a Retry-After that is rounded down, and against reporting not_run for an
// unknown error.
func TestHandlerErrorsBecomeRefusals(t *testing.T) {
	requests := &fakeRequests{err: structs.NotRun(structs.ReasonQueueFull, "full").WithRetryAfter(1200 * time.Millisecond)}
	h := New(Config{Requests: requests, Catalog: fakeCatalog{}})
	w := sendRequest(h, "POST", "/v1/requests/pathworks/proof", "")
	if w.Code != 429 || w.Header().Get("Retry-After") != "2" || !strings.Contains(w.Body.String(), `"retry_after_ms":1200`) {
		t.Errorf("got %d %q %q", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
	requests.err = errors.New("unexpected")
	w = sendRequest(h, "POST", "/v1/requests/pathworks/proof", "")
	if w.Code != 500 || !strings.Contains(w.Body.String(), `"outcome":"may_have_run"`) {
		t.Errorf("got %d %q", w.Code, w.Body)
	}
}

// Guards against routes whose answers come from another handler.
func TestRoutesReachTheirHandlers(t *testing.T) {
	h := New(Config{Requests: &fakeRequests{}, Work: &fakeWork{}, Declarations: fakeDeclarations{}, Catalog: fakeCatalog{}})
	id := string(structs.NewWorkID("t", "k"))
	spec := `{"team":"t","job":"j","class":"low","size":{"cpu_milli":1,"memory_mb":1},"payload":"aGk="}`
	for _, c := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"POST", "/v1/work", spec, 202, id},
		{"GET", "/v1/work/" + id, "", 200, id},
		{"DELETE", "/v1/work/" + id, "", 200, `"state":"cancelled"`},
		{"POST", "/v1/declarations", "{}", 200, `"version":8`},
		{"GET", "/healthz", "", 200, "ok"},
		{"GET", "/debug/vars", "", 200, `"refusals"`},
	} {
		w := sendRequest(h, c.method, c.path, c.body, structs.HeaderIdempotencyKey, "k", HeaderOperator, "o", HeaderBaseVersion, "7")
		if w.Code != c.code || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s %s: %d %q", c.method, c.path, w.Code, w.Body)
		}
	}
}
