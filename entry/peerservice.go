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
	c, err := p.instance.requireCore()
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	answer, err := c.router.HandleForwarded(ctx, m.Request, m.Hops)
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.ForwardResponse{Answer: &answer}, nil
}

// Hint passes the ID of a new work row to the owner of its shard, if that is this
// instance.
func (p *peerService) Hint(_ context.Context, m *peer.HintRequest) (*peer.Empty, error) {
	if c := p.instance.core.Load(); c != nil {
		c.lifecycle.Hint(m.Shard, m.ID)
	}
	return &peer.Empty{}, nil
}

// Cancel cancels a work item of a shard that this instance owns.
func (p *peerService) Cancel(ctx context.Context, m *peer.WorkRequest) (*peer.WorkResponse, error) {
	c, err := p.instance.requireOwner(m.Shard)
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return newWorkResponse(c.lifecycle.Cancel(ctx, m.Shard, m.ID))
}

// Status returns the status of a work item of a shard that this instance owns.
func (p *peerService) Status(ctx context.Context, m *peer.WorkRequest) (*peer.WorkResponse, error) {
	c, err := p.instance.requireOwner(m.Shard)
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return newWorkResponse(c.lifecycle.Status(ctx, m.Shard, m.ID))
}

// requireOwner returns the core, or a refusal if this instance does not own the shard.
// The sender then falls back on the table.
func (i *Instance) requireOwner(shard structs.ShardID) (*core, error) {
	c, err := i.requireCore()
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

// Promise grants a peer the extension of its lease on a shard if this instance cannot
// reach the table either.
func (p *peerService) Promise(_ context.Context, m *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	c := p.instance.core.Load()
	if c == nil {
		return &peer.PromiseResponse{TableUp: p.instance.directTable.Up()}, nil
	}
	res := c.ownership.Promise(*m)
	return &res, nil
}

// Probe reports whether this instance still serves a shard.
func (p *peerService) Probe(_ context.Context, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	c := p.instance.core.Load()
	if c == nil {
		return &peer.ProbeResponse{}, nil
	}
	res := c.ownership.Probe(*m)
	return &res, nil
}

// Released records that a peer has released a shard.
func (p *peerService) Released(_ context.Context, m *peer.ReleasedRequest) (*peer.Empty, error) {
	if c := p.instance.core.Load(); c != nil {
		c.ownership.NotifyReleased(m.Shard)
	}
	return &peer.Empty{}, nil
}

// Relay makes one table call for a neighbour. It uses directTable, so a call is never
// relayed a second time.
func (p *peerService) Relay(ctx context.Context, m *peer.RelayRequest) (*peer.RelayResponse, error) {
	return relay.NewHandler(p.instance.directTable).Relay(ctx, m)
}
