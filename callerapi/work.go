package callerapi

import (
	"encoding/hex"
	"net/http"

	"bergamotstile/structs"
)

// submit handles POST /v1/work.
func (a *api) submit(w http.ResponseWriter, r *http.Request) error {
	spec, refusal := a.readSpec(r)
	if refusal != nil {
		return refusal
	}
	status, err := a.Work.Submit(r.Context(), spec)
	if err != nil {
		return err
	}
	w.Header().Set("Location", "/v1/work/"+string(status.ID))
	writeJSON(w, http.StatusAccepted, status)
	return nil
}

func (a *api) readSpec(r *http.Request) (structs.WorkSpec, *structs.Refusal) {
	if a.Work == nil {
		return structs.WorkSpec{}, notReady("work items")
	}
	h := headerReader{header: r.Header}
	key := h.text(structs.HeaderIdempotencyKey, maxKeyBytes)
	domain := h.name(structs.HeaderDomain)
	if h.refusal != nil {
		return structs.WorkSpec{}, h.refusal
	}
	body, refusal := readBody(r, MaxWorkBytes)
	if refusal != nil {
		return structs.WorkSpec{}, refusal
	}
	spec, refusal := decodeSpec(body)
	if refusal == nil {
		refusal = mergeHeaders(&spec, key, domain)
	}
	if refusal == nil {
		refusal = checkSpec(spec)
	}
	return spec, refusal
}

func decodeSpec(body []byte) (structs.WorkSpec, *structs.Refusal) {
	var spec structs.WorkSpec
	if err := decodeStrict(body, &spec); err != nil {
		return spec, structs.NotRun(structs.ReasonBadRequest, "the submit is not valid: %v", err)
	}
	return spec, nil
}

// mergeHeaders takes key and domain from headers. A body that says otherwise
// is refused, since either could be the mistake.
func mergeHeaders(spec *structs.WorkSpec, key, domain string) *structs.Refusal {
	if key != "" && spec.Key != "" && key != spec.Key {
		return structs.NotRun(structs.ReasonBadRequest, "header %s and the body name different keys", structs.HeaderIdempotencyKey)
	}
	if domain != "" && spec.Domain != "" && domain != spec.Domain {
		return structs.NotRun(structs.ReasonBadRequest, "header %s and the body name different domains", structs.HeaderDomain)
	}
	if key != "" {
		spec.Key = key
	}
	if domain != "" {
		spec.Domain = domain
	}
	return nil
}

func checkSpec(spec structs.WorkSpec) *structs.Refusal {
	switch {
	case spec.Key == "":
		return structs.NotRun(structs.ReasonKeyRequired, "a submit needs the header %s or a key", structs.HeaderIdempotencyKey)
	case !isVisible(spec.Key, maxKeyBytes):
		return badField("key", "must be visible ASCII of at most 200 characters")
	case !isName(spec.Team):
		return badField("team", "must be a name")
	case !isName(spec.Job):
		return badField("job", "must be a name")
	case spec.Domain != "" && !isName(spec.Domain):
		return badField("domain", "must be a name")
	case spec.Kind != structs.KindBatch && spec.Kind != structs.KindStanding:
		return badField("kind", "must be \"batch\" or \"standing\"")
	case spec.Class < structs.ClassUrgent || spec.Class > structs.ClassLow:
		return badField("class", "must be 0, 1 or 2")
	case spec.Size.CPUMilli < 0 || spec.Size.MemoryMB < 0 || spec.Size.Accelerators < 0 || spec.Size == (structs.Resources{}):
		return badField("size", "must not be negative, and not zero throughout")
	case spec.ExpectedRunMS < 0 || spec.MaxRunMS < 0:
		return badField("expected_run_ms, max_run_ms", "must not be negative")
	}
	return nil
}

func badField(field, rule string) *structs.Refusal {
	return structs.NotRun(structs.ReasonBadRequest, "%s %s", field, rule)
}

// status handles GET /v1/work/{id}.
func (a *api) status(w http.ResponseWriter, r *http.Request) error {
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

// cancel handles DELETE /v1/work/{id}.
func (a *api) cancel(w http.ResponseWriter, r *http.Request) error {
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
		return "", "", notReady("work items")
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
