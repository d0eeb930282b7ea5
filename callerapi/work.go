package callerapi

import (
	"encoding/hex"
	"net/http"

	"bergamotstile/structs"
)

// handleSubmit handles POST /v1/work.
func (a *api) handleSubmit(w http.ResponseWriter, r *http.Request) error {
	submit, refusal := a.readSubmit(r)
	if refusal != nil {
		return refusal
	}
	status, err := a.Work.Submit(r.Context(), submit)
	if err != nil {
		return err
	}
	w.Header().Set("Location", "/v1/work/"+string(status.ID))
	writeJSON(w, http.StatusAccepted, status)
	return nil
}

func (a *api) readSubmit(r *http.Request) (Submit, *structs.Refusal) {
	if a.Work == nil {
		return Submit{}, refuseNotReady("work items")
	}
	h := headerReader{header: r.Header}
	key := h.text(structs.HeaderIdempotencyKey, maxKeyBytes)
	domain := h.name(structs.HeaderDomain)
	if h.refusal != nil {
		return Submit{}, h.refusal
	}
	body, refusal := readBody(r, MaxWorkBytes)
	if refusal != nil {
		return Submit{}, refusal
	}
	submit, refusal := decodeSubmit(body)
	if refusal == nil {
		refusal = mergeHeaders(&submit, key, domain)
	}
	if refusal == nil {
		refusal = validateSubmit(submit)
	}
	return submit, refusal
}

func refuseField(field, rule string) *structs.Refusal {
	return structs.NotRun(structs.ReasonBadRequest, "%s %s", field, rule)
}

// handleWorkStatus handles GET /v1/work/{id}.
func (a *api) handleWorkStatus(w http.ResponseWriter, r *http.Request) error {
	domain, id, refusal := a.readWorkID(r)
	if refusal != nil {
		return refusal
	}
	status, err := a.Work.Status(r.Context(), domain, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// handleCancel handles DELETE /v1/work/{id}.
func (a *api) handleCancel(w http.ResponseWriter, r *http.Request) error {
	domain, id, refusal := a.readWorkID(r)
	if refusal != nil {
		return refusal
	}
	status, err := a.Work.Cancel(r.Context(), domain, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

func (a *api) readWorkID(r *http.Request) (string, structs.WorkID, *structs.Refusal) {
	if a.Work == nil {
		return "", "", refuseNotReady("work items")
	}
	h := headerReader{header: r.Header}
	domain := h.name(structs.HeaderDomain)
	if h.refusal != nil {
		return "", "", h.refusal
	}
	id := r.PathValue("id")
	if raw, err := hex.DecodeString(id); err != nil || len(raw) != 16 || hex.EncodeToString(raw) != id {
		return "", "", structs.NotRun(structs.ReasonNotFound, "a work ID has 32 lower-case hexadecimal digits")
	}
	return domain, structs.WorkID(id), nil
}
