package membership

import (
	"context"
	"fmt"
	"time"

	"bergamotstile/peer"
	"bergamotstile/structs"
)

// peerState is what is known of another entry instance on the list.
type peerState struct {
	beat     peer.Heartbeat
	heard    time.Time // last heartbeat from it, either way
	reached  time.Time // when the last answered heartbeat was sent to it
	inFlight bool
}

// PeerStatus is a peer's last heartbeat.
type PeerStatus struct {
	Member    structs.Member
	Beat      peer.Heartbeat
	Reachable bool
}

// Peers returns the last heartbeat of every peer on the list that was heard
// recently.
func (v *View) Peers() []PeerStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var out []PeerStatus
	for _, m := range v.list.members(structs.RoleEntry, "", nil) {
		if p := v.peers[m.Name]; p != nil && v.fresh(p.heard, now) {
			out = append(out, PeerStatus{Member: m, Beat: p.beat, Reachable: v.fresh(p.reached, now)})
		}
	}
	return out
}

// Observe takes a heartbeat that a peer sent and returns this instance's own.
func (v *View) Observe(beat peer.Heartbeat) peer.Heartbeat {
	v.mu.Lock()
	v.merge(beat, v.clock.Now())
	v.mu.Unlock()
	return v.heartbeat()
}

// usable reports whether a peer answers and is not draining.
func (v *View) usable(name string, now time.Time) bool {
	p := v.peers[name]
	return p != nil && v.fresh(p.reached, now) && !p.beat.Draining
}

// syncPeers keeps one state for each peer on the list and reports whether
// there is a new one.
func (v *View) syncPeers() bool {
	added := false
	for _, m := range v.list.members(structs.RoleEntry, "", nil) {
		if m.Name != v.config.Self.Name && v.peers[m.Name] == nil {
			v.peers[m.Name] = &peerState{}
			added = true
		}
	}
	for name := range v.peers {
		if v.list.byName[name].Role != structs.RoleEntry {
			delete(v.peers, name)
		}
	}
	return added
}

// merge takes what a heartbeat says. One from an instance that is not on the
// list counts only as gossip. An instance that drains never stops draining,
// so an older heartbeat that arrives late does not undo it.
func (v *View) merge(beat peer.Heartbeat, now time.Time) {
	for _, name := range beat.Leaving {
		v.markLeaving(name, now, false)
	}
	p := v.peers[beat.Name]
	if p == nil {
		return
	}
	if p.beat.Incarnation == beat.Incarnation {
		beat.Draining = beat.Draining || p.beat.Draining
	}
	p.beat = beat
	p.heard = now
}

// heartbeat is this instance's account of itself.
func (v *View) heartbeat() peer.Heartbeat {
	beat := peer.Heartbeat{
		Name:        v.config.Self.Name,
		Domain:      v.config.Self.Domain,
		Address:     v.config.Self.Address,
		Draining:    v.selfDraining(),
		Shards:      v.selfShards(),
		Incarnation: v.config.Incarnation,
	}
	if v.config.TableUp != nil {
		beat.TableUp = v.config.TableUp()
	}
	if v.config.ConfigVersion != nil {
		beat.ConfigVersion = v.config.ConfigVersion()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	beat.Leaving = v.knownLeaving()
	return beat
}

func (v *View) selfDraining() bool {
	return v.config.Draining != nil && v.config.Draining()
}

func (v *View) selfShards() []peer.OwnedShard {
	if v.config.Shards == nil {
		return nil
	}
	return v.config.Shards()
}

// duePeers returns the peers without a call in flight and marks them.
func (v *View) duePeers() []structs.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.members(structs.RoleEntry, "", func(m structs.Member) bool {
		p := v.peers[m.Name]
		if p == nil || p.inFlight {
			return false
		}
		p.inFlight = true
		return true
	})
}

// exchange sends one heartbeat to a peer and merges its answer.
func (v *View) exchange(ctx context.Context, m structs.Member) error {
	beat := v.heartbeat()
	sent := v.clock.Now()
	ctx, cancel := v.timeout(ctx, v.config.SuspectAfter/2)
	defer cancel()
	answer, err := v.config.Peers.Heartbeat(ctx, m.Address, &beat)
	if err == nil && answer.Name != m.Name {
		err = fmt.Errorf("%s answers as %q", m.Address, answer.Name)
	}
	v.applyExchange(m, answer, sent, err)
	return err
}

func (v *View) applyExchange(m structs.Member, answer *peer.Heartbeat, sent time.Time, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[m.Name]
	if p == nil {
		return
	}
	p.inFlight = false
	if err != nil {
		return
	}
	v.merge(*answer, v.clock.Now())
	if sent.After(p.reached) {
		p.reached = sent
	}
}
