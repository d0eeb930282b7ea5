package entry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"bergamotstile/declaration"
	"bergamotstile/lifecycle"
	"bergamotstile/logging"
	"bergamotstile/ownership"
	"bergamotstile/peer"
	"bergamotstile/policy"
	"bergamotstile/routing"
	"bergamotstile/structs"
	"bergamotstile/supervisor"
)

// shardComponents holds the components that serve the shards of this instance's failure
// domain. They are built once, when the instance has its first configuration, because that
// configuration declares the number of shards.
type shardComponents struct {
	shards    int // number of shards of each failure domain
	ownership *ownership.Manager
	lifecycle *lifecycle.Manager
	router    *routing.Router
	policy    *policy.Policy
	standing  *standingReconciler
}

// shardComponentLoader builds the shardComponents once the instance has a configuration. It
// is a supervised component of its own, since an instance may start long before the first
// declaration.
type shardComponentLoader struct {
	instance *Instance
	tree     *supervisor.Tree
}

// configPollInterval is how often shardComponentLoader checks for the first configuration.
const configPollInterval = 50 * time.Millisecond

// Serve waits for a configuration, builds the shardComponents, adds them to the supervisor
// tree and then idles until ctx ends. After a restart by the supervisor, it only idles if
// they exist already.
func (l *shardComponentLoader) Serve(ctx context.Context) error {
	for l.instance.shardComponents.Load() == nil {
		if d, _ := l.instance.config.Current(); d != nil {
			l.instance.startShardComponents(d, l.tree)
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.instance.clock.After(configPollInterval):
		}
	}
	<-ctx.Done()
	return nil
}

// startShardComponents builds the shardComponents from a configuration, adds the
// supervised ones to the tree and makes them available to the servers.
func (i *Instance) startShardComponents(d *declaration.Deployment, tree *supervisor.Tree) {
	c := &shardComponents{shards: max(d.ShardsPerDomain, 1)}
	c.ownership = i.newOwnership(c.shards)
	c.policy = policy.New(policy.Settings{Weights: policyWeights(d)})
	c.lifecycle = i.newLifecycle(c)
	c.router = i.newRouter(c)
	c.standing = &standingReconciler{instance: i, components: c}
	tree.Add("ownership", c.ownership)
	tree.Add("lifecycle", c.lifecycle)
	tree.Add("routing", c.router)
	tree.Add("standing jobs", c.standing)
	tree.Add("policy feed", &policyFeed{instance: i, components: c})
	i.shardComponents.Store(c)
	logging.ForComponent(i.log, "entry").WithField("shards_per_domain", c.shards).Info("configuration found, accepting work")
}

func (i *Instance) newOwnership(shards int) *ownership.Manager {
	s := i.settings
	return ownership.NewManager(ownership.Config{
		Self: i.selfMember(), Shards: shards,
		Lease: s.LeaseMS.Duration(), Margin: s.LeaseMarginMS.Duration(),
	}, ownership.Dependencies{
		Table: i.relayedTable, Members: i.view, Peers: i.peers, Log: i.log, NewWriteID: uuid.NewString,
	}, i.clock)
}

func (i *Instance) newLifecycle(c *shardComponents) *lifecycle.Manager {
	s := i.settings
	return lifecycle.NewManager(lifecycle.Config{
		Domain: s.Domain, Shards: c.shards,
		TaskLease: s.TaskLeaseMS.Duration(), StartWindow: s.StartWindowMS.Duration(),
		LeaseMargin: s.LeaseMarginMS.Duration(), Heartbeat: s.WorkerHeartbeatMS.Duration(),
		QueueScan: s.QueueScanMS.Duration(), CommitMax: s.CommitMax, CommitWait: s.CommitWaitMS.Duration(),
	}, lifecycle.Dependencies{
		Table: i.relayedTable, Objects: i.platform, Workers: i.workers, View: i.view,
		Leases: c.ownership, Policy: c.policy, Hinter: &hintSender{i},
		FailureTracker: &outcomeReporter{policy: c.policy, clock: i.clock},
		Domains:        i.domains, Log: i.log, NewWriteID: uuid.NewString,
	}, i.clock)
}

func (i *Instance) newRouter(c *shardComponents) *routing.Router {
	s := i.settings
	return routing.New(routing.Config{
		Instance: s.Name, Domain: s.Domain,
		Settings: routing.Settings{
			RequestTimeoutMax: s.RequestTimeoutMaxMS.Duration(),
			Lease:             s.LeaseMS.Duration(),
			AnswerRetention:   s.AnswerRetentionMS.Duration(),
		},
		Clock:     i.clock,
		Ownership: &shardOwners{manager: c.ownership, view: i.view, domain: s.Domain},
		Members:   i.view, Peers: i.peers, Topology: &topology{instance: i, shards: c.shards},
		Runners: i.runners, Table: i.relayedTable, Objects: i.platform, Metrics: i.metrics, Log: i.log,
	})
}

func (i *Instance) domains() []string {
	d, _ := i.config.Current()
	if d == nil {
		return nil
	}
	return d.DomainNames()
}

// ownedShards returns the shards whose leases this instance holds, with the epochs of the
// leases, for heartbeats, status and the release in a drain. A lease that is in force only
// by an extension does not count.
func (i *Instance) ownedShards() []peer.OwnedShard {
	c := i.shardComponents.Load()
	if c == nil {
		return nil
	}
	var owned []peer.OwnedShard
	for index := range c.shards {
		shard := structs.ShardID{Domain: i.settings.Domain, Index: index}
		if lease, ok := c.ownership.HeldLease(shard); ok {
			owned = append(owned, peer.OwnedShard{Shard: shard, Epoch: lease.Epoch})
		}
	}
	return owned
}

// requireShardComponents returns the shardComponents, or a refusal while they do not exist
// because the instance has no configuration.
func (i *Instance) requireShardComponents() (*shardComponents, error) {
	c := i.shardComponents.Load()
	if c == nil {
		return nil, structs.NotRun(structs.ReasonNotReady, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	return c, nil
}

// checkShardCount refuses a change of the number of shards, which
// declaration.Deployment.CheckChange finds.
func checkShardCount(current, next *declaration.Deployment) error {
	if err := next.CheckChange(current); err != nil {
		return structs.NotRun(structs.ReasonDeclarationInvalid, "%v", err)
	}
	return nil
}
