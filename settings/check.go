package settings

import (
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"bergamotstile/strictjson"
)

// Limits of the values of settings.
const (
	maxDurationMS Millis = 3_600_000
	maxCommitMax  int    = 4096
	// configRolloutBoundMS is the time within which an accepted configuration
	// must be in force on all instances (property P9).
	configRolloutBoundMS Millis = 5000
	// maxLeavingBoundMS is the largest leaving bound. Property P7 requires that
	// the bound is a few seconds.
	maxLeavingBoundMS Millis = 10000
)

// namePattern is the pattern that names in a declaration must match too.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

type checker struct {
	strictjson.Collector
	settings *Settings
}

// Check returns a *strictjson.Error that lists the problems of the settings with
// the names of the fields, or nil if there are none. It checks the relations
// between settings only if each value by itself is valid.
func (s *Settings) Check() error {
	c := &checker{settings: s}
	c.checkName("name", s.Name)
	c.checkName("domain", s.Domain)
	c.checkAddresses()
	c.checkDurations()
	if s.CommitMax < 1 || s.CommitMax > maxCommitMax {
		c.Addf("commit_max", "must be between 1 and %d, not %d", maxCommitMax, s.CommitMax)
	}
	if s.MemoryMB < 0 {
		c.Addf("memory_mb", "must not be negative, not %d", s.MemoryMB)
	}
	if s.MaxDescriptors < 0 {
		c.Addf("max_descriptors", "must not be negative, not %d", s.MaxDescriptors)
	}
	if c.Count() == 0 {
		c.checkLeaseRelations()
		c.checkOtherRelations()
	}
	return c.Err()
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.Addf(path, "must be 1 to 63 letters, digits, '.', '_' or '-' and start with a letter or digit, not %q", name)
	}
}

func (c *checker) checkAddresses() {
	s := c.settings
	c.checkAddress("caller_address", s.CallerAddress)
	peer := c.checkAddress("peer_address", s.PeerAddress)
	if peer.IsValid() && peer.Addr().IsUnspecified() {
		c.Addf("peer_address", "must be an address that other instances can reach, not %s", s.PeerAddress)
	}
	platform := c.checkAddress("platform_address", s.PlatformAddress)
	if platform.IsValid() && (platform.Port() == 0 || platform.Addr().IsUnspecified()) {
		c.Addf("platform_address", "must name an address and a port to connect to, not %s", s.PlatformAddress)
	}
	if s.CallerAddress == s.PeerAddress && peer.Port() != 0 {
		c.Addf("peer_address", "must differ from caller_address (%s)", s.CallerAddress)
	}
}

func (c *checker) checkAddress(path, address string) netip.AddrPort {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		c.Addf(path, "must be an IP number and a port such as 127.0.0.1:7000, not %q", address)
	}
	return parsed
}

// checkDurations checks that every duration is between 1 ms and maxDurationMS.
func (c *checker) checkDurations() {
	v := reflect.ValueOf(*c.settings)
	for i := range v.NumField() {
		duration, ok := v.Field(i).Interface().(Millis)
		if ok && (duration < 1 || duration > maxDurationMS) {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			c.Addf(name, "must be between 1 and %d ms, not %d", maxDurationMS, duration)
		}
	}
}

func (c *checker) checkLeaseRelations() {
	s := c.settings
	// An owner dispatches a request with a key only if the request's deadline
	// is before the end of its lease. Leases are renewed at intervals of
	// lease_ms/3. The longest timeout must fit into the shortest time that is
	// left of a lease that is renewed without failures.
	maxRequestTimeout := s.LeaseMS - s.LeaseMarginMS - s.LeaseMS/3
	if s.RequestTimeoutMaxMS > maxRequestTimeout {
		c.Addf("request_timeout_max_ms", "must be at most lease_ms - lease_margin_ms - lease_ms/3 (%d), not %d",
			maxRequestTimeout, s.RequestTimeoutMaxMS)
	}
	// Tasks must survive a takeover of the shard. The lease expires, the next
	// owner may wait for the time of another lease, and only then do its
	// heartbeats renew the leases of the tasks.
	if minTaskLease := 2*s.LeaseMS + 2*s.WorkerHeartbeatMS; s.TaskLeaseMS < minTaskLease {
		c.Addf("task_lease_ms", "must be at least 2*lease_ms + 2*worker_heartbeat_ms (%d), not %d", minTaskLease, s.TaskLeaseMS)
	}
	if s.StartWindowMS >= s.TaskLeaseMS {
		c.Addf("start_window_ms", "must be below task_lease_ms (%d), not %d", s.TaskLeaseMS, s.StartWindowMS)
	}
	if s.CommitWaitMS > s.StartWindowMS {
		c.Addf("commit_wait_ms", "must be at most start_window_ms (%d), not %d", s.StartWindowMS, s.CommitWaitMS)
	}
	if s.AnswerRetentionMS < s.RequestTimeoutMaxMS {
		c.Addf("answer_retention_ms", "must be at least request_timeout_max_ms (%d), not %d",
			s.RequestTimeoutMaxMS, s.AnswerRetentionMS)
	}
}

func (c *checker) checkOtherRelations() {
	s := c.settings
	if s.DrainMaxMS < s.RequestTimeoutMaxMS {
		c.Addf("drain_max_ms", "must be at least request_timeout_max_ms (%d), not %d", s.RequestTimeoutMaxMS, s.DrainMaxMS)
	}
	if s.SuspectMS < 2*s.HeartbeatMS {
		c.Addf("suspect_ms", "must be at least 2*heartbeat_ms (%d), not %d", 2*s.HeartbeatMS, s.SuspectMS)
	}
	if s.LeavingBoundMS < 2*s.ProbeMS || s.LeavingBoundMS > maxLeavingBoundMS {
		c.Addf("leaving_bound_ms", "must be between 2*probe_ms (%d) and %d, not %d", 2*s.ProbeMS, maxLeavingBoundMS, s.LeavingBoundMS)
	}
	// A change must be in force within configRolloutBoundMS even if one poll
	// fails.
	if s.ConfigPollMS > configRolloutBoundMS/2 {
		c.Addf("config_poll_ms", "must be at most %d, so that a change is in force within %d, not %d",
			configRolloutBoundMS/2, configRolloutBoundMS, s.ConfigPollMS)
	}
}
