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

// firstPlan is a policy that places nothing and tells of its first call.
type firstPlan chan struct{}

func (p firstPlan) Schedule(scheduler.Snapshot) scheduler.Plan {
	select {
	case p <- struct{}{}:
	default:
	}
	return scheduler.Plan{}
}

// Guards against a planned stop that tells the next owner nothing of the task
// leases of lost workers, so that their work waits in full again.
func TestPlannedStopHandsOverGrants(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := clockwork.NewRealClock()
	store := standin.NewPlatform(clock, 1)
	i := &Instance{settings: &settings.Settings{Name: "entry", Domain: "east"}, clock: clock, log: logrus.StandardLogger(), peers: peer.NewClient()}
	i.view = membership.New(membership.Config{Self: i.member(), Clock: clock})
	shard := structs.ShardID{Domain: "east"}
	recordRunning(t, store, shard, "lost")
	planned := make(firstPlan, 1)
	c := &core{shards: 1, router: routing.New(routing.Config{Clock: clock})}
	c.ownership = ownership.NewManager(ownership.Config{Self: i.member()}, ownership.Dependencies{
		Table: store, Members: i.view, Peers: i.peers, NewWriteID: uuid.NewString,
	}, clock)
	c.lifecycle = lifecycle.NewManager(lifecycle.Config{Domain: "east"}, lifecycle.Dependencies{
		Table: store, Objects: store, Workers: workerapi.NewHTTPClient(), View: i.view, Leases: c.ownership,
		Policy: planned, Domains: func() []string { return []string{"east"} }, NewWriteID: uuid.NewString,
	}, clock)
	i.core.Store(c)
	go func() { _ = c.ownership.Serve(ctx) }()
	go func() { _ = c.lifecycle.Serve(ctx) }()
	<-planned // the shard is recovered
	i.releaseShards(ctx)
	var row struct {
		Owner        string           `json:"owner"`
		SinceGrantMS map[string]int64 `json:"since_grant_ms"`
	}
	rows, err := store.Read(ctx, ownership.ShardKey(shard))
	if err != nil || len(rows) != 1 || json.Unmarshal(rows[0].Value, &row) != nil {
		t.Fatalf("shard row %v, %v", rows, err)
	}
	if _, told := row.SinceGrantMS["lost"]; !told || row.Owner != "" {
		t.Fatalf("released row: %s", rows[0].Value)
	}
}

// recordRunning writes the row of an item that runs on a worker.
func recordRunning(t *testing.T, store platform.Table, shard structs.ShardID, worker string) {
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
