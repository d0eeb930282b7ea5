package callerapi

import (
	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// Submit is the body of POST /v1/work. What it leaves out is taken from the
// declared batch job.
type Submit struct {
	Team   string `json:"team"`
	Key    string `json:"key,omitempty"`
	Job    string `json:"job"`
	Domain string `json:"domain,omitempty"`
	// Class may be lowered or raised for one work item.
	Class declaration.ClassName `json:"class,omitempty"`
	// Size replaces the declared size as a whole.
	Size          structs.Resources `json:"size,omitzero"`
	ExpectedRunMS int64             `json:"expected_run_ms,omitempty"`
	MaxRunMS      int64             `json:"max_run_ms,omitempty"`
	Payload       []byte            `json:"payload,omitempty"`
}

func decodeSubmit(body []byte) (Submit, *structs.Refusal) {
	var s Submit
	if err := decodeStrict(body, &s); err != nil {
		return s, structs.NotRun(structs.ReasonBadRequest, "the submit is not valid: %v", err)
	}
	return s, nil
}

// mergeHeaders takes key and domain from headers. A body that says otherwise
// is refused, since either could be the mistake.
func mergeHeaders(s *Submit, key, domain string) *structs.Refusal {
	if key != "" && s.Key != "" && key != s.Key {
		return structs.NotRun(structs.ReasonBadRequest, "header %s and the body name different keys", structs.HeaderIdempotencyKey)
	}
	if domain != "" && s.Domain != "" && domain != s.Domain {
		return structs.NotRun(structs.ReasonBadRequest, "header %s and the body name different domains", structs.HeaderDomain)
	}
	if key != "" {
		s.Key = key
	}
	if domain != "" {
		s.Domain = domain
	}
	return nil
}

func checkSubmit(s Submit) *structs.Refusal {
	size := s.Size
	switch {
	case s.Key == "":
		return structs.NotRun(structs.ReasonKeyRequired, "a submit needs the header %s or a key", structs.HeaderIdempotencyKey)
	case !isVisible(s.Key, maxKeyBytes):
		return badField("key", "must be visible ASCII of at most 200 characters")
	case !isName(s.Team):
		return badField("team", "must be a name")
	case !isName(s.Job):
		return badField("job", "must be a name")
	case s.Domain != "" && !isName(s.Domain):
		return badField("domain", "must be a name")
	case !isClass(s.Class):
		return badField("class", "must be urgent, normal or low")
	case size != (structs.Resources{}) && (size.CPUMilli <= 0 || size.MemoryMB <= 0 || size.Accelerators < 0):
		return badField("size", "needs positive cpu_milli and memory_mb, and accelerators that are not negative")
	case s.ExpectedRunMS < 0 || s.MaxRunMS < 0:
		return badField("expected_run_ms, max_run_ms", "must not be negative")
	}
	return nil
}

func isClass(c declaration.ClassName) bool {
	switch c {
	case "", declaration.ClassUrgent, declaration.ClassNormal, declaration.ClassLow:
		return true
	}
	return false
}
