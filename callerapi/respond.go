package callerapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bergamotstile/structs"
)

// refuse writes a refusal and counts it.
func (a *api) refuse(w http.ResponseWriter, refusal *structs.Refusal) {
	a.refuseWithStatus(w, refusal.HTTPStatus(), refusal)
}

func (a *api) refuseMethod(w http.ResponseWriter, r *http.Request, handlers methodHandlers) {
	var allowed []string
	for name := range handlers {
		allowed = append(allowed, name)
	}
	slices.Sort(allowed)
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	a.refuseWithStatus(w, http.StatusMethodNotAllowed, structs.NotRun(structs.ReasonBadRequest, "method %s is not allowed here", r.Method))
}

func (a *api) refuseWithStatus(w http.ResponseWriter, status int, refusal *structs.Refusal) {
	a.Metrics.CountRefusal(refusal.Reason)
	if refusal.RetryAfterMS > 0 {
		// The header is in whole seconds. Rounding down would make the client retry too early.
		seconds := (refusal.RetryAfter() + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, status, refusal)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		body = []byte(`{"reason":"internal","outcome":"may_have_run"}`)
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
