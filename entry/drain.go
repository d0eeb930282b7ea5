package entry

import (
	"context"
	"sync"
	"time"

	"bergamotstile/httpserver"
	"bergamotstile/logging"
	"bergamotstile/ownership"
	"bergamotstile/peer"
	"bergamotstile/structs"
)

// callerQuiet is how long no caller's request may have arrived before the
// caller server closes: a balancer still sends some until its next look at
// /readyz.
const callerQuiet = 300 * time.Millisecond

// drain lets requests in flight finish and releases the shards at once. The
// servers answer meanwhile as before. Peers go last and need no quiet time,
// since they forward nothing to an instance whose heartbeats say draining,
// and their heartbeats never cease.
func (i *Instance) drain(ctx context.Context, callers, peers *httpserver.Server) {
	i.draining.Store(true)
	log := logging.Part(i.log, "drain")
	log.Info("drain begins")
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainMaxMS.Duration())
	defer cancel()
	i.waitForBalancer(ctx)
	i.releaseShards(ctx)
	if err := callers.Drain(ctx, callerQuiet); err != nil {
		log.WithError(err).Error("drain ended with callers' requests in flight")
	}
	if err := peers.Drain(ctx, 0); err != nil {
		log.WithError(err).Error("drain ended with forwarded requests in flight")
	}
	log.Info("drain ended")
}

// waitForBalancer gives peers and the balancer the time of two heartbeats to
// see that the instance is leaving, while it still answers as before.
func (i *Instance) waitForBalancer(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-i.clock.After(2 * i.settings.HeartbeatMS.Duration()):
	}
}

func (i *Instance) releaseShards(ctx context.Context) {
	c := i.core.Load()
	if c == nil {
		return
	}
	owned := i.ownedShards()
	err := c.ownership.Release(ctx, func(shard structs.ShardID) ownership.Handover { return c.handover(ctx, shard) })
	if err != nil {
		logging.Part(i.log, "drain").WithError(err).Warn("shards were not released and are free after a lease")
		return
	}
	i.announceReleased(ctx, owned)
}

// handoverTimeout bounds the wait for the core of one shard. It is well below a
// lease, since a shard that is being released is not served.
const handoverTimeout = 200 * time.Millisecond

// handover collects what the successor of a shard has to know.
func (c *core) handover(ctx context.Context, shard structs.ShardID) ownership.Handover {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return ownership.Handover{QuietPeriod: c.router.QuietTime(shard), SinceGrant: c.lifecycle.GrantAges(ctx, shard)}
}

// announceTimeout bounds the calls that tell peers of released shards.
const announceTimeout = 300 * time.Millisecond

// announceReleased tells the domain's other instances that shards are free.
// An instance that does not hear of it finds out from the table.
func (i *Instance) announceReleased(ctx context.Context, owned []peer.OwnedShard) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, m := range i.view.Entries(i.settings.Domain) {
		if m.Name == i.settings.Name {
			continue
		}
		for _, shard := range owned {
			calls.Go(func() { _, _ = i.peers.Released(ctx, m.Address, &peer.ReleasedRequest{Shard: shard.Shard}) })
		}
	}
	calls.Wait()
}
