package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
	"bergamotstile/standin"
)

// faultInjector injects random faults one after the other. A fault may last while the next
// ones are injected, so that faults overlap.
type faultInjector struct {
	deployment *deployment
	seed       uint64
	random     *rand.Rand
	logFault   func(format string, args ...any)

	running sync.WaitGroup
	// storeMu and proxyLocks are held during a fault of the store or of a proxy, so
	// that the end of one fault does not remove another one.
	storeMu       sync.Mutex
	configVersion int
	proxyLocks    map[*standin.Proxy]*sync.Mutex
}

func newFaultInjector(d *deployment, seed uint64, logFault func(string, ...any)) *faultInjector {
	f := &faultInjector{deployment: d, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), logFault: logFault, configVersion: configVersion, proxyLocks: map[*standin.Proxy]*sync.Mutex{}}
	for _, inst := range d.instances {
		f.proxyLocks[inst.storeProxy] = &sync.Mutex{}
	}
	for _, r := range d.runners {
		f.proxyLocks[r.proxy] = &sync.Mutex{}
	}
	return f
}

// run injects faults until ctx ends, and returns when all faults have ended.
func (f *faultInjector) run(ctx context.Context) {
	injections := []func(context.Context){f.killInstance, f.killInstance, f.pauseInstance, f.stopInstance, f.reloadInstance,
		f.injectLinkFault, f.injectLinkFault, f.injectLinkFault, f.injectStoreFault, f.injectStoreFault, f.dropStoreHistory,
		f.crashRunner, f.suppressRunnerResponses, f.drainRunner, f.changeConfig, f.killAll}
	for ctx.Err() == nil {
		injections[f.random.IntN(len(injections))](ctx)
		sleep(ctx, time.Duration(50+f.random.IntN(700))*time.Millisecond)
	}
	f.running.Wait()
}

// injectOverlappingFaults injects all kinds of faults. The connections that go silent are
// drawn from a source of their own, so that the other faults of earlier seeds stay the same.
func injectOverlappingFaults(ctx context.Context, f *faultInjector) {
	random := rand.New(rand.NewPCG(f.seed, 4))
	f.runInBackground(func() {
		for sleep(ctx, time.Duration(1000+random.IntN(4000))*time.Millisecond); ctx.Err() == nil; sleep(ctx, time.Duration(1000+random.IntN(4000))*time.Millisecond) {
			f.silence(f.deployment.instances[random.IntN(len(f.deployment.instances))])
		}
	})
	f.run(ctx)
}

// injectSilence lets all connections between instances and the store go silent some time
// after a slow store made the instances open many of them. The configuration changes all
// the time, and nothing else happens.
func injectSilence(ctx context.Context, f *faultInjector) {
	const changeInterval = 300 * time.Millisecond
	for ctx.Err() == nil {
		endDisturbance := f.deployment.storeDisturbance.begin()
		f.deployment.store.SetFaults(hostedtest.StoreFaults{Delay: 400 * time.Millisecond})
		sleep(ctx, f.randomDuration(500*time.Millisecond, 1500*time.Millisecond))
		f.deployment.store.SetFaults(hostedtest.StoreFaults{})
		endDisturbance()
		sleep(ctx, f.randomDuration(0, time.Second))
		for _, inst := range f.deployment.instances {
			f.silence(inst)
		}
		for range f.randomDuration(2*contactBound, 3*contactBound) / changeInterval {
			f.changeConfig(ctx)
			sleep(ctx, changeInterval)
		}
	}
}

// runInBackground runs an action of a fault in a goroutine, so that further faults can be
// injected before the action ends.
func (f *faultInjector) runInBackground(action func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		action()
	}()
}

func (f *faultInjector) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.random.Int64N(int64(longest-shortest)))
}

// pickInstance returns a random instance.
func (f *faultInjector) pickInstance() *instance {
	return f.deployment.instances[f.random.IntN(len(f.deployment.instances))]
}

// pickRunner returns a random runner.
func (f *faultInjector) pickRunner() *runner {
	return f.deployment.runners[f.random.IntN(len(f.deployment.runners))]
}

// restart starts an instance's process again after the downtime.
func (f *faultInjector) restart(ctx context.Context, inst *instance, downtime time.Duration) {
	sleep(ctx, downtime)
	if err := f.deployment.start(inst); err != nil {
		f.deployment.recorder.RecordViolation("%s cannot be started: %v", inst.name, err)
	}
}

// kill kills an instance's process and restarts it after the downtime.
func (f *faultInjector) kill(ctx context.Context, inst *instance, downtime time.Duration) {
	f.runInBackground(func() {
		inst.mu.Lock()
		defer inst.mu.Unlock()
		defer inst.disturbance.begin()()
		inst.process.Kill()
		f.restart(ctx, inst, downtime)
	})
}

func (f *faultInjector) killInstance(ctx context.Context) {
	inst, downtime := f.pickInstance(), f.randomDuration(0, 2*time.Second)
	f.logFault("kill %s for %v", inst.name, downtime)
	f.kill(ctx, inst, downtime)
}

func (f *faultInjector) killAll(ctx context.Context) {
	downtime := f.randomDuration(0, 2*time.Second)
	f.logFault("kill every instance for %v", downtime)
	for _, inst := range f.deployment.instances {
		f.kill(ctx, inst, downtime)
	}
}

func (f *faultInjector) pauseInstance(ctx context.Context) {
	inst, pause := f.pickInstance(), f.randomDuration(200*time.Millisecond, 7*time.Second)
	f.logFault("pause %s for %v", inst.name, pause)
	f.runInBackground(func() {
		inst.mu.Lock()
		defer inst.mu.Unlock()
		defer inst.disturbance.begin()()
		inst.process.Freeze()
		sleep(ctx, pause)
		inst.process.Resume()
	})
}

