package settings

import (
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"bergamotstile/strictjson"
)

// Bounds of settings.
const (
	maxMillis    Millis = 3_600_000
	maxCommitMax int    = 4096
	// configBoundMS is the time within which an accepted configuration is in
	// force everywhere (P9).
	configBoundMS Millis = 5000
	// leavingMaxMS is the most that "a few seconds" of P7 may mean.
	leavingMaxMS Millis = 10000
)

// namePattern is the same as that of names in a declaration.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

type checker struct {
	strictjson.Collector
	s *Settings
}

// Check returns a *strictjson.Error that names every field at fault, or nil.
func (s *Settings) Check() error {
	c := &checker{s: s}
	c.checkName("name", s.Name)
	c.checkName("domain", s.Domain)
	c.checkAddresses()
	c.checkMillis()
	if s.CommitMax < 1 || s.CommitMax > maxCommitMax {
		c.Addf("commit_max", "must be between 1 and %d, not %d", maxCommitMax, s.CommitMax)
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
	s := c.s
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
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		c.Addf(path, "must be an IP number and a port such as 127.0.0.1:7000, not %q", address)
	}
	return a
}

// checkMillis checks the range of every duration.
func (c *checker) checkMillis() {
	v := reflect.ValueOf(*c.s)
	for i := range v.NumField() {
		m, ok := v.Field(i).Interface().(Millis)
		if ok && (m < 1 || m > maxMillis) {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			c.Addf(name, "must be between 1 and %d ms, not %d", maxMillis, m)
		}
	}
}

func (c *checker) checkLeaseRelations() {
	s := c.s
	// An owner dispatches a keyed request only if its deadline ends within
	// what a renewal leaves of the lease.
	left := s.LeaseMS - s.LeaseMarginMS - s.LeaseMS/3
	if s.RequestTimeoutMaxMS > left {
		c.Addf("request_timeout_max_ms", "must be at most lease_ms - lease_margin_ms - lease_ms/3 (%d), not %d",
			left, s.RequestTimeoutMaxMS)
	}
	// Tasks outlive a takeover: the lease lapses, the successor may wait
	// another lease, and then its heartbeats reach the workers.
	if least := 2*s.LeaseMS + 2*s.WorkerHeartbeatMS; s.TaskLeaseMS < least {
		c.Addf("task_lease_ms", "must be at least 2*lease_ms + 2*worker_heartbeat_ms (%d), not %d", least, s.TaskLeaseMS)
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
	s := c.s
	if s.DrainMaxMS < s.RequestTimeoutMaxMS {
		c.Addf("drain_max_ms", "must be at least request_timeout_max_ms (%d), not %d", s.RequestTimeoutMaxMS, s.DrainMaxMS)
	}
	if s.SuspectMS < 2*s.HeartbeatMS {
		c.Addf("suspect_ms", "must be at least 2*heartbeat_ms (%d), not %d", 2*s.HeartbeatMS, s.SuspectMS)
	}
	if s.LeavingBoundMS < 2*s.ProbeMS || s.LeavingBoundMS > leavingMaxMS {
		c.Addf("leaving_bound_ms", "must be between 2*probe_ms (%d) and %d, not %d", 2*s.ProbeMS, leavingMaxMS, s.LeavingBoundMS)
	}
	// One poll may be lost.
	if s.ConfigPollMS > configBoundMS/2 {
		c.Addf("config_poll_ms", "must be at most %d, so that a change is in force within %d, not %d",
			configBoundMS/2, configBoundMS, s.ConfigPollMS)
	}
}
