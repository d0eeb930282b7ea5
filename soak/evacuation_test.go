package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against runs that start in a failure domain that has been evacuated for some time,
// while coordinators take over, runners fail and drain and evacuations overlap, and against
// jobs that don't end after the evacuations.
func TestSoakOfEvacuations(t *testing.T) {
	for seed := *firstSeed + 800; seed < *firstSeed+800+*seedCount; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, soakPlan{seed: seed, duration: 2 * *faultTime, submitters: calmSubmitterCount, inject: injectEvacuations})
		})
	}
}

// injectEvacuations evacuates each failure domain from time to time, also all at the same time.
// The other faults leave the connections to the store alone, since runs may start later while an
// instance can't read the requests.
func injectEvacuations(ctx context.Context, f *faultInjector) {
	for i, zone := range zones {
		random := rand.New(rand.NewPCG(f.seed, uint64(5+i)))
		f.runInBackground(func() {
			for sleep(ctx, time.Duration(random.IntN(4000))*time.Millisecond); ctx.Err() == nil; sleep(ctx, time.Duration(random.IntN(3000))*time.Millisecond) {
				f.evacuate(ctx, zone, time.Duration(5500+random.IntN(3000))*time.Millisecond)
			}
		})
	}
	injections := []func(context.Context){f.killInstance, f.pauseInstance, f.stopInstance, f.crashRunner, f.suppressRunnerResponses, f.drainRunner, f.dropStoreHistory, f.changeConfig}
	for ctx.Err() == nil {
		injections[f.random.IntN(len(injections))](ctx)
		sleep(ctx, f.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
	}
	f.running.Wait()
}

// evacuate evacuates a failure domain for the duration.
func (f *faultInjector) evacuate(ctx context.Context, zone string, duration time.Duration) {
	f.logFault("evacuate %s for %v", zone, duration)
	f.deployment.store.Evacuate(zone)
	f.deployment.recorder.BeginEvacuation(zone)
	sleep(ctx, duration)
	f.deployment.recorder.EndEvacuation(zone)
	f.deployment.store.EndEvacuation(zone)
}
