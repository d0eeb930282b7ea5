package standin_test

import (
	"context"
	"net"
	"testing"
	"time"

	"bergamotstile/platform/httpapi"
	"bergamotstile/runnerapi"
	"bergamotstile/standin"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against stand-in processes that do not appear on the platform's list
// or stay there after they ended, and against errors that Run swallows.
func TestProcessesRegisterAndLeave(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rest, stop := context.WithCancel(ctx)
	defer stop()
	platformAt, runnerAt, proxyAt := freeAddress(t), freeAddress(t), freeAddress(t)
	go func() { _ = standin.RunPlatform(ctx, standin.ArgsPlatform{Address: platformAt}) }()
	ended := make(chan error, 3)
	go func() {
		ended <- standin.RunWorker(rest, standin.ArgsWorker{Address: freeAddress(t), Name: "w", Platform: platformAt})
	}()
	go func() {
		ended <- standin.RunRunner(rest, standin.ArgsRunner{Address: runnerAt, Name: "r", Platform: platformAt, DrainMS: 1})
	}()
	go func() {
		ended <- standin.RunProxy(rest, standin.ArgsProxy{Address: proxyAt, Target: runnerAt, Control: freeAddress(t)})
	}()
	list := httpapi.New(httpapi.Options{Address: platformAt})
	runners := runnerapi.NewHTTPClient(0)
	waitFor(t, "two members", func() bool {
		l, err := list.List(ctx)
		return err == nil && len(l.Members) == 2
	})
	waitFor(t, "an answer through the proxy", func() bool {
		_, err := runners.Health(ctx, proxyAt)
		return err == nil
	})
	stop()
	for range 3 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if l, err := list.List(ctx); err != nil || len(l.Members) != 0 {
		t.Errorf("members %+v after their end, error %v", l.Members, err)
	}
	if err := standin.RunPlatform(ctx, standin.ArgsPlatform{Address: platformAt}); err == nil {
		t.Error("no error for an address in use")
	}
}

// waitFor polls a condition; the bound only ends a test that hangs.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never happened: %s", what)
}
