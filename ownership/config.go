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

// Config holds the settings of a Manager. NewManager replaces zero durations by
// the defaults.
type Config struct {
	// Self holds the name, the address and the failure domain of this instance.
	Self structs.Member
	// Shards is the number of shards of the failure domain; zero counts as one.
	Shards int
	// Lease is the duration of a lease: other instances leave a shard to its
	// owner for this long after they first saw the last renewal.
	Lease time.Duration
	// Margin is the time before the end of the lease at which the owner stops
	// using it, because the clocks of two instances may run at different speeds.
	Margin time.Duration
	// TableTimeout limits the duration of one call to the table.
	TableTimeout time.Duration
	// PeerTimeout limits the duration of one round of promise requests, which
	// are sent to all peers at once, and of one probe of an owner.
	PeerTimeout time.Duration
}

// Default values of Config.
const (
	defaultLease        = 3 * time.Second
	defaultMargin       = 500 * time.Millisecond
	defaultTableTimeout = 500 * time.Millisecond
	defaultPeerTimeout  = 500 * time.Millisecond
)

// Intervals between steps, as divisors of the lease duration.
const (
	// renewalsPerLease sets the renewal interval to a third of the lease, so that
	// two more attempts fit into the lease after a failed renewal.
	renewalsPerLease = 3
	// retriesPerLease sets the interval after a failed call to the table to a
	// tenth of the lease. Peers grant promises only after they have noticed the
	// outage too. At this interval, the owner can ask them several times before its
	// lease ends.
	retriesPerLease = 10
)

// withDefaults returns the settings with defaults in place of zero values.
func (c Config) withDefaults() Config {
	defaults.Set(&c.Lease, defaultLease)
	defaults.Set(&c.Margin, defaultMargin)
	defaults.Set(&c.TableTimeout, defaultTableTimeout)
	defaults.Set(&c.PeerTimeout, defaultPeerTimeout)
	c.Shards = max(c.Shards, 1)
	return c
}

// Members reports the entry instances of a failure domain.
type Members interface {
	// Entries returns the live, reachable instances that are not draining.
	Entries(domain string) []structs.Member
	// Listed returns the instances on the platform's last membership list,
	// whether they are reachable or not.
	Listed(domain string) []structs.Member
}

// Peers calls other entry instances; peer.Client implements it.
type Peers interface {
	Promise(ctx context.Context, address string, m *peer.PromiseRequest) (*peer.PromiseResponse, error)
	Probe(ctx context.Context, address string, m *peer.ProbeRequest) (*peer.ProbeResponse, error)
}

// Dependencies holds the interfaces through which a Manager reaches the table,
// the membership view and its peers.
type Dependencies struct {
	Table   platform.Table
	Members Members
	Peers   Peers
	// Log receives the log lines; nil selects the standard logger.
	Log logrus.FieldLogger
	// NewWriteID returns a unique ID for a write. By this ID the Manager
	// recognises a write of its own in the rows that it reads back.
	NewWriteID func() string
}
