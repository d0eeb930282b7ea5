package standin_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bergamotstile/platform"
	"bergamotstile/platform/httpapi"
	"bergamotstile/runnerapi"
	"bergamotstile/standin"
	"bergamotstile/structs"
	"bergamotstile/workerapi"
)

// Guards against a stand-in whose HTTP protocol differs from the protocol of the
// adapter that calls it.
func TestAdaptersMatchStandInProtocols(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewRealClock()

	standinPlatform := standin.NewPlatform(clock, 1)
	platformServer, err := standinPlatform.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platformServer.Close()
	platformClient := httpapi.New(httpapi.Options{Address: platformServer.Address()})
	defer platformClient.Close()
	committed, err := platformClient.Commit(ctx, platform.Transaction{
		WriteID: "w1", Conditions: []platform.Condition{{Key: "a"}}, Puts: []platform.Put{{Key: "a", Value: []byte("1")}},
	})
	if err != nil || committed.Version == 0 {
		t.Fatal(committed, err)
	}
	rows, err := platformClient.Read(ctx, "b", "a")
	if err != nil || len(rows) != 1 || rows[0].Version != committed.Version {
		t.Fatal(rows, err)
	}
	if err := platformClient.Put(ctx, "dir/x y", []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if size, err := platformClient.Head(ctx, "dir/x y"); err != nil || size != 5 {
		t.Fatal(size, err)
	}
	if data, err := platformClient.Get(ctx, "dir/x y"); err != nil || string(data) != "hello" {
		t.Fatal(data, err)
	}
	standinPlatform.SetMember(structs.Member{Name: "m", Role: structs.RoleEntry, State: structs.MemberLive})
	if membership, err := platformClient.List(ctx); err != nil || len(membership.Members) != 1 {
		t.Fatal(membership, err)
	}

	worker := standin.NewWorker(clock, standin.WorkerOptions{Name: "w", Objects: platformClient})
	workerServer, err := worker.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer workerServer.Close()
	workerClient := workerapi.NewHTTPClient()
	defer workerClient.Close()
	report, err := workerClient.Heartbeat(ctx, workerServer.Address(), workerapi.HeartbeatRequest{LeaseMS: 20000})
	if err != nil {
		t.Fatal(err)
	}
	err = workerClient.Start(ctx, workerServer.Address(), workerapi.StartRequest{
		Attempt: "a.1", BootID: report.BootID, StartBeforeMS: report.UptimeMS + 60000, LeaseMS: 20000,
		Spec: structs.WorkSpec{Team: "t", Key: "k", Payload: []byte(`{"run_ms":60000}`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	stopped, err := workerClient.Stop(ctx, workerServer.Address(), workerapi.StopRequest{Attempt: "a.1", Checkpoint: true})
	if err != nil || stopped.Ended.Checkpoint == "" {
		t.Fatal(stopped, err)
	}

	runner := standin.NewRunner(clock, standin.RunnerOptions{Name: "r"})
	runnerServer, err := runner.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer runnerServer.Close()
	proxy, err := standin.StartProxy("127.0.0.1:0", runnerServer.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	runnerClient := runnerapi.NewHTTPClient(0)
	defer runnerClient.Close()
	answer, err := runnerClient.Dispatch(ctx, proxy.Address(), runnerapi.Dispatch{ID: "1", Service: "s", Kind: "k", Body: []byte("b")})
	if err != nil || string(answer) != "r s/k b" {
		t.Fatal(string(answer), err)
	}
	if _, err := runnerClient.Health(ctx, proxy.Address()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a proxy whose silent connections still deliver, or that also silences
// connections which are opened later.
func TestSilencedConnectionsDeliverNothing(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	proxy, err := standin.StartProxy("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	exchange := func(conn net.Conn, timeout time.Duration) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	const longTimeout = 20 * time.Second
	before := dial()
	if err := exchange(before, longTimeout); err != nil {
		t.Fatal(err)
	}
	proxy.Silence()
	if err := exchange(dial(), longTimeout); err != nil {
		t.Errorf("new connection: %v", err)
	}
	if err := exchange(before, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("silent connection: %v", err)
	}
}
