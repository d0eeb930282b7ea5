package configuration

import (
	"fmt"

	"bergamotstile/peer"
)

// install puts a change in force if it is the one that follows the version in
// force. Older changes are ignored; a newer one returns errGap.
func (s *Store) install(c peer.ConfigChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version <= s.state.version {
		return nil
	}
	if c.Version != s.state.version+1 {
		return fmt.Errorf("%w: version %d is in force, %d arrived", errGap, s.state.version, c.Version)
	}
	next, err := s.state.after(c)
	if err != nil {
		s.o.Metrics.Count("config_rejected", 1)
		return err
	}
	s.put(next)
	s.remember(c)
	return nil
}

// after returns the state that a change leads to.
func (st state) after(c peer.ConfigChange) (state, error) {
	record, err := decode[change]("change", c.Value)
	if err != nil {
		return state{}, err
	}
	if record.Version != c.Version {
		return state{}, fmt.Errorf("%w: change %d says that it is %d", errCorrupt, c.Version, record.Version)
	}
	entries, err := st.entries.Apply(record.Delta)
	if err != nil {
		return state{}, fmt.Errorf("%w: change %d: %v", errCorrupt, c.Version, err)
	}
	parts, err := st.parts.Apply(record.Delta)
	if err != nil {
		return state{}, fmt.Errorf("%w: change %d: %v", errCorrupt, c.Version, err)
	}
	return newState(state{version: c.Version, digest: record.Digest, entries: entries, parts: parts})
}

// newState checks the entries of a state against the digest that was committed
// with them, and assembles the deployment.
func newState(st state) (state, error) {
	if got := st.entries.Digest(); got != st.digest {
		return state{}, fmt.Errorf("%w: version %d has digest %s, not %s", errCorrupt, st.version, got, st.digest)
	}
	deployment, err := st.parts.Deployment()
	if err != nil {
		return state{}, fmt.Errorf("%w: version %d: %v", errCorrupt, st.version, err)
	}
	st.deployment = deployment
	return st, nil
}

// installSnapshot puts a whole configuration in force if it is newer.
func (s *Store) installSnapshot(value []byte) error {
	record, err := decode[snapshot]("snapshot", value)
	if err != nil {
		return err
	}
	parts, err := record.Entries.Parts()
	if err != nil {
		return fmt.Errorf("%w: snapshot %d: %v", errCorrupt, record.Version, err)
	}
	next, err := newState(state{version: record.Version, digest: record.Digest, entries: record.Entries, parts: parts})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.version <= s.state.version {
		return nil
	}
	s.put(next)
	s.recent, s.recentBytes = nil, 0
	return nil
}

// put is the only place that changes the version in force. The caller holds mu.
func (s *Store) put(next state) {
	s.state = next
	s.o.Metrics.Gauge("config_version", int64(next.version))
	s.o.Log.Infof("version %d is in force", next.version)
	if longest := next.deployment.LongestTimeoutMS(); longest > s.o.Limits.RequestTimeoutMaxMS {
		// It was accepted by an instance with other settings. All instances
		// follow the same version, so it is put in force all the same.
		s.o.Metrics.Count("config_over_limits", 1)
		s.o.Log.Warnf("version %d has a request timeout of %d ms, above this instance's request_timeout_max_ms of %d",
			next.version, longest, s.o.Limits.RequestTimeoutMaxMS)
	}
}

// remember keeps a change for peers that ask for it. The caller holds mu.
func (s *Store) remember(c peer.ConfigChange) {
	s.recent = append(s.recent, c)
	s.recentBytes += len(c.Value)
	for len(s.recent) > 0 && s.recentBytes > recentMaxBytes {
		s.recentBytes -= len(s.recent[0].Value)
		s.recent[0] = peer.ConfigChange{}
		s.recent = s.recent[1:]
	}
}

// snapshot returns the configuration in force as a snapshot.
func (st state) snapshot() []byte {
	return encode(snapshot{Version: st.version, Digest: st.digest, Entries: st.entries})
}
