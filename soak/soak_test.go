// Package soak_test runs entry instances as processes of their own against
// stand-ins of the platform, disturbs them from outside at random, and checks
// what the pages promise from what clients and runners see.
//
// By hand: go test ./soak -soak.first 100 -soak.seeds 50 -soak.for 20s
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotstile/harness"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seeds     = flag.Uint64("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.for", 8*time.Second, "how long faults are injected with each seed")
	size      = flag.Int("soak.instances", 4, "entry instances")
	fleet     = flag.Int("soak.runners", 8, "runners")
)

const (
	submitters = 6
	// settleLimit is how long after the last fault every job has to have come to
	// its end: the longest lease of a run (10 s), a takeover (4 s) and the jobs'
	// own time.
	settleLimit = 25 * time.Second
	pollPause   = 100 * time.Millisecond
)

// regressions are seeds that have failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{106, "a runner that had started anew was told to forget ends up to the number of before"},
	{236, "the time of a planned stop was counted from the end of the parts, not from its signal"},
}

func TestMain(m *testing.M) {
	harness.RunProgram()
	os.Exit(m.Run())
}

// Guards against broken promises under faults that come in series and overlap.
func TestSoak(t *testing.T) {
	run := map[uint64]string{}
	for _, r := range regressions {
		run[r.seed] = r.cause
	}
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		run[seed] = ""
	}
	for seed := range run {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *length, nil)
		})
	}
}

// Guards against a backlog of many jobs that is worked off too slowly, as runners on
// which tasks have failed get no new ones (seed 302).
func TestSoakBacklogOfManyJobs(t *testing.T) {
	soak(t, 302, 15*time.Second, nil)
}

// mixedShares are shares of a core of which the largest is to coordinate.
var mixedShares = []float64{0.11, 0.8, 0.16, 0.11}

// Guards against promises that are broken while weak instances hand the lease over,
// with faults meanwhile.
func TestSoakOfMixedInstances(t *testing.T) {
	for seed := *firstSeed + 400; seed < *firstSeed+400+*seeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, 2**length, mixedShares)
		})
	}
}

func soak(t *testing.T, seed uint64, length time.Duration, shares []float64) {
	dir := t.TempDir()
	d, err := deploy(dir, seed, *size, *fleet, shares)
	defer d.close()
	if err != nil {
		keep(t, dir, seed, nil)
		t.Fatal(err)
	}
	var mu sync.Mutex
	var injected []string
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		injected = append(injected, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	c := newClients(d)
	var working sync.WaitGroup
	for i := range submitters {
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		working.Go(func() { c.run(ctx, random) })
	}
	pending := rand.New(rand.NewPCG(seed, 2))
	working.Go(func() { c.watchPending(ctx, pending) })
	newFaults(d, rand.New(rand.NewPCG(seed, 1)), note).run(ctx)
	working.Wait()
	left := settle(c, rand.New(rand.NewPCG(seed, 3)))
	for _, j := range left {
		t.Errorf("job %s has not ended: %+v", j.id, *j)
	}
	for _, v := range d.recorder.Violations() {
		t.Error(v)
	}
	t.Logf("%d jobs, %d faults, %d hand-overs", len(c.jobs), len(injected), logLines(t, dir, "lease requested by a more capable instance"))
	if t.Failed() {
		keep(t, dir, seed, injected)
	}
}

// settle cancels what lasts, waits until every job has ended, and returns those
// that have not.
func settle(c *clients, random *rand.Rand) []*submitted {
	var left []*submitted
	for _, j := range c.jobs {
		if j.outcome != rejected {
			left = append(left, j)
		}
	}
	for deadline := time.Now().Add(settleLimit); len(left) > 0 && time.Now().Before(deadline); time.Sleep(pollPause) {
		var still []*submitted
		for _, j := range left {
			if j.lasting && !j.cancelled {
				c.cancel(j, random)
			}
			if !c.check(j, random) {
				still = append(still, j)
			}
		}
		left = still
	}
	return left
}

// logLines counts the lines of the instances' logs with a message.
func logLines(t *testing.T, dir, message string) int {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		count += strings.Count(string(text), strconv.Quote(message))
	}
	return count
}

// keep copies the logs of a failed run to where they outlast it.
func keep(t *testing.T, dir string, seed uint64, injected []string) {
	kept, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Log(err)
		return
	}
	if err := os.CopyFS(kept, os.DirFS(dir)); err != nil {
		t.Log(err)
	}
	t.Logf("logs are in %s; faults:", kept)
	for _, line := range injected {
		t.Log(line)
	}
}
