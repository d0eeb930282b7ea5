// Package peer is the protocol between entry instances: unary connect-go calls with a
// CBOR codec.
package peer

import (
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Heartbeat is the state of an instance and of the runners in its domain. LeavingRunners
// holds the names of runners that are leaving. Incarnation identifies the process of the
// instance: it differs between two processes with the same name.
type Heartbeat struct {
	Name           string       `cbor:"1,keyasint"`
	Domain         string       `cbor:"2,keyasint"`
	Address        string       `cbor:"3,keyasint"`
	Draining       bool         `cbor:"4,keyasint"`
	TableUp        bool         `cbor:"5,keyasint"`
	ConfigVersion  uint64       `cbor:"6,keyasint"`
	Shards         []OwnedShard `cbor:"7,keyasint,omitempty"`
	LeavingRunners []string     `cbor:"8,keyasint,omitempty"`
	Incarnation    string       `cbor:"9,keyasint"`
}

// OwnedShard is a shard that the sender of a heartbeat owns, with the epoch of its lease.
type OwnedShard struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	Epoch uint64          `cbor:"2,keyasint"`
}

// ForwardRequest forwards a latency-critical request to the owner of a shard, or to an
// instance of another failure domain. Hops counts how often it was forwarded.
type ForwardRequest struct {
	Request structs.Request `cbor:"1,keyasint"`
	From    string          `cbor:"2,keyasint"`
	Hops    int             `cbor:"3,keyasint"`
}

// ForwardResponse holds either an answer or a refusal.
type ForwardResponse struct {
	Answer  *structs.Answer  `cbor:"1,keyasint,omitempty"`
	Refusal *structs.Refusal `cbor:"2,keyasint,omitempty"`
}

// HintRequest reports to the owner of a shard that a work row was created.
type HintRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	ID    structs.WorkID  `cbor:"2,keyasint"`
}

// WorkRequest asks the owner of a shard to cancel a work item or to return its status.
type WorkRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	ID    structs.WorkID  `cbor:"2,keyasint"`
}

// WorkResponse holds either the status of a work item or a refusal.
type WorkResponse struct {
	Status  *structs.WorkStatus `cbor:"1,keyasint,omitempty"`
	Refusal *structs.Refusal    `cbor:"2,keyasint,omitempty"`
}

// ConfigChange is one accepted configuration change. Value is the value of its row in
// the table.
type ConfigChange struct {
	Version uint64 `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
}

// PushRequest spreads changes through the relay tree. RelayTo lists the names of the
// instances to which the receiver passes the changes on.
type PushRequest struct {
	Changes []ConfigChange `cbor:"1,keyasint"`
	RelayTo []string       `cbor:"2,keyasint,omitempty"`
}

// PushResponse returns the version that is in force at the receiver.
type PushResponse struct {
	Version uint64 `cbor:"1,keyasint"`
}

// FetchRequest asks for the changes above a version.
type FetchRequest struct {
	Above uint64 `cbor:"1,keyasint"`
}

// FetchResponse returns the version in force at the responder, with the changes that
// were asked for or, if the responder no longer keeps them, a snapshot of the whole
// configuration.
type FetchResponse struct {
	Version  uint64         `cbor:"1,keyasint"`
	Changes  []ConfigChange `cbor:"2,keyasint,omitempty"`
	Snapshot []byte         `cbor:"3,keyasint,omitempty"`
}

// PromiseRequest asks a peer not to take a shard for LeaseMS milliseconds after it grants
// the promise.
type PromiseRequest struct {
	Shard   structs.ShardID `cbor:"1,keyasint"`
	Epoch   uint64          `cbor:"2,keyasint"`
	LeaseMS int64           `cbor:"3,keyasint"`
}

// PromiseResponse reports whether the responder grants the promise, which it does only if
// it cannot reach the table, and whether it can reach the table.
type PromiseResponse struct {
	Granted bool `cbor:"1,keyasint"`
	TableUp bool `cbor:"2,keyasint"`
}

// ProbeRequest asks an instance whether it still serves a shard in an epoch. An instance
// sends it to the owner that a shard row names, before it takes over the shard.
type ProbeRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	Epoch uint64          `cbor:"2,keyasint"`
}

// ProbeResponse reports whether the responder still serves the shard in the epoch of the
// request.
type ProbeResponse struct {
	Serving bool `cbor:"1,keyasint"`
}

// ReleasedRequest reports that the sender has released a shard.
type ReleasedRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
}

// RelayRequest is a table call of an instance that cannot reach the table. Exactly one
// field is set.
type RelayRequest struct {
	Read   []string              `cbor:"1,keyasint,omitempty"`
	Scan   *RelayScan            `cbor:"2,keyasint,omitempty"`
	Commit *platform.Transaction `cbor:"3,keyasint,omitempty"`
}

// RelayScan holds the arguments of a scan.
type RelayScan struct {
	Prefix string `cbor:"1,keyasint"`
	After  string `cbor:"2,keyasint"`
	Limit  int    `cbor:"3,keyasint"`
}

// RelayFailure says how a relayed call failed.
type RelayFailure string

// The ways in which a relayed call fails.
const (
	RelayUnavailable    RelayFailure = "unavailable"
	RelayOutcomeUnknown RelayFailure = "outcome_unknown"
	RelayConflict       RelayFailure = "conflict"
)

// RelayResponse is the result of the table call. Conflict is set if Failure is
// RelayConflict.
type RelayResponse struct {
	Rows     []platform.Row          `cbor:"1,keyasint,omitempty"`
	Commit   *platform.CommitResult  `cbor:"2,keyasint,omitempty"`
	Failure  RelayFailure            `cbor:"3,keyasint,omitempty"`
	Conflict *platform.ConflictError `cbor:"4,keyasint,omitempty"`
}

// Empty is a response without content.
type Empty struct{}
