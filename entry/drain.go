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

// callerQuietPeriod is the time without a caller's request in flight after which the
// caller server counts as drained. A balancer still sends requests until it polls /readyz
// again.
const callerQuietPeriod = 300 * time.Millisecond

// drain releases the shards and lets requests in flight finish. Meanwhile, both
// servers answer as before. The peer server is drained last and without a quiet
// period: peers forward nothing to an instance whose heartbeats say that it is
// draining, and their heartbeats to it never stop, so it would never be quiet.
func (i *Instance) drain(ctx context.Context, callers, peers *httpserver.Server) {
	i.draining.Store(true)
	log := logging.ForComponent(i.log, "drain")
	log.Info("drain started")
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainMaxMS.Duration())
	defer cancel()
	i.waitForDrainNotice(ctx)
	i.releaseShards(ctx)
	if err := callers.Drain(ctx, callerQuietPeriod); err != nil {
		log.WithError(err).Error("drain ended with callers' requests in flight")
	}
	if err := peers.Drain(ctx, 0); err != nil {
		log.WithError(err).Error("drain ended with forwarded requests in flight")
	}
	log.Info("drain ended")
}

// waitForDrainNotice waits for two heartbeat intervals, or until ctx ends. In that time,
// peers and the balancer can notice that the instance is draining. The instance answers as
// before meanwhile.
func (i *Instance) waitForDrainNotice(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-i.clock.After(2 * i.settings.HeartbeatMS.Duration()):
	}
}

// releaseShards releases all shards of this instance and then reports them to the other
// instances of the domain. If a shard cannot be released before ctx ends, releaseShards logs
// this and reports none: the unreleased shards become free when their leases expire.
func (i *Instance) releaseShards(ctx context.Context) {
	c := i.shardComponents.Load()
	if c == nil {
		return
	}
	owned := i.ownedShards()
	err := c.ownership.Release(ctx, func(shard structs.ShardID) ownership.Handover { return c.collectHandover(ctx, shard) })
	if err != nil {
		logging.ForComponent(i.log, "drain").WithError(err).Warn("shards not released, they become free when their leases expire")
		return
	}
	i.announceReleased(ctx, owned)
}

// handoverTimeout bounds how long collectHandover waits for the lifecycle manager. It is
// well below the duration of a lease, since a shard is not served while it is being
// released.
const handoverTimeout = 200 * time.Millisecond

// collectHandover returns the information that the next owner of a shard needs: how long
// requests in flight here may still run, and when task leases were last granted to workers
// that have left the membership list. If the lifecycle manager does not answer within
// handoverTimeout, the latter is missing.
func (c *shardComponents) collectHandover(ctx context.Context, shard structs.ShardID) ownership.Handover {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return ownership.Handover{QuietPeriod: c.router.QuietPeriod(shard), SinceGrant: c.lifecycle.GrantAges(ctx, shard)}
}

// announceTimeout bounds the calls that report released shards to peers.
const announceTimeout = 300 * time.Millisecond

// announceReleased reports to the other instances of the domain that shards are free.
// An instance that misses the report finds the free shards in the table.
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
