package standin_test

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
	"bergamotstile/platform/httpapi"
	"bergamotstile/runnerapi"
	"bergamotstile/standin"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// Guards against a stand-in and its adapter that disagree about the protocol.
func TestAdaptersSpeakTheStandInsProtocols(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewRealClock()

	p := standin.NewPlatform(clock, 1)
	ps, err := p.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ps.Close()
	c := httpapi.New(httpapi.Options{Address: ps.Address()})
	defer c.Close()
	res, err := c.Commit(ctx, platform.Transaction{
		WriteID: "w1", Conditions: []platform.Condition{{Key: "a"}}, Puts: []platform.Put{{Key: "a", Value: []byte("1")}},
	})
	if err != nil || res.Version == 0 {
		t.Fatal(res, err)
	}
	rows, err := c.Read(ctx, "b", "a")
	if err != nil || len(rows) != 1 || rows[0].Version != res.Version {
		t.Fatal(rows, err)
	}
	if err := c.Put(ctx, "dir/x y", []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Head(ctx, "dir/x y"); err != nil || n != 5 {
		t.Fatal(n, err)
	}
	if data, err := c.Get(ctx, "dir/x y"); err != nil || string(data) != "hello" {
		t.Fatal(data, err)
	}
	p.SetMember(structs.Member{Name: "m", Role: structs.RoleEntry, State: structs.MemberLive})
	if l, err := c.List(ctx); err != nil || len(l.Members) != 1 {
		t.Fatal(l, err)
	}

	w := standin.NewWorker(clock, standin.WorkerOptions{Name: "w", Objects: c})
	ws, err := w.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ws.Close()
	wc := workerapi.NewHTTPClient()
	defer wc.Close()
	beat, err := wc.Heartbeat(ctx, ws.Address(), workerapi.HeartbeatRequest{LeaseMS: 20000})
	if err != nil {
		t.Fatal(err)
	}
	err = wc.Start(ctx, ws.Address(), workerapi.StartRequest{
		Attempt: "a.1", BootID: beat.BootID, StartBeforeMS: beat.UptimeMS + 60000, LeaseMS: 20000,
		Spec: structs.WorkSpec{Team: "t", Key: "k", Payload: []byte(`{"run_ms":60000}`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	stop, err := wc.Stop(ctx, ws.Address(), workerapi.StopRequest{Attempt: "a.1", Checkpoint: true})
	if err != nil || stop.Ended.Checkpoint == "" {
		t.Fatal(stop, err)
	}

	r := standin.NewRunner(clock, standin.RunnerOptions{Name: "r"})
	rs, err := r.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Close()
	proxy, err := standin.StartProxy("127.0.0.1:0", rs.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	rc := runnerapi.NewHTTPClient(0)
	defer rc.Close()
	answer, err := rc.Dispatch(ctx, proxy.Address(), runnerapi.Dispatch{ID: "1", Service: "s", Kind: "k", Body: []byte("b")})
	if err != nil || string(answer) != "r s/k b" {
		t.Fatal(string(answer), err)
	}
	if _, err := rc.Health(ctx, proxy.Address()); err != nil {
		t.Fatal(err)
	}
}