// stopTimeout is the time within which a process must drain and end: the grace period in
// its settings (3 s) plus one second.
const stopTimeout = 4 * time.Second

func (f *faultInjector) stopInstance(ctx context.Context) {
	inst := f.pickInstance()
	f.logFault("stop %s", inst.name)
	f.runInBackground(func() {
		inst.mu.Lock()
		defer inst.mu.Unlock()
		defer inst.disturbance.begin()()
		inst.process.Terminate()
		select {
		case <-inst.process.Done():
		case <-time.After(stopTimeout):
			f.deployment.recorder.RecordViolation("%s has not ended %v after SIGTERM", inst.name, stopTimeout)
			inst.process.Kill()
		}
		f.restart(ctx, inst, 0)
	})
}

func (f *faultInjector) reloadInstance(context.Context) {
	inst := f.pickInstance()
	f.logFault("reload %s", inst.name)
	f.runInBackground(func() {
		inst.mu.Lock()
		defer inst.mu.Unlock()
		inst.process.Reload()
	})
}

// injectLinkFault injects a random fault into the connections of one instance to the store,
// or of all instances to one runner: a delay, a cut in one direction, a freeze, or the
// refusal of new connections. In one of three cases, it also resets the open connections.
func (f *faultInjector) injectLinkFault(ctx context.Context) {
	inst := f.pickInstance()
	proxy, linkName := inst.storeProxy, "an instance's connections to the store"
	if f.random.IntN(2) == 0 {
		proxy, linkName = f.pickRunner().proxy, "the connections to a runner"
	}
	linkFaults := []standin.ProxyFaults{
		{ToTarget: standin.DirectionFaults{DelayMS: 300}},
		{ToClient: standin.DirectionFaults{DelayMS: 800}},
		{ToTarget: standin.DirectionFaults{Cut: true}},
		{ToClient: standin.DirectionFaults{Cut: true}},
		{ToTarget: standin.DirectionFaults{Freeze: true}, ToClient: standin.DirectionFaults{Freeze: true}},
		{ToTarget: standin.DirectionFaults{Freeze: true}},
		{Refuse: true},
	}
	fault, duration := linkFaults[f.random.IntN(len(linkFaults))], f.randomDuration(200*time.Millisecond, 6*time.Second)
	reset := f.random.IntN(3) == 0
	f.logFault("inject faults into %s for %v: %+v, reset %v", linkName, duration, fault, reset)
	f.runInBackground(func() {
		f.proxyLocks[proxy].Lock()
		defer f.proxyLocks[proxy].Unlock()
		if proxy == inst.storeProxy {
			defer inst.disturbance.begin()()
		}
		if reset {
			proxy.Reset()
		}
		proxy.SetFaults(fault)
		sleep(ctx, duration)
		proxy.SetFaults(standin.ProxyFaults{})
	})
}

func (f *faultInjector) injectStoreFault(ctx context.Context) {
	storeFaults := []hostedtest.StoreFaults{{Refuse: 1}, {Refuse: 0.3}, {Lose: 0.4}, {Late: 0.4}, {Lose: 0.2, Late: 0.2, Refuse: 0.2}, {Delay: 400 * time.Millisecond}}
	fault, duration := storeFaults[f.random.IntN(len(storeFaults))], f.randomDuration(500*time.Millisecond, 5*time.Second)
	f.logFault("inject faults into the store for %v: %+v", duration, fault)
	f.runInBackground(func() {
		f.storeMu.Lock()
		defer f.storeMu.Unlock()
		defer f.deployment.storeDisturbance.begin()()
		f.deployment.store.SetFaults(fault)
		sleep(ctx, duration)
		f.deployment.store.SetFaults(hostedtest.StoreFaults{})
	})
}

func (f *faultInjector) dropStoreHistory(context.Context) {
	f.logFault("the store drops its change history")
	defer f.deployment.storeDisturbance.begin()()
	f.deployment.store.DropHistory()
}

func (f *faultInjector) crashRunner(context.Context) {
	r := f.pickRunner()
	f.logFault("crash %s", r.ID)
	r.Crash()
}

func (f *faultInjector) suppressRunnerResponses(context.Context) {
	r, duration := f.pickRunner(), f.randomDuration(300*time.Millisecond, 5*time.Second)
	f.logFault("%s does not answer calls for %v", r.ID, duration)
	r.SuppressResponses(duration)
}

// drainRunner registers a runner as draining. Later it crashes the runner and removes its
// entry, and a second after that it registers the runner again.
func (f *faultInjector) drainRunner(ctx context.Context) {
	r, duration := f.pickRunner(), f.randomDuration(4*time.Second, 6*time.Second)
	f.logFault("%s drains for %v", r.ID, duration)
	f.runInBackground(func() {
		f.proxyLocks[r.proxy].Lock()
		defer f.proxyLocks[r.proxy].Unlock()
		f.deployment.register(r, true)
		sleep(ctx, duration)
		r.Crash()
		f.deployment.store.Unregister(r.ID)
		sleep(ctx, time.Second)
		f.deployment.register(r, false)
	})
}

func (f *faultInjector) changeConfig(context.Context) {
	f.configVersion += 1 + f.random.IntN(3)
	f.logFault("apply configuration version %d", f.configVersion)
	f.deployment.applyConfig(f.configVersion)
}

// silence lets the open connections of an instance to the store go silent.
func (f *faultInjector) silence(inst *instance) {
	defer inst.disturbance.begin()()
	f.logFault("the open connections of %s to the store go silent", inst.name)
	inst.storeProxy.Silence()
}
