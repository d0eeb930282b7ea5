package entry

import (
	"context"

	"bergamotstile/peer"
	"bergamotstile/relay"
	"bergamotstile/structs"
)

// peerService answers the calls of other entry instances.
type peerService struct {
	instance *Instance
}

// Heartbeat records a peer's heartbeat and returns this instance's own.
func (p *peerService) Heartbeat(_ context.Context, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	own := p.instance.view.HandleHeartbeat(*m)
	return &own, nil
}

// Forward handles a request that a peer has forwarded.
func (p *peerService) Forward(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	c, err := p.instance.requireShardComponents()
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	answer, err := c.router.HandleForwarded(ctx, m.Request, m.Hops)
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.ForwardResponse{Answer: &answer}, nil
}

// Hint passes the ID of a new work row to the lifecycle manager, which ignores it if this
// instance does not own the shard of the row.
func (p *peerService) Hint(_ context.Context, m *peer.HintRequest) (*peer.Empty, error) {
	if c := p.instance.shardComponents.Load(); c != nil {
		c.lifecycle.Hint(m.Shard, m.ID)
	}
	return &peer.Empty{}, nil
}

// Cancel cancels a work item of a shard that this instance owns.
func (p *peerService) Cancel(ctx context.Context, m *peer.WorkRequest) (*peer.WorkResponse, error) {
	c, err := p.instance.requireShardOwnership(m.Shard)
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return newWorkResponse(c.lifecycle.Cancel(ctx, m.Shard, m.ID))
}

// Status returns the status of a work item of a shard that this instance owns.
func (p *peerService) Status(ctx context.Context, m *peer.WorkRequest) (*peer.WorkResponse, error) {
	c, err := p.instance.requireShardOwnership(m.Shard)
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return newWorkResponse(c.lifecycle.Status(ctx, m.Shard, m.ID))
}

// requireShardOwnership returns the shardComponents if this instance serves the shard, also
// if only by an extended lease. Otherwise it returns a refusal, and the sender falls back on
// the table.
func (i *Instance) requireShardOwnership(shard structs.ShardID) (*shardComponents, error) {
	c, err := i.requireShardComponents()
	if err != nil {
		return nil, err
	}
	if c.ownership.ServingUntil(shard).IsZero() {
		return nil, structs.NotRun(structs.ReasonNotOwner, "%s does not own shard %s", i.settings.Name, shard)
	}
	return c, nil
}

func newWorkResponse(status structs.WorkStatus, err error) (*peer.WorkResponse, error) {
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.WorkResponse{Status: &status}, nil
}

// Push applies configuration changes from a peer and passes them on.
func (p *peerService) Push(ctx context.Context, m *peer.PushRequest) (*peer.PushResponse, error) {
	res, err := p.instance.config.Push(ctx, *m)
	return &res, err
}

// Fetch returns configuration changes to a peer that lacks them.
func (p *peerService) Fetch(ctx context.Context, m *peer.FetchRequest) (*peer.FetchResponse, error) {
	res, err := p.instance.config.Fetch(ctx, *m)
	return &res, err
}

// Promise answers a peer that cannot reach the table and asks this instance not to take the
// peer's shard for the duration of a lease. Before this instance has its shardComponents, it
// grants no promise and only reports whether it reaches the table.
func (p *peerService) Promise(_ context.Context, m *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	c := p.instance.shardComponents.Load()
	if c == nil {
		return &peer.PromiseResponse{TableUp: p.instance.directTable.Up()}, nil
	}
	res := c.ownership.Promise(*m)
	return &res, nil
}

// Probe answers a peer that wants to take over a shard and asks whether this instance still
// serves the shard in the epoch that the shard row names. The answer is no if this instance
// serves the shard in another epoch. Probe is the name of the call in the peer protocol; it
// has nothing to do with the health probes of runners.
func (p *peerService) Probe(_ context.Context, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	c := p.instance.shardComponents.Load()
	if c == nil {
		return &peer.ProbeResponse{}, nil
	}
	res := c.ownership.Probe(*m)
	return &res, nil
}

// Released passes a peer's report that it has released a shard to the ownership manager,
// which then checks at once whether it may take the shard.
func (p *peerService) Released(_ context.Context, m *peer.ReleasedRequest) (*peer.Empty, error) {
	if c := p.instance.shardComponents.Load(); c != nil {
		c.ownership.NotifyReleased(m.Shard)
	}
	return &peer.Empty{}, nil
}

// Relay makes one table call for a peer that cannot reach the table. It uses directTable, so
// a call is never relayed a second time.
func (p *peerService) Relay(ctx context.Context, m *peer.RelayRequest) (*peer.RelayResponse, error) {
	return relay.NewHandler(p.instance.directTable).Relay(ctx, m)
}
