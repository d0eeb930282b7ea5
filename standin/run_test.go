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

// addressCount is the number of addresses that nextAddress has returned.
var addressCount atomic.Int32

// nextAddress returns an address that no other process uses. Its host is a
// loopback address derived from the ID of this process. Its port is below the
// ephemeral range, so that no outgoing connection uses it.
func nextAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, 20000+addressCount.Add(1)%10000)
}

// Guards against stand-in processes that do not appear on the platform's
// membership list or stay on it after they ended, and against errors that the Run
// functions do not return.
func TestProcessesRegisterAndDeregister(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	processCtx, stopProcesses := context.WithCancel(ctx)
	defer stopProcesses()
	platformAddress, runnerAddress, proxyAddress := nextAddress(), nextAddress(), nextAddress()
	exits := make(chan error, 4)
	go func() {
		if err := standin.RunPlatform(ctx, standin.PlatformArgs{Address: platformAddress}); err != nil {
			exits <- err
		}
	}()
	go func() {
		exits <- standin.RunWorker(processCtx, standin.WorkerArgs{Address: nextAddress(), Name: "w", Platform: platformAddress})
	}()
	go func() {
		exits <- standin.RunRunner(processCtx, standin.RunnerArgs{Address: runnerAddress, Name: "r", Platform: platformAddress, DrainMS: 1})
	}()
	go func() {
		exits <- standin.RunProxy(processCtx, standin.ProxyArgs{Address: proxyAddress, Target: runnerAddress, Control: nextAddress()})
	}()
	platformClient := httpapi.New(httpapi.Options{Address: platformAddress})
	runnerClient := runnerapi.NewHTTPClient(0)
	waitFor(t, exits, "two members", func() bool {
		membership, err := platformClient.List(ctx)
		return err == nil && len(membership.Members) == 2
	})
	waitFor(t, exits, "an answer through the proxy", func() bool {
		_, err := runnerClient.Health(ctx, proxyAddress)
		return err == nil
	})
	stopProcesses()
	for range 3 {
		if err := <-exits; err != nil {
			t.Error(err)
		}
	}
	if membership, err := platformClient.List(ctx); err != nil || len(membership.Members) != 0 {
		t.Errorf("members %+v on the list after their processes ended, error %v", membership.Members, err)
	}
	if err := standin.RunPlatform(ctx, standin.PlatformArgs{Address: platformAddress}); err == nil {
		t.Error("no error for an address in use")
	}
}

// waitFor polls until a condition is met. It fails the test if a process ends
// before the condition is met. The bound on the number of polls only ends a test
// that hangs.
func waitFor(t *testing.T, exits <-chan error, condition string, isMet func() bool) {
	t.Helper()
	for range 3000 {
		if isMet() {
			return
		}
		select {
		case err := <-exits:
			t.Fatalf("a process ended before %s: %v", condition, err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatalf("timed out waiting for %s", condition)
}
