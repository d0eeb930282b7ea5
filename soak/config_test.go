package soak_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bergamotstile/platform/hosted/hostedtest"
)

const (
	// convergeBound is the time within which a configuration must be in force on an instance
	// after it was applied.
	convergeBound = 2 * time.Second
	// contactBound is the time after a disturbance from which on convergeBound holds again.
	contactBound        = 3 * time.Second
	configCheckInterval = 150 * time.Millisecond
)

// disturbance records when faults disturb a part of the deployment.
type disturbance struct {
	mu      sync.Mutex
	running int
	ended   time.Time // when the last fault ended
}

// begin records that a fault begins. The returned function records that it ends.
func (d *disturbance) begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.running--
		d.ended = time.Now()
	}
}

// isCalm reports whether no fault has disturbed the part for contactBound.
func (d *disturbance) isCalm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running == 0 && time.Since(d.ended) > contactBound
}

// appliedConfig is a version of the configuration and when it was applied.
type appliedConfig struct {
	version   int
	appliedAt time.Time
}

// configHistory records the versions of the configuration, oldest first.
type configHistory struct {
	mu      sync.Mutex
	applied []appliedConfig
}

func (h *configHistory) record(config appliedConfig) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applied = append(h.applied, config)
}

// due returns the newest version that has to be in force everywhere, and false if there is
// none.
func (h *configHistory) due() (appliedConfig, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.applied) - 1; i >= 0; i-- {
		if time.Since(h.applied[i].appliedAt) > convergeBound {
			return h.applied[i], true
		}
	}
	return appliedConfig{}, false
}

// versionRoute is a route that the configuration has from the given version on.
func versionRoute(version int) hostedtest.Route {
	added := route
	added.Prefix = fmt.Sprintf("/version-%d/", version)
	return added
}

// applyConfig applies a version of the configuration: it has the routes of all earlier
// versions and one more.
func (d *deployment) applyConfig(version int) {
	routes := []hostedtest.Route{route}
	for _, earlier := range d.configs.applied {
		routes = append(routes, versionRoute(earlier.version))
	}
	d.store.Configure(version, append(routes, versionRoute(version))...)
	d.configs.record(appliedConfig{version, time.Now()})
}

// checkConfigs checks until ctx ends that each instance that is not disturbed serves the
// route that the newest version has added.
func (d *deployment) checkConfigs(ctx context.Context) {
	var checks sync.WaitGroup
	for _, inst := range d.instances {
		checks.Go(func() {
			for ctx.Err() == nil {
				d.checkConfig(inst)
				sleep(ctx, configCheckInterval)
			}
		})
	}
	checks.Wait()
}

func (d *deployment) checkConfig(inst *instance) {
	due, ok := d.configs.due()
	if !ok || !inst.disturbance.isCalm() || !d.storeDisturbance.isCalm() {
		return
	}
	client := hostedtest.NewClient(versionRoute(due.version), requestTimeout)
	defer client.HTTP.CloseIdleConnections()
	sentAt := time.Now()
	response := client.Pending(inst.clientAddress)
	d.configChecks.Add(1)
	if response.NoRoute && inst.disturbance.isCalm() && d.storeDisturbance.isCalm() {
		d.recorder.RecordViolation("%s refused the route of version %d %v after it was applied", inst.name, due.version, sentAt.Sub(due.appliedAt))
	}
}
