package jobs

import "time"

// Queue is the queue in which jobs of one kind wait, and the policy for these
// jobs.
type Queue struct {
	Name     string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`           // whose runners run the tasks
	Priority int    `cbor:"3,keyasint,omitempty"` // 0 is the most urgent
	// MaxAttempts is the number of failures of one task after which its job
	// fails; zero if there is no limit.
	MaxAttempts int `cbor:"4,keyasint,omitempty"`
	// Stretch and TargetLatency define how long a job may take: Stretch times the
	// estimated duration of its longest chain of steps, plus TargetLatency.
	Stretch       float64       `cbor:"5,keyasint,omitempty"`
	TargetLatency time.Duration `cbor:"6,keyasint,omitempty"`
	// RequiresTicket is set if a task may start on a runner only with a ticket from
	// the advice service for that runner.
	RequiresTicket bool `cbor:"7,keyasint,omitempty"`
}
