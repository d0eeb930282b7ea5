// Package settings reads and checks the settings of an entry instance.
package settings

import (
	"fmt"
	"os"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/strictjson"
)

// Millis is a duration in milliseconds, as settings files contain it.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Settings configures one entry instance. Name, Domain, CallerAddress,
// PeerAddress and PlatformAddress are required. All other fields but
// AdvertiseAddress have defaults.
type Settings struct {
	// Name is the instance's name on the membership list.
	Name string `json:"name"`
	// Domain is the failure domain to which the instance belongs.
	Domain string `json:"domain"`
	// CallerAddress is the address at which the instance listens for callers
	// and operators.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address at which the instance listens for other entry
	// instances.
	PeerAddress string `json:"peer_address"`
	// AdvertiseAddress is the address at which other entry instances connect to
	// this one. If it is empty, they connect to PeerAddress.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// PlatformAddress is the address of the platform's API.
	PlatformAddress string `json:"platform_address"`

	// LeaseMS is the duration of a shard lease.
	LeaseMS Millis `json:"lease_ms,omitempty"`
	// LeaseMarginMS is the time before the end of a shard lease at which the
	// owner stops serving the shard.
	LeaseMarginMS Millis `json:"lease_margin_ms,omitempty"`
	// TaskLeaseMS is how long a worker lets a task run without a heartbeat from
	// the owner of the task's shard.
	TaskLeaseMS Millis `json:"task_lease_ms,omitempty"`
	// StartWindowMS is how long after it was sent a start may still take effect
	// on a worker.
	StartWindowMS Millis `json:"start_window_ms,omitempty"`
	// WorkerHeartbeatMS is the interval between heartbeats to a worker.
	WorkerHeartbeatMS Millis `json:"worker_heartbeat_ms,omitempty"`
	// QueueScanMS is the interval at which an owner scans the table for new work
	// items and cancellations.
	QueueScanMS Millis `json:"queue_scan_ms,omitempty"`
	// CommitMax is the maximum number of state transitions in a group commit.
	CommitMax int `json:"commit_max,omitempty"`
	// CommitWaitMS is how long a group commit waits for more transitions.
	CommitWaitMS Millis `json:"commit_wait_ms,omitempty"`
	// RequestTimeoutMaxMS is the longest timeout that a request may have.
	RequestTimeoutMaxMS Millis `json:"request_timeout_max_ms,omitempty"`
	// AnswerRetentionMS is how long the answer to a request with a key is
	// remembered.
	AnswerRetentionMS Millis `json:"answer_retention_ms,omitempty"`
	// LeavingBoundMS is the maximum age of the last probe that found a runner not
	// leaving. If that probe is older, the runner receives no new requests.
	LeavingBoundMS Millis `json:"leaving_bound_ms,omitempty"`
	// ProbeMS is the interval between health probes of a runner.
	ProbeMS Millis `json:"probe_ms,omitempty"`
	// MembershipPollMS is the interval between two reads of the membership list.
	MembershipPollMS Millis `json:"membership_poll_ms,omitempty"`
	// HeartbeatMS is the interval between heartbeats to another entry instance.
	HeartbeatMS Millis `json:"heartbeat_ms,omitempty"`
	// SuspectMS is the age from which heartbeats no longer count. An instance
	// regards a peer as unreachable if the last heartbeat that the peer answered
	// is older, and ignores the peer's own heartbeats if the last of them is older.
	SuspectMS Millis `json:"suspect_ms,omitempty"`
	// ConfigPollMS is the interval between two reads of the row that names the
	// newest version of the configuration.
	ConfigPollMS Millis `json:"config_poll_ms,omitempty"`
	// DrainMaxMS is the longest time that a drain may take. It includes the wait
	// for requests in flight.
	DrainMaxMS Millis `json:"drain_max_ms,omitempty"`

	// MemoryMB is the memory that the process may use. A quarter of it bounds what the
	// connections of callers and peers hold together. Zero selects the default of
	// package httpserver for that, and leaves the process as a whole unbounded.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// MaxDescriptors is the number of descriptors that the process may have open. Zero
	// selects the resource limit of the process.
	MaxDescriptors int `json:"max_descriptors,omitempty"`
}

// Default returns settings in which the name, the domain and the addresses are
// empty and all other fields have their defaults.
func Default() *Settings {
	return &Settings{
		LeaseMS:             3000,
		LeaseMarginMS:       500,
		TaskLeaseMS:         20000,
		StartWindowMS:       1000,
		WorkerHeartbeatMS:   1000,
		QueueScanMS:         1000,
		CommitMax:           256,
		CommitWaitMS:        5,
		RequestTimeoutMaxMS: declaration.DefaultRequestTimeoutMaxMS,
		AnswerRetentionMS:   10000,
		LeavingBoundMS:      3000,
		ProbeMS:             1000,
		MembershipPollMS:    1000,
		HeartbeatMS:         500,
		SuspectMS:           2000,
		ConfigPollMS:        1000,
		DrainMaxMS:          10000,
	}
}

// AdvertisedPeerAddress returns the address at which peers reach this instance.
func (s *Settings) AdvertisedPeerAddress() string {
	if s.AdvertiseAddress != "" {
		return s.AdvertiseAddress
	}
	return s.PeerAddress
}

// Decode parses settings from JSON and sets the defaults of fields that are left
// out. It checks the types of the fields, but not their values.
func Decode(data []byte) (*Settings, error) {
	s := Default()
	if err := strictjson.Decode(data, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Limits returns the limits of the values in a declaration that follow from the
// settings.
func (s *Settings) Limits() declaration.Limits {
	return declaration.Limits{RequestTimeoutMaxMS: int64(s.RequestTimeoutMaxMS)}
}
