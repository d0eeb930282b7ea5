package entry

import (
	"context"

	"bergamotstile/peer"
	"bergamotstile/relay"
	"bergamotstile/structs"
)

// peerService answers other entry instances.
type peerService struct {
	instance *Instance
}

// Heartbeat takes a peer's heartbeat and answers with this instance's own.
func (p *peerService) Heartbeat(_ context.Context, m *peer.Heartbeat) (*peer.Heartbeat, error) {
	own := p.instance.view.HandleHeartbeat(*m)
	return &own, nil
}

// Forward answers a request that a peer passed on.
func (p *peerService) Forward(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	c, err := p.instance.ready()
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	answer, err := c.router.HandleForwarded(ctx, m.Request, m.Hops)
	if err != nil {
		return &peer.ForwardResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.ForwardResponse{Answer: &answer}, nil
}

// Hint takes note of a new work row.
func (p *peerService) Hint(_ context.Context, m *peer.HintRequest) (*peer.Empty, error) {
	if c := p.instance.core.Load(); c != nil {
		c.lifecycle.Hint(m.Shard, m.ID)
	}
	return &peer.Empty{}, nil
}

// Cancel cancels a work item of a shard that this instance owns.
func (p *peerService) Cancel(ctx context.Context, m *peer.WorkRequest) (*peer.WorkResponse, error) {
	c, err := p.instance.ownerCore(m.Shard)
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return workResponse(c.lifecycle.Cancel(ctx, m.Shard, m.ID))
}

// Status gives the account of a work item of a shard that this instance owns.
func (p *peerService) Status(ctx context.Context, m *peer.WorkRequest) (*peer.WorkResponse, error) {
	c, err := p.instance.ownerCore(m.Shard)
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return workResponse(c.lifecycle.Status(ctx, m.Shard, m.ID))
}

// ownerCore refuses work calls for shards that this instance does not own, so
// that the sender falls back on the table.
func (i *Instance) ownerCore(shard structs.ShardID) (*core, error) {
	c, err := i.ready()
	if err != nil {
		return nil, err
	}
	if c.ownership.ServingUntil(shard).IsZero() {
		return nil, structs.NotRun(structs.ReasonNotOwner, "%s does not own shard %s", i.settings.Name, shard)
	}
	return c, nil
}

func workResponse(status structs.WorkStatus, err error) (*peer.WorkResponse, error) {
	if err != nil {
		return &peer.WorkResponse{Refusal: structs.AsRefusal(err)}, nil
	}
	return &peer.WorkResponse{Status: &status}, nil
}

// Push takes configuration changes and passes them on.
func (p *peerService) Push(ctx context.Context, m *peer.PushRequest) (*peer.PushResponse, error) {
	res, err := p.instance.config.Push(ctx, *m)
	return &res, err
}

// Fetch gives configuration changes to a peer that is behind.
func (p *peerService) Fetch(ctx context.Context, m *peer.FetchRequest) (*peer.FetchResponse, error) {
	res, err := p.instance.config.Fetch(ctx, *m)
	return &res, err
}

// Promise grants a peer the extension of a shard if this instance cannot
// reach the table either.
func (p *peerService) Promise(_ context.Context, m *peer.PromiseRequest) (*peer.PromiseResponse, error) {
	c := p.instance.core.Load()
	if c == nil {
		return &peer.PromiseResponse{TableUp: p.instance.direct.Up()}, nil
	}
	res := c.ownership.Promise(*m)
	return &res, nil
}

// Probe tells whether this instance still serves a shard.
func (p *peerService) Probe(_ context.Context, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	c := p.instance.core.Load()
	if c == nil {
		return &peer.ProbeResponse{}, nil
	}
	res := c.ownership.Probe(*m)
	return &res, nil
}

// Released takes note that a peer has released a shard.
func (p *peerService) Released(_ context.Context, m *peer.ReleasedRequest) (*peer.Empty, error) {
	if c := p.instance.core.Load(); c != nil {
		c.ownership.NotifyReleased(m.Shard)
	}
	return &peer.Empty{}, nil
}

// Relay makes one table call for a neighbour, on this instance's own way to
// the platform only.
func (p *peerService) Relay(ctx context.Context, m *peer.RelayRequest) (*peer.RelayResponse, error) {
	return relay.NewHandler(p.instance.direct).Relay(ctx, m)
}
