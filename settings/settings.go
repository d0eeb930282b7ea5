// Package settings holds the settings of one entry instance.
package settings

import (
	"fmt"
	"os"
	"time"

	"bergamotstile/declaration"
	"bergamotstile/strictjson"
)

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns the time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Settings configures one entry instance. Name, domain and addresses are
// required; everything else has a default.
type Settings struct {
	// Name is the instance's name on the membership list.
	Name string `json:"name"`
	// Domain is the failure domain that the instance is in.
	Domain string `json:"domain"`
	// CallerAddress is where callers and operators are served.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is where other entry instances are served.
	PeerAddress string `json:"peer_address"`
	// AdvertiseAddress is where peers reach PeerAddress, if they reach it at
	// another address.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// PlatformAddress is where the platform's API is reached.
	PlatformAddress string `json:"platform_address"`

	// LeaseMS is how long a shard lease lasts.
	LeaseMS Millis `json:"lease_ms,omitempty"`
	// LeaseMarginMS is how much earlier the owner itself stops.
	LeaseMarginMS Millis `json:"lease_margin_ms,omitempty"`
	// TaskLeaseMS is how long a task runs without a heartbeat of its owner.
	TaskLeaseMS Millis `json:"task_lease_ms,omitempty"`
	// StartWindowMS is how long a worker accepts a start after it was sent.
	StartWindowMS Millis `json:"start_window_ms,omitempty"`
	// WorkerHeartbeatMS is the time between heartbeats to a worker.
	WorkerHeartbeatMS Millis `json:"worker_heartbeat_ms,omitempty"`
	// QueueScanMS is the time between an owner's scans for new work rows.
	QueueScanMS Millis `json:"queue_scan_ms,omitempty"`
	// CommitMax is the largest number of items in a group commit.
	CommitMax int `json:"commit_max,omitempty"`
	// CommitWaitMS is how long a group commit waits for more items.
	CommitWaitMS Millis `json:"commit_wait_ms,omitempty"`
	// RequestTimeoutMaxMS is the largest timeout of a request.
	RequestTimeoutMaxMS Millis `json:"request_timeout_max_ms,omitempty"`
	// AnswerRetentionMS is how long answers to keyed requests are remembered.
	AnswerRetentionMS Millis `json:"answer_retention_ms,omitempty"`
	// LeavingBoundMS is how long a runner that is not confirmed as staying
	// still receives new requests.
	LeavingBoundMS Millis `json:"leaving_bound_ms,omitempty"`
	// ProbeMS is the time between health probes of a runner.
	ProbeMS Millis `json:"probe_ms,omitempty"`
	// MembershipPollMS is the time between readings of the membership list.
	MembershipPollMS Millis `json:"membership_poll_ms,omitempty"`
	// HeartbeatMS is the time between heartbeats to peers.
	HeartbeatMS Millis `json:"heartbeat_ms,omitempty"`
	// SuspectMS is the silence after which a peer is suspected.
	SuspectMS Millis `json:"suspect_ms,omitempty"`
	// ConfigPollMS is the time between readings of the configuration's head.
	ConfigPollMS Millis `json:"config_poll_ms,omitempty"`
	// DrainMaxMS is the longest time that a shutdown waits for requests.
	DrainMaxMS Millis `json:"drain_max_ms,omitempty"`
}

// Default returns settings with every default and without names and addresses.
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

// Advertised returns the address at which peers reach this instance.
func (s *Settings) Advertised() string {
	if s.AdvertiseAddress != "" {
		return s.AdvertiseAddress
	}
	return s.PeerAddress
}

// Decode reads settings and fills in defaults. It does not check values.
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

// Limits returns what a declaration must respect on this instance.
func (s *Settings) Limits() declaration.Limits {
	return declaration.Limits{RequestTimeoutMaxMS: int64(s.RequestTimeoutMaxMS)}
}
