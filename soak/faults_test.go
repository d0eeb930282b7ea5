package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
	"bergamotstile/standin"
)

// faults injects random faults that come in series and overlap.
type faults struct {
	d      *deployment
	random *rand.Rand
	log    func(format string, args ...any)

	running sync.WaitGroup
	// storeMu and versions keep faults of one thing from undoing each other.
	storeMu sync.Mutex
	version int
	links   map[*standin.Proxy]*sync.Mutex
}

func newFaults(d *deployment, random *rand.Rand, log func(string, ...any)) *faults {
	f := &faults{d: d, random: random, log: log, version: configVersion, links: map[*standin.Proxy]*sync.Mutex{}}
	for _, in := range d.instances {
		f.links[in.toStore] = &sync.Mutex{}
	}
	for _, r := range d.runners {
		f.links[r.proxy] = &sync.Mutex{}
	}
	return f
}

// run injects faults until ctx ends, and returns once all are over.
func (f *faults) run(ctx context.Context) {
	kinds := []func(context.Context){f.killInstance, f.killInstance, f.pauseInstance, f.stopInstance, f.reload,
		f.disturbLink, f.disturbLink, f.disturbLink, f.disturbStore, f.disturbStore, f.forgetHistory,
		f.crashRunner, f.muteRunner, f.drainRunner, f.changeConfig, f.killAll}
	for ctx.Err() == nil {
		kinds[f.random.IntN(len(kinds))](ctx)
		sleep(ctx, time.Duration(50+f.random.IntN(700))*time.Millisecond)
	}
	f.running.Wait()
}

// background runs the rest of a fault while others come.
func (f *faults) background(step func()) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		step()
	}()
}

func (f *faults) duration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)))
}

func (f *faults) instance() *instance { return f.d.instances[f.random.IntN(len(f.d.instances))] }
func (f *faults) runner() *runner     { return f.d.runners[f.random.IntN(len(f.d.runners))] }

// restart starts an instance's process again after a pause.
func (f *faults) restart(ctx context.Context, in *instance, pause time.Duration) {
	sleep(ctx, pause)
	if err := f.d.start(in); err != nil {
		f.d.recorder.Violate("%s can't be started: %v", in.name, err)
	}
}

// kill ends an instance's process for a while.
func (f *faults) kill(ctx context.Context, in *instance, pause time.Duration) {
	f.background(func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.process.Kill()
		f.restart(ctx, in, pause)
	})
}

func (f *faults) killInstance(ctx context.Context) {
	in, pause := f.instance(), f.duration(0, 2*time.Second)
	f.log("kill %s for %v", in.name, pause)
	f.kill(ctx, in, pause)
}

func (f *faults) killAll(ctx context.Context) {
	pause := f.duration(0, 2*time.Second)
	f.log("kill every instance for %v", pause)
	for _, in := range f.d.instances {
		f.kill(ctx, in, pause)
	}
}

func (f *faults) pauseInstance(ctx context.Context) {
	in, pause := f.instance(), f.duration(200*time.Millisecond, 7*time.Second)
	f.log("pause %s for %v", in.name, pause)
	f.background(func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.process.Freeze()
		sleep(ctx, pause)
		in.process.Resume()
	})
}

// stopLimit is how long a process may take to drain: the grace of its settings
// and a second more.
const stopLimit = 4 * time.Second

func (f *faults) stopInstance(ctx context.Context) {
	in := f.instance()
	f.log("stop %s", in.name)
	f.background(func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.process.Terminate()
		select {
		case <-in.process.Done():
		case <-time.After(stopLimit):
			f.d.recorder.Violate("%s has not ended %v after SIGTERM", in.name, stopLimit)
			in.process.Kill()
		}
		f.restart(ctx, in, 0)
	})
}

func (f *faults) reload(context.Context) {
	in := f.instance()
	f.log("reload %s", in.name)
	f.background(func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		in.process.Reload()
	})
}

// disturbLink delays, resets, cuts one way or silences the way of an instance to
// the store, or of all instances to a runner.
func (f *faults) disturbLink(ctx context.Context) {
	proxy, name := f.instance().toStore, "a way to the store"
	if f.random.IntN(2) == 0 {
		proxy, name = f.runner().proxy, "the way to a runner"
	}
	kinds := []standin.ProxyFaults{
		{ToTarget: standin.DirectionFaults{DelayMS: 300}},
		{ToClient: standin.DirectionFaults{DelayMS: 800}},
		{ToTarget: standin.DirectionFaults{Cut: true}},
		{ToClient: standin.DirectionFaults{Cut: true}},
		{ToTarget: standin.DirectionFaults{Freeze: true}, ToClient: standin.DirectionFaults{Freeze: true}},
		{ToTarget: standin.DirectionFaults{Freeze: true}},
		{Refuse: true},
	}
	kind, lasts := kinds[f.random.IntN(len(kinds))], f.duration(200*time.Millisecond, 6*time.Second)
	reset := f.random.IntN(3) == 0
	f.log("disturb %s for %v: %+v, reset %v", name, lasts, kind, reset)
	f.background(func() {
		f.links[proxy].Lock()
		defer f.links[proxy].Unlock()
		if reset {
			proxy.Reset()
		}
		proxy.SetFaults(kind)
		sleep(ctx, lasts)
		proxy.SetFaults(standin.ProxyFaults{})
	})
}

func (f *faults) disturbStore(ctx context.Context) {
	kinds := []hostedtest.StoreFaults{{Refuse: 1}, {Refuse: 0.3}, {Lose: 0.4}, {Late: 0.4}, {Lose: 0.2, Late: 0.2, Refuse: 0.2}, {Delay: 400 * time.Millisecond}}
	kind, lasts := kinds[f.random.IntN(len(kinds))], f.duration(500*time.Millisecond, 5*time.Second)
	f.log("disturb the store for %v: %+v", lasts, kind)
	f.background(func() {
		f.storeMu.Lock()
		defer f.storeMu.Unlock()
		f.d.store.SetFaults(kind)
		sleep(ctx, lasts)
		f.d.store.SetFaults(hostedtest.StoreFaults{})
	})
}

func (f *faults) forgetHistory(context.Context) {
	f.log("the store forgets its history")
	f.d.store.ForgetHistory()
}

func (f *faults) crashRunner(context.Context) {
	r := f.runner()
	f.log("crash %s", r.ID)
	r.Crash()
}

func (f *faults) muteRunner(context.Context) {
	r, lasts := f.runner(), f.duration(300*time.Millisecond, 5*time.Second)
	f.log("%s answers nothing for %v", r.ID, lasts)
	r.Mute(lasts)
}

// drainRunner lets a runner leave and come back anew.
func (f *faults) drainRunner(ctx context.Context) {
	r, lasts := f.runner(), f.duration(4*time.Second, 6*time.Second)
	f.log("%s drains for %v", r.ID, lasts)
	f.background(func() {
		f.links[r.proxy].Lock()
		defer f.links[r.proxy].Unlock()
		f.d.register(r, true)
		sleep(ctx, lasts)
		r.Crash()
		f.d.store.Unregister(r.ID)
		sleep(ctx, time.Second)
		f.d.register(r, false)
	})
}

func (f *faults) changeConfig(context.Context) {
	f.version += 1 + f.random.IntN(3)
	f.log("configuration %d", f.version)
	f.d.store.Configure(f.version, route)
}
