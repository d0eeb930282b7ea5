package standin_test

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"bergamotstile/platform/httpapi"
	"bergamotstile/runnerapi"
	"bergamotstile/standin"
)

// ports counts the addresses that this process has given out.
var ports atomic.Int32

// nextAddress returns an address that nobody else uses: a loopback host of this
// process with ports below the ephemeral range, which no connection takes.
func nextAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, 20000+ports.Add(1)%10000)
}

// Guards against stand-in processes that do not appear on the platform's list
// or stay there after they ended, and against errors that Run swallows.
func TestProcessesRegisterAndLeave(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rest, stop := context.WithCancel(ctx)
	defer stop()
	platformAt, runnerAt, proxyAt := nextAddress(), nextAddress(), nextAddress()
	ended := make(chan error, 4)
	go func() {
		if err := standin.RunPlatform(ctx, standin.ArgsPlatform{Address: platformAt}); err != nil {
			ended <- err
		}
	}()
	go func() {
		ended <- standin.RunWorker(rest, standin.ArgsWorker{Address: nextAddress(), Name: "w", Platform: platformAt})
	}()
	go func() {
		ended <- standin.RunRunner(rest, standin.ArgsRunner{Address: runnerAt, Name: "r", Platform: platformAt, DrainMS: 1})
	}()
	go func() {
		ended <- standin.RunProxy(rest, standin.ArgsProxy{Address: proxyAt, Target: runnerAt, Control: nextAddress()})
	}()
	list := httpapi.New(httpapi.Options{Address: platformAt})
	runners := runnerapi.NewHTTPClient(0)
	waitFor(t, ended, "two members", func() bool {
		l, err := list.List(ctx)
		return err == nil && len(l.Members) == 2
	})
	waitFor(t, ended, "an answer through the proxy", func() bool {
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

// waitFor polls a condition that no process may end before; the bound only ends
// a test that hangs.
func waitFor(t *testing.T, ended <-chan error, what string, holds func() bool) {
	t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		select {
		case err := <-ended:
			t.Fatalf("a process ended before %s: %v", what, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatalf("never happened: %s", what)
}
