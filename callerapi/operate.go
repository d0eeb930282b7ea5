package callerapi

import (
	"io"
	"net/http"

	"bergamotstile/structs"
)

// Headers and parameters of operators.
const (
	// HeaderOperator names who applies a declaration.
	HeaderOperator = "Bergamotstile-Operator"
	// HeaderBaseVersion is the version that a declaration was edited from. An
	// apply against another version is refused.
	HeaderBaseVersion = "Bergamotstile-Base-Version"
)

// Applied is the answer to an accepted declaration.
type Applied struct {
	Version uint64 `json:"version"`
}

// apply handles POST /v1/declarations.
func (a *api) apply(w http.ResponseWriter, r *http.Request) error {
	if a.Declarations == nil {
		return notReady("declarations")
	}
	h := headerReader{header: r.Header}
	operator := h.text(HeaderOperator, maxCallerBytes)
	base, ok := parseCount(h.text(HeaderBaseVersion, maxNameBytes))
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
	writeJSON(w, http.StatusOK, Applied{Version: version})
	return nil
}

// instanceStatus handles GET /v1/status.
func (a *api) instanceStatus(w http.ResponseWriter, r *http.Request) error {
	if a.Instance == nil {
		return notReady("status requests")
	}
	status, err := a.Instance.Status(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

type health struct {
	Status string `json:"status"`
}

// health handles GET /healthz: the process runs and answers.
func (a *api) health(w http.ResponseWriter, _ *http.Request) error {
	writeJSON(w, http.StatusOK, health{Status: "ok"})
	return nil
}

// ready handles GET /readyz. The balancer stops sending requests while it
// answers anything but 200.
func (a *api) ready(w http.ResponseWriter, _ *http.Request) error {
	if a.Instance == nil {
		return notReady("requests")
	}
	if err := a.Instance.Ready(); err != nil {
		refusal := structs.AsRefusal(err)
		a.refuseWith(w, http.StatusServiceUnavailable, refusal)
		return nil
	}
	writeJSON(w, http.StatusOK, health{Status: "ready"})
	return nil
}

// vars handles GET /debug/vars.
func (a *api) vars(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, a.Metrics.Root().String())
	return nil
}
