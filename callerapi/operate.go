package callerapi

import (
	"io"
	"net/http"

	"bergamotstile/structs"
)

// Headers of operators.
const (
	// HeaderOperator names the operator who applies a declaration.
	HeaderOperator = "Bergamotstile-Operator"
	// HeaderBaseVersion is the version on which the operator based the declaration. An
	// apply is refused if another version is in force. Zero stands for the version that is
	// in force when the call begins.
	HeaderBaseVersion = "Bergamotstile-Base-Version"
)

// ApplyResponse is the response to an accepted declaration.
type ApplyResponse struct {
	Version uint64 `json:"version"`
}

// handleApply handles POST /v1/declarations.
func (a *api) handleApply(w http.ResponseWriter, r *http.Request) error {
	if a.Declarations == nil {
		return refuseNotReady("declarations")
	}
	h := headerReader{header: r.Header}
	operator := h.text(HeaderOperator, maxCallerBytes)
	base, ok := parseDecimal(h.text(HeaderBaseVersion, maxNameBytes))
	switch {
	case h.refusal != nil:
		return h.refusal
	case operator == "":
		return structs.NotRun(structs.ReasonBadRequest, "header %s is missing", HeaderOperator)
	case !ok:
		return structs.NotRun(structs.ReasonBadRequest, "header %s must be the version that the file is based on, 0 for the first", HeaderBaseVersion)
	}
	file, refusal := readBody(r, MaxDeclarationBytes)
	if refusal != nil {
		return refusal
	}
	version, err := a.Declarations.Apply(r.Context(), operator, base, file)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, ApplyResponse{Version: version})
	return nil
}

// handleInstanceStatus handles GET /v1/status.
func (a *api) handleInstanceStatus(w http.ResponseWriter, r *http.Request) error {
	if a.Instance == nil {
		return refuseNotReady("status requests")
	}
	status, err := a.Instance.Status(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// healthResponse is the response of /healthz and /readyz.
type healthResponse struct {
	Status string `json:"status"`
}

// handleHealth handles GET /healthz, which shows that the process runs and answers.
func (a *api) handleHealth(w http.ResponseWriter, _ *http.Request) error {
	writeJSON(w, http.StatusOK, healthResponse{Status: "ok"})
	return nil
}

// handleReady handles GET /readyz. The balancer sends no requests while the status is
// other than 200.
func (a *api) handleReady(w http.ResponseWriter, _ *http.Request) error {
	if a.Instance == nil {
		return refuseNotReady("requests")
	}
	if err := a.Instance.Ready(); err != nil {
		refusal := structs.AsRefusal(err)
		a.refuseWithStatus(w, http.StatusServiceUnavailable, refusal)
		return nil
	}
	writeJSON(w, http.StatusOK, healthResponse{Status: "ready"})
	return nil
}

// handleVars handles GET /debug/vars, which returns all metrics.
func (a *api) handleVars(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, a.Metrics.ExpvarMap().String())
	return nil
}
