// Package peer is the protocol between entry instances: unary connect-go
// calls with a CBOR codec.
package peer

import (
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Heartbeat tells a peer what an instance knows of itself and of endpoints.
type Heartbeat struct {
	Name          string       `cbor:"1,keyasint"`
	Domain        string       `cbor:"2,keyasint"`
	Address       string       `cbor:"3,keyasint"`
	Draining      bool         `cbor:"4,keyasint"`
	TableUp       bool         `cbor:"5,keyasint"`
	ConfigVersion uint64       `cbor:"6,keyasint"`
	Shards        []OwnedShard `cbor:"7,keyasint,omitempty"`
	Leaving       []string     `cbor:"8,keyasint,omitempty"`
	Incarnation   string       `cbor:"9,keyasint"`
}

// OwnedShard is a shard that the sender holds.
type OwnedShard struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	Epoch uint64          `cbor:"2,keyasint"`
}

// ForwardRequest passes a latency-critical request to a shard's owner, or to
// an instance of another failure domain.
type ForwardRequest struct {
	Request structs.Request `cbor:"1,keyasint"`
	From    string          `cbor:"2,keyasint"`
	Hops    int             `cbor:"3,keyasint"`
}

// ForwardResponse carries an answer or a refusal, never both.
type ForwardResponse struct {
	Answer  *structs.Answer  `cbor:"1,keyasint,omitempty"`
	Refusal *structs.Refusal `cbor:"2,keyasint,omitempty"`
}

// HintRequest tells an owner that a work row was created.
type HintRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	ID    structs.WorkID  `cbor:"2,keyasint"`
}

// WorkRequest asks the owner of a work item for a cancel or a status.
type WorkRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	ID    structs.WorkID  `cbor:"2,keyasint"`
}

// WorkResponse carries an account of a work item or a refusal, never both.
type WorkResponse struct {
	Status  *structs.WorkStatus `cbor:"1,keyasint,omitempty"`
	Refusal *structs.Refusal    `cbor:"2,keyasint,omitempty"`
}

// ConfigChange is one accepted apply as it stands in the table.
type ConfigChange struct {
	Version uint64 `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
}

// PushRequest spreads changes through the relay tree. Relay lists the names
// of the instances that the receiver passes them on to.
type PushRequest struct {
	Changes []ConfigChange `cbor:"1,keyasint"`
	Relay   []string       `cbor:"2,keyasint,omitempty"`
}

// PushResponse tells the version that is in force at the receiver.
type PushResponse struct {
	Version uint64 `cbor:"1,keyasint"`
}

// FetchRequest asks for the changes above a version.
type FetchRequest struct {
	Above uint64 `cbor:"1,keyasint"`
}

// FetchResponse is the whole configuration or the changes that were asked for.
type FetchResponse struct {
	Version  uint64         `cbor:"1,keyasint"`
	Changes  []ConfigChange `cbor:"2,keyasint,omitempty"`
	Snapshot []byte         `cbor:"3,keyasint,omitempty"`
}

// PromiseRequest asks a peer not to take a shard for LeaseMS from its answer.
type PromiseRequest struct {
	Shard   structs.ShardID `cbor:"1,keyasint"`
	Epoch   uint64          `cbor:"2,keyasint"`
	LeaseMS int64           `cbor:"3,keyasint"`
}

// PromiseResponse grants the promise only if the sender cannot reach the table.
type PromiseResponse struct {
	Granted bool `cbor:"1,keyasint"`
	TableUp bool `cbor:"2,keyasint"`
}

// ProbeRequest asks an instance whether it still serves a shard.
type ProbeRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
	Epoch uint64          `cbor:"2,keyasint"`
}

// ProbeResponse tells whether the instance still serves the shard.
type ProbeResponse struct {
	Serving bool `cbor:"1,keyasint"`
}

// ReleasedRequest tells that the sender has released a shard.
type ReleasedRequest struct {
	Shard structs.ShardID `cbor:"1,keyasint"`
}

// RelayRequest passes a table call of an instance that cannot reach the table.
// Exactly one of its parts is set.
type RelayRequest struct {
	Read   []string              `cbor:"1,keyasint,omitempty"`
	Scan   *RelayScan            `cbor:"2,keyasint,omitempty"`
	Commit *platform.Transaction `cbor:"3,keyasint,omitempty"`
}

// RelayScan is the arguments of a scan.
type RelayScan struct {
	Prefix string `cbor:"1,keyasint"`
	After  string `cbor:"2,keyasint"`
	Limit  int    `cbor:"3,keyasint"`
}

// RelayFailure tells how a relayed call failed.
type RelayFailure string

// The failures of a relayed call.
const (
	RelayUnavailable    RelayFailure = "unavailable"
	RelayOutcomeUnknown RelayFailure = "outcome_unknown"
	RelayConflict       RelayFailure = "conflict"
)

// RelayResponse is the table's answer.
type RelayResponse struct {
	Rows     []platform.Row          `cbor:"1,keyasint,omitempty"`
	Commit   *platform.CommitResult  `cbor:"2,keyasint,omitempty"`
	Failure  RelayFailure            `cbor:"3,keyasint,omitempty"`
	Conflict *platform.ConflictError `cbor:"4,keyasint,omitempty"`
}

// Empty is an answer without content.
type Empty struct{}
