package configuration

import (
	"fmt"

	"bergamotstile/peer"
)

// installChange puts a change in force if it follows the version in force. It ignores
// older changes and returns errGap for a change that follows a later version.
func (s *Store) installChange(c peer.ConfigChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version <= s.state.version {
		return nil
	}
	if c.Version != s.state.version+1 {
		return fmt.Errorf("%w: version %d is in force, %d arrived", errGap, s.state.version, c.Version)
	}
	next, err := s.state.withChange(c)
	if err != nil {
		s.options.Metrics.Count("config_rejected", 1)
		return err
	}
	s.setState(next)
	s.keepRecent(c)
	return nil
}

// withChange returns the state after a change.
func (st configState) withChange(c peer.ConfigChange) (configState, error) {
	record, err := decode[changeRecord]("change", c.Value)
	if err != nil {
		return configState{}, err
	}
	if record.Version != c.Version {
		return configState{}, fmt.Errorf("%w: change %d says that it is %d", errCorrupt, c.Version, record.Version)
	}
	entries, err := st.entries.Apply(record.Delta)
	if err != nil {
		return configState{}, fmt.Errorf("%w: change %d: %v", errCorrupt, c.Version, err)
	}
	decodedEntries, err := st.decodedEntries.Apply(record.Delta)
	if err != nil {
		return configState{}, fmt.Errorf("%w: change %d: %v", errCorrupt, c.Version, err)
	}
	return completeState(configState{version: c.Version, digest: record.Digest, entries: entries, decodedEntries: decodedEntries})
}

// completeState checks the entries of a state against the digest that was committed with
// them, and adds the deployment.
func completeState(st configState) (configState, error) {
	if got := st.entries.Digest(); got != st.digest {
		return configState{}, fmt.Errorf("%w: version %d has digest %s, not %s", errCorrupt, st.version, got, st.digest)
	}
	deployment, err := st.decodedEntries.Deployment()
	if err != nil {
		return configState{}, fmt.Errorf("%w: version %d: %v", errCorrupt, st.version, err)
	}
	st.deployment = deployment
	return st, nil
}

// installSnapshot puts the configuration of a snapshot in force if it is newer than the
// version in force.
func (s *Store) installSnapshot(value []byte) error {
	record, err := decode[snapshotRecord]("snapshot", value)
	if err != nil {
		return err
	}
	decodedEntries, err := record.Entries.Decode()
	if err != nil {
		return fmt.Errorf("%w: snapshot %d: %v", errCorrupt, record.Version, err)
	}
	next, err := completeState(configState{version: record.Version, digest: record.Digest, entries: record.Entries, decodedEntries: decodedEntries})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.version <= s.state.version {
		return nil
	}
	s.setState(next)
	s.recentChanges, s.recentBytes = nil, 0
	return nil
}

// setState puts a state in force. No other function changes the version in force. The
// caller holds mu.
func (s *Store) setState(next configState) {
	s.state = next
	s.options.Metrics.Gauge("config_version", int64(next.version))
	s.options.Log.Infof("version %d is in force", next.version)
	if longest := next.deployment.LongestTimeoutMS(); longest > s.options.Limits.RequestTimeoutMaxMS {
		// An instance with other settings accepted this version. It is put in force
		// nevertheless, because all instances must follow the same version.
		s.options.Metrics.Count("config_over_limits", 1)
		s.options.Log.Warnf("version %d has a request timeout of %d ms, above this instance's request_timeout_max_ms of %d",
			next.version, longest, s.options.Limits.RequestTimeoutMaxMS)
	}
}

// keepRecent keeps a change for peers that ask for it, and drops the oldest ones beyond
// maxRecentBytes. The caller holds mu.
func (s *Store) keepRecent(c peer.ConfigChange) {
	s.recentChanges = append(s.recentChanges, c)
	s.recentBytes += len(c.Value)
	for len(s.recentChanges) > 0 && s.recentBytes > maxRecentBytes {
		s.recentBytes -= len(s.recentChanges[0].Value)
		s.recentChanges[0] = peer.ConfigChange{}
		s.recentChanges = s.recentChanges[1:]
	}
}

// encodeSnapshot returns the state as the value of a snapshot.
func (st configState) encodeSnapshot() []byte {
	return encode(snapshotRecord{Version: st.version, Digest: st.digest, Entries: st.entries})
}
