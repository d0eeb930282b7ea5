package ownership

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/defaults"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/structs"
)

// Config holds the settings of ownership. Zero durations are replaced by the
// defaults.
type Config struct {
	// Self is this instance: its name, address and failure domain.
	Self structs.Member
	// Shards is the number of shards of the domain.
	Shards int
	// Lease is how long a renewal lasts.
	Lease time.Duration
	// Margin is the part of the lease that its owner does not use, for clocks
	// that run at different speeds.
	Margin time.Duration
	// TableTimeout bounds one call to the table.
	TableTimeout time.Duration
	// PeerTimeout bounds one round of promises or one probe.
	PeerTimeout time.Duration
}

// Defaults of Config.
const (
	defaultLease        = 3 * time.Second
	defaultMargin       = 500 * time.Millisecond
	defaultTableTimeout = 500 * time.Millisecond
	defaultPeerTimeout  = 500 * time.Millisecond
)

// Fractions of the lease.
const (
	// renewParts makes two more tries possible after a failed renewal.
	renewParts = 3
	// retryParts is the interval after a failed call to the table. It leaves
	// time for promises once the peers have noticed an outage too.
	retryParts = 10
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.Lease, defaultLease)
	defaults.Set(&c.Margin, defaultMargin)
	defaults.Set(&c.TableTimeout, defaultTableTimeout)
	defaults.Set(&c.PeerTimeout, defaultPeerTimeout)
	c.Shards = max(c.Shards, 1)
	return c
}

// Members tells which entry instances a failure domain has.
type Members interface {
	// Entries returns the live instances that are not draining.
	Entries(domain string) []structs.Member
	// Listed returns the instances of the platform's last list.
	Listed(domain string) []structs.Member
}

// Peers calls other entry instances; peer.Client is one.
type Peers interface {
	Promise(ctx context.Context, address string, m *peer.PromiseRequest) (*peer.PromiseResponse, error)
	Probe(ctx context.Context, address string, m *peer.ProbeRequest) (*peer.ProbeResponse, error)
}

// Dependencies are what a Manager works with.
type Dependencies struct {
	Table   platform.Table
	Members Members
	Peers   Peers
	// Log may be nil, which stands for the standard logger.
	Log logrus.FieldLogger
	// NewWriteID returns an ID that no other write has.
	NewWriteID func() string
}
