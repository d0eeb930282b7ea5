package callerapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"bergamotstile/structs"
)

// checkResponse fails if an answer is neither what was expected nor a refusal
// of work that did not run.
func checkResponse(t *testing.T, w *httptest.ResponseRecorder, accepted int, passedOn bool) {
	t.Helper()
	if w.Code == accepted {
		if !passedOn {
			t.Fatal("accepted, but not passed on")
		}
		return
	}
	var refusal structs.Refusal
	if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil || refusal.Reason == "" || refusal.Outcome != structs.OutcomeNotRun {
		t.Fatalf("status %d with body %q", w.Code, w.Body)
	}
	if passedOn {
		t.Fatalf("refused with %s, but passed on", refusal.Reason)
	}
}

// Guards against a submit that panics, or that reaches the work items although
// its fields break their rules.
func FuzzSubmit(f *testing.F) {
	f.Fuzz(func(t *testing.T, body, key, domain string) {
		work := &fakeWork{}
		h := New(Config{Work: work})
		r := httptest.NewRequest(http.MethodPost, "/v1/work", strings.NewReader(body))
		if key != "" {
			r.Header[structs.HeaderIdempotencyKey] = []string{key}
		}
		if domain != "" {
			r.Header[structs.HeaderDomain] = []string{domain}
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		checkResponse(t, w, http.StatusAccepted, len(work.got) > 0)
		for _, submit := range work.got {
			if checkSubmit(submit) != nil || key != "" && submit.Key != key {
				t.Fatalf("passed on %+v", submit)
			}
		}
	})
}

// Guards against a head that panics, or that reaches the router with a key,
// name or timeout beyond the limits.
func FuzzRequestHead(f *testing.F) {
	f.Fuzz(func(t *testing.T, service, kind, key, caller, domain, timeout, id string) {
		requests := &fakeRequests{}
		h := New(Config{Requests: requests, Catalog: fakeCatalog{}})
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
		r.URL = &url.URL{Path: "/v1/requests/" + service + "/" + kind}
		for name, value := range map[string]string{
			structs.HeaderIdempotencyKey: key, structs.HeaderCaller: caller, structs.HeaderDomain: domain,
			structs.HeaderTimeoutMS: timeout, structs.HeaderRequestID: id,
		} {
			if value != "" {
				r.Header[http.CanonicalHeaderKey(name)] = []string{value}
			}
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		checkResponse(t, w, http.StatusOK, len(requests.got) > 0)
		for _, req := range requests.got {
			if req.Service != "pathworks" || req.Key != key || req.Timeout <= 0 || req.Timeout.Milliseconds() > 1500 || !req.Idempotent && key == "" {
				t.Fatalf("passed on %+v", req)
			}
		}
	})
}

// Guards against a message that is accepted although encoding/json would read
// it in another way, and against one whose nesting exhausts the stack.
func FuzzDecodeStrict(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var spec Submit
		if decodeStrict(data, &spec) != nil {
			return
		}
		again, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		var second Submit
		if err := decodeStrict(again, &second); err != nil {
			t.Fatalf("%s became %s, which is refused: %v", data, again, err)
		}
	})
}
