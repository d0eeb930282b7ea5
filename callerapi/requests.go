package callerapi

import (
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"bergamotstile/structs"
)

// handleRequest handles POST /v1/requests/{service}/{kind}.
func (a *api) handleRequest(w http.ResponseWriter, r *http.Request) error {
	req, refusal := a.readRequest(r)
	if refusal != nil {
		return refusal
	}
	// Refusals carry the ID too, so that a caller can report it to operators.
	w.Header().Set(structs.HeaderRequestID, req.ID)
	answer, err := a.Requests.Handle(r.Context(), req)
	if err != nil {
		return err
	}
	if answer.RequestID != req.ID {
		return structs.MayHaveRun(structs.ReasonAnswerIncomplete, "the answer belongs to another request")
	}
	writeAnswer(w, answer)
	return nil
}

// readRequest checks the path and headers of a request before it reads the body.
func (a *api) readRequest(r *http.Request) (structs.Request, *structs.Refusal) {
	if a.Requests == nil || a.Catalog == nil {
		return structs.Request{}, refuseNotReady("requests")
	}
	req, refusal := a.readHead(r)
	if refusal != nil {
		return req, refusal
	}
	req.Body, refusal = readBody(r, MaxRequestBytes)
	return req, refusal
}

func (a *api) readHead(r *http.Request) (structs.Request, *structs.Refusal) {
	req := structs.Request{Service: r.PathValue("service"), Kind: r.PathValue("kind")}
	if refusal := a.setDeclaredProperties(&req); refusal != nil {
		return req, refusal
	}
	h := headerReader{header: r.Header}
	req.Key = h.text(structs.HeaderIdempotencyKey, maxKeyBytes)
	req.Domain = h.name(structs.HeaderDomain)
	req.Caller = h.text(structs.HeaderCaller, maxCallerBytes)
	if req.ID = h.text(structs.HeaderRequestID, maxKeyBytes); req.ID == "" {
		req.ID = uuid.NewString()
	}
	if timeout := h.milliseconds(structs.HeaderTimeoutMS, a.RequestTimeoutMax); timeout > 0 {
		req.Timeout = timeout
	}
	if h.refusal != nil {
		return req, h.refusal
	}
	if !req.Idempotent && req.Key == "" {
		return req, structs.NotRun(structs.ReasonKeyRequired, "%s/%s is not idempotent and needs the header %s", req.Service, req.Kind, structs.HeaderIdempotencyKey)
	}
	return req, nil
}

// setDeclaredProperties sets the declared class, idempotence and default timeout. Callers
// cannot choose the first two.
func (a *api) setDeclaredProperties(req *structs.Request) *structs.Refusal {
	if !isValidName(req.Service) || !isValidName(req.Kind) {
		return structs.NotRun(structs.ReasonBadRequest, "service and kind must be names of letters, digits, '-', '_' and '.', at most %d bytes", maxNameBytes)
	}
	if !a.Catalog.Service(req.Service) {
		return structs.NotRun(structs.ReasonUnknownService, "service %q is not declared", req.Service)
	}
	kind, ok := a.Catalog.Kind(req.Service, req.Kind)
	if !ok {
		return structs.NotRun(structs.ReasonNotFound, "service %q has no kind %q", req.Service, req.Kind)
	}
	req.Class = kind.Class
	req.Idempotent = kind.Idempotent
	req.Timeout = a.RequestTimeoutMax
	if kind.Timeout > 0 {
		req.Timeout = min(kind.Timeout, a.RequestTimeoutMax)
	}
	return nil
}

// writeAnswer sends the answer with its length and digest, so that a caller can recognise
// an answer that was cut off.
func writeAnswer(w http.ResponseWriter, answer structs.Answer) {
	sum := sha256.Sum256(answer.Body)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	h.Set(structs.HeaderContentDigest, "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Body)
}

func refuseNotReady(resource string) *structs.Refusal {
	return structs.NotRun(structs.ReasonNotReady, "%s are not served yet", resource)
}
