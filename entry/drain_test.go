package entry

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"bergamotstile/lifecycle"
	"bergamotstile/membership"
	"bergamotstile/ownership"
	"bergamotstile/peer"
	"bergamotstile/platform"
	"bergamotstile/routing"
	"bergamotstile/scheduler"
	"bergamotstile/settings"
	"bergamotstile/standin"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// firstPlanSignal is a policy that places nothing and signals its first call.
type firstPlanSignal chan struct{}

func (p firstPlanSignal) Schedule(scheduler.Snapshot) scheduler.Plan {
	select {
	case p <- struct{}{}:
	default:
	}
	return scheduler.Plan{}
}

// Guards against a release that does not hand over when task leases were last granted to
// workers that have left the membership list. Without these times, the next owner waits for
// full task leases once more before it runs the work of such workers elsewhere.
func TestReleaseHandsOverGrantAges(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := clockwork.NewRealClock()
	store := standin.NewPlatform(clock, 1)
	i := &Instance{settings: &settings.Settings{Name: "entry", Domain: "east"}, clock: clock, log: logrus.StandardLogger(), peers: peer.NewClient()}
	i.view = membership.New(membership.Config{Self: i.selfMember(), Clock: clock})
	shard := structs.ShardID{Domain: "east"}
	storeRunningItem(t, store, shard, "lost")
	planned := make(firstPlanSignal, 1)
	c := &shardComponents{shards: 1, router: routing.New(routing.Config{Clock: clock})}
	c.ownership = ownership.NewManager(ownership.Config{Self: i.selfMember()}, ownership.Dependencies{
		Table: store, Members: i.view, Peers: i.peers, NewWriteID: uuid.NewString,
	}, clock)
	c.lifecycle = lifecycle.NewManager(lifecycle.Config{Domain: "east"}, lifecycle.Dependencies{
		Table: store, Objects: store, Workers: workerapi.NewHTTPClient(), View: i.view, Leases: c.ownership,
		Policy: planned, Domains: func() []string { return []string{"east"} }, NewWriteID: uuid.NewString,
	}, clock)
	i.shardComponents.Store(c)
	go func() { _ = c.ownership.Serve(ctx) }()
	go func() { _ = c.lifecycle.Serve(ctx) }()
	<-planned // the lifecycle has recovered the shard
	i.releaseShards(ctx)
	var row struct {
		Owner        string           `json:"owner"`
		SinceGrantMS map[string]int64 `json:"since_grant_ms"`
	}
	rows, err := store.Read(ctx, ownership.ShardKey(shard))
	if err != nil || len(rows) != 1 || json.Unmarshal(rows[0].Value, &row) != nil {
		t.Fatalf("shard row %v, %v", rows, err)
	}
	if _, handedOver := row.SinceGrantMS["lost"]; !handedOver || row.Owner != "" {
		t.Fatalf("released row: %s", rows[0].Value)
	}
}

// storeRunningItem writes the row of an item that runs on the worker.
func storeRunningItem(t *testing.T, store platform.Table, shard structs.ShardID, worker string) {
	t.Helper()
	spec := structs.WorkSpec{Team: "members", Key: "k", Kind: structs.KindBatch, Idempotent: true}
	item := structs.WorkItem{
		ID: spec.ID(), Shard: shard, Spec: spec, State: structs.StateRunning,
		Attempt: 1, Worker: worker, BootID: "boot",
	}
	value, err := json.Marshal(item)
	if err != nil {
		t.Fatal(err)
	}
	tx := platform.Transaction{Puts: []platform.Put{{Key: "work/" + shard.String() + "/" + string(item.ID), Value: value}}}
	if _, err := store.Commit(t.Context(), tx); err != nil {
		t.Fatal(err)
	}
}
