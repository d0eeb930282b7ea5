package structs

import "time"

// Headers between callers, entry instances and runners.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDomain         = "Bergamotstile-Domain"
	HeaderCaller         = "Bergamotstile-Caller"
	HeaderTimeoutMS      = "Bergamotstile-Timeout-Ms"
	HeaderRequestID      = "Bergamotstile-Request-Id"
	HeaderContentDigest  = "Content-Digest"
)

// Request is one latency-critical request on its way to a runner.
type Request struct {
	ID         string        `json:"id"`
	Service    string        `json:"service"`
	Kind       string        `json:"kind"`
	Key        string        `json:"key,omitempty"`
	Caller     string        `json:"caller,omitempty"`
	Domain     string        `json:"domain,omitempty"`
	Class      Class         `json:"class"`
	Idempotent bool          `json:"idempotent"`
	Timeout    time.Duration `json:"timeout"`
	Body       []byte        `json:"body,omitempty"`
}

// Answer is a whole answer to a request.
type Answer struct {
	RequestID string `json:"request_id"`
	Runner    string `json:"runner"`
	Body      []byte `json:"body"`
}
