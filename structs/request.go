package structs

import "time"

// HTTP headers that callers, entry instances and runners exchange.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDomain         = "Bergamotstile-Domain"
	HeaderCaller         = "Bergamotstile-Caller"
	HeaderTimeoutMS      = "Bergamotstile-Timeout-Ms"
	HeaderRequestID      = "Bergamotstile-Request-Id"
	HeaderContentDigest  = "Content-Digest"
)

// Request is one latency-critical request to a service. A runner executes it.
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

// Answer is the complete answer to a request.
type Answer struct {
	RequestID string `json:"request_id"`
	Runner    string `json:"runner"`
	Body      []byte `json:"body"`
}
