package jobs

import "time"

// Queue is where jobs of one kind wait, and how they are treated.
type Queue struct {
	Name     string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Priority int    `cbor:"3,keyasint,omitempty"` // 0 comes first
	// Attempts is how often a task may fail before its job has failed.
	Attempts int `cbor:"4,keyasint,omitempty"`
	// Stretch times the estimated chain, plus Target, is the job's objective.
	Stretch float64       `cbor:"5,keyasint,omitempty"`
	Target  time.Duration `cbor:"6,keyasint,omitempty"`
	// Advised queues need a ticket for each runner that runs a step.
	Advised bool `cbor:"7,keyasint,omitempty"`
}
