package membership

import (
	"context"
	"fmt"
	"time"

	"bergamotstile/peer"
	"bergamotstile/structs"
)

// peerState holds the state of another entry instance on the list.
type peerState struct {
	heartbeat   peer.Heartbeat
	lastHeard   time.Time // time of the last heartbeat from it, in a call or in an answer
	lastReached time.Time // time at which the last heartbeat that it answered was sent
	inFlight    bool      // a heartbeat to it has not ended yet
}

// PeerStatus holds the last heartbeat of a peer and whether the peer is reachable.
type PeerStatus struct {
	Member    structs.Member
	Heartbeat peer.Heartbeat
	Reachable bool
}

// Peers returns the status of every peer on the list from which a heartbeat arrived
// within SuspectAfter.
func (v *View) Peers() []PeerStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var statuses []PeerStatus
	for _, m := range v.list.members(structs.RoleEntry, "", nil) {
		if p := v.peers[m.Name]; p != nil && v.isRecent(p.lastHeard, now) {
			statuses = append(statuses, PeerStatus{Member: m, Heartbeat: p.heartbeat, Reachable: v.isRecent(p.lastReached, now)})
		}
	}
	return statuses
}

// HandleHeartbeat merges a heartbeat that a peer sent, and returns this instance's own
// heartbeat as the answer.
func (v *View) HandleHeartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	v.mu.Lock()
	v.mergeHeartbeat(heartbeat, v.clock.Now())
	v.mu.Unlock()
	return v.ownHeartbeat()
}

// isUsable reports whether a peer has answered a heartbeat recently and is not draining.
func (v *View) isUsable(name string, now time.Time) bool {
	p := v.peers[name]
	return p != nil && v.isRecent(p.lastReached, now) && !p.heartbeat.Draining
}

// syncPeers adds a peerState for each new peer on the list, removes the states of peers
// that left the list, and reports whether it added one.
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

// mergeHeartbeat updates the view with a heartbeat of a peer. From an instance that is not
// on the list, only its report of leaving runners is used. A process that drains never
// stops draining, so an older heartbeat that arrives late does not reset the draining
// state.
func (v *View) mergeHeartbeat(heartbeat peer.Heartbeat, now time.Time) {
	for _, name := range heartbeat.LeavingRunners {
		v.markLeaving(name, now, false)
	}
	p := v.peers[heartbeat.Name]
	if p == nil {
		return
	}
	if p.heartbeat.Incarnation == heartbeat.Incarnation {
		heartbeat.Draining = heartbeat.Draining || p.heartbeat.Draining
	}
	p.heartbeat = heartbeat
	p.lastHeard = now
}

// ownHeartbeat returns the heartbeat that describes the present state of this instance.
func (v *View) ownHeartbeat() peer.Heartbeat {
	heartbeat := peer.Heartbeat{
		Name:        v.config.Self.Name,
		Domain:      v.config.Self.Domain,
		Address:     v.config.Self.Address,
		Draining:    v.selfDraining(),
		Shards:      v.selfShards(),
		Incarnation: v.config.Incarnation,
	}
	if v.config.TableUp != nil {
		heartbeat.TableUp = v.config.TableUp()
	}
	if v.config.ConfigVersion != nil {
		heartbeat.ConfigVersion = v.config.ConfigVersion()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	heartbeat.LeavingRunners = v.leavingRunners()
	return heartbeat
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

// takeDuePeers returns the peers to which no heartbeat is in flight and marks them as
// having one in flight.
func (v *View) takeDuePeers() []structs.Member {
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

// exchangeHeartbeats sends one heartbeat to a peer and merges the peer's heartbeat from
// the answer.
func (v *View) exchangeHeartbeats(ctx context.Context, m structs.Member) error {
	heartbeat := v.ownHeartbeat()
	sentAt := v.clock.Now()
	ctx, cancel := v.withTimeout(ctx, v.config.SuspectAfter/2)
	defer cancel()
	answer, err := v.config.Peers.Heartbeat(ctx, m.Address, &heartbeat)
	if err == nil && answer.Name != m.Name {
		err = fmt.Errorf("peer at %s answers with the name %q", m.Address, answer.Name)
	}
	v.applyExchangeResult(m, answer, sentAt, err)
	return err
}

// applyExchangeResult updates a peer's state after a heartbeat to it that was sent at
// sentAt was answered or failed.
func (v *View) applyExchangeResult(m structs.Member, answer *peer.Heartbeat, sentAt time.Time, err error) {
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
	v.mergeHeartbeat(*answer, v.clock.Now())
	if sentAt.After(p.lastReached) {
		p.lastReached = sentAt
	}
}
