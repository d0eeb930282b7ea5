package callerapi

import (
	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// Submit is the body of POST /v1/work. Fields that are left out get the values of the
// declared batch job.
type Submit struct {
	Team   string `json:"team"`
	Key    string `json:"key,omitempty"`
	Job    string `json:"job"`
	Domain string `json:"domain,omitempty"`
	// Class replaces the declared class for this work item.
	Class declaration.ClassName `json:"class,omitempty"`
	// Size, if set, replaces the whole declared size.
	Size          structs.Resources `json:"size,omitzero"`
	ExpectedRunMS int64             `json:"expected_run_ms,omitempty"`
	MaxRunMS      int64             `json:"max_run_ms,omitempty"`
	Payload       []byte            `json:"payload,omitempty"`
}

func decodeSubmit(body []byte) (Submit, *structs.Refusal) {
	var s Submit
	if err := decodeStrictJSON(body, &s); err != nil {
		return s, structs.NotRun(structs.ReasonBadRequest, "the submit is not valid: %v", err)
	}
	return s, nil
}

// mergeHeaders takes the key and the domain from headers. If the body has another value,
// the submit is refused, since either value could be the mistake.
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

func validateSubmit(s Submit) *structs.Refusal {
	size := s.Size
	switch {
	case s.Key == "":
		return structs.NotRun(structs.ReasonKeyRequired, "a submit needs the header %s or a key", structs.HeaderIdempotencyKey)
	case !isVisibleASCII(s.Key, maxKeyBytes):
		return refuseField("key", "must be visible ASCII of at most 200 characters")
	case !isValidName(s.Team):
		return refuseField("team", "must be a name")
	case !isValidName(s.Job):
		return refuseField("job", "must be a name")
	case s.Domain != "" && !isValidName(s.Domain):
		return refuseField("domain", "must be a name")
	case !isValidClass(s.Class):
		return refuseField("class", "must be urgent, normal or low")
	case size != (structs.Resources{}) && (size.CPUMilli <= 0 || size.MemoryMB <= 0 || size.Accelerators < 0):
		return refuseField("size", "needs positive cpu_milli and memory_mb, and accelerators that are not negative")
	case s.ExpectedRunMS < 0 || s.MaxRunMS < 0:
		return refuseField("expected_run_ms, max_run_ms", "must not be negative")
	}
	return nil
}

func isValidClass(c declaration.ClassName) bool {
	switch c {
	case "", declaration.ClassUrgent, declaration.ClassNormal, declaration.ClassLow:
		return true
	}
	return false
}
