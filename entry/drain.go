package entry

import (
	"context"
	"sync"
	"time"

	"bergamotstile/httpserver"
	"bergamotstile/structs"
)

// drain lets requests in flight finish and releases the shards at once. The
// servers still answer meanwhile, with "draining" for anything new.
func (i *Instance) drain(ctx context.Context, servers ...*httpserver.Server) {
	i.draining.Store(true)
	log := prefixed(i.log, "drain")
	log.Info("Drain begins.")
	ctx, cancel := context.WithTimeout(ctx, i.settings.DrainMaxMS.Duration())
	defer cancel()
	i.waitForBalancer(ctx)
	i.releaseShards(ctx)
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Go(func() {
			if err := server.Drain(ctx); err != nil {
				log.WithError(err).Error("Drain ended with requests in flight.")
			}
		})
	}
	wait.Wait()
	log.Info("Drain ended.")
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
	err := c.ownership.Release(ctx, func(shard structs.ShardID) time.Duration { return c.router.Quiet(shard) })
	if err != nil {
		prefixed(i.log, "drain").WithError(err).Warn("Shards were not released; they are free after a lease.")
	}
}
