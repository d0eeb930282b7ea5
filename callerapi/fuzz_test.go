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

// requireRefusalUnlessAccepted fails the test unless the response has the status accepted
// and the message was passed on, or the response is a refusal with not_run and the
// message was not passed on.
func requireRefusalUnlessAccepted(t *testing.T, w *httptest.ResponseRecorder, accepted int, passedOn bool) {
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

// Guards against a submit that makes the handler panic, or that is passed on although one
// of its fields is invalid.
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
		requireRefusalUnlessAccepted(t, w, http.StatusAccepted, len(work.received) > 0)
		for _, submit := range work.received {
			if validateSubmit(submit) != nil || key != "" && submit.Key != key {
				t.Fatalf("passed on %+v", submit)
			}
		}
	})
}

// Guards against request headers that make the handler panic, and against passing on a
// key, name or timeout beyond its limits.
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
		requireRefusalUnlessAccepted(t, w, http.StatusOK, len(requests.received) > 0)
		for _, req := range requests.received {
			if req.Service != "pathworks" || req.Key != key || req.Timeout <= 0 || req.Timeout.Milliseconds() > 1500 || !req.Idempotent && key == "" {
				t.Fatalf("passed on %+v", req)
			}
		}
	})
}

// Guards against accepting a message that encoding/json interprets differently: the
// decoded value must be accepted again once encoded. Also guards against nesting that
// exhausts the stack.
func FuzzDecodeStrict(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var submit Submit
		if decodeStrictJSON(data, &submit) != nil {
			return
		}
		encoded, err := json.Marshal(submit)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Submit
		if err := decodeStrictJSON(encoded, &decoded); err != nil {
			t.Fatalf("%s became %s, which is refused: %v", data, encoded, err)
		}
	})
}
