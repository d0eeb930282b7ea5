// Package bench measures policies in virtual time. It runs the product's
// decision code against a fake of one rack's workers, with interference that
// depends on the pair of tasks and shifts with load, late measurements, wrong
// declared sizes and run times, and the faults of the failure model. It models
// no networks and no processes.
package bench

import (
	"fmt"
	"slices"
	"time"

	"bergamotstile/policy"
	"bergamotstile/structs"
)

// Options selects one run.
type Options struct {
	Deployment string
	Policy     string
	Seed       int64
	// Duration is the virtual time of the run; zero takes two hours.
	Duration time.Duration
	// Disabled switches mechanisms of the policy bergamotstile off.
	Disabled []policy.Mechanism
	// WeightsOf takes the objective weights of another deployment.
	WeightsOf string
}

// The policies that can be measured.
const (
	PolicyBergamotstile = "bergamotstile"
	PolicyBestFit       = "best-fit"
	PolicySeparate      = "separate"
	PolicyThreshold     = "threshold"
	// PolicyAll stands for each of the others in turn.
	PolicyAll = "all"
)

// Policies lists the policies in the order of PolicyAll.
var Policies = []string{PolicyBergamotstile, PolicyBestFit, PolicySeparate, PolicyThreshold}

const defaultDuration = 2 * time.Hour

// kind describes one kind of batch work. Used and declared figures differ.
type kind struct {
	job      string
	declared structs.Resources
	runS     float64 // mean run time alone
	harm     float64 // pressure on the service for each unit of share
	cpuBias  float64 // mean use over declared size
	memBias  float64
	weight   float64 // part of the arrivals
}

// deployment is one rack of one of the users.
type deployment struct {
	name    string
	service string
	workers int
	// accelerated is the number of workers with accelerators.
	accelerated int
	machine     structs.Resources
	runner      structs.Resources // reserved for the runner beside the worker
	slots       int               // of one runner, each using one core at most
	slotCores   float64
	aloneMS     float64
	deadlineMS  float64
	dedicated   int // service machines under the policy separate
	weights     policy.Weights
	kinds       []kind
	noisy       int // kind that arrives in waves
}

func size(cores, memoryGB, accelerators int64) structs.Resources {
	return structs.Resources{CPUMilli: cores * 1000, MemoryMB: memoryGB * 1000, Accelerators: accelerators}
}

var deployments = []deployment{
	{
		name: "society", service: "pathworks", workers: 6, accelerated: 4,
		machine: size(32, 125, 2), runner: size(8, 16, 0), slots: 8, slotCores: 1,
		aloneMS: 100, deadlineMS: 400, dedicated: 3,
		weights: policy.Weights{TailLatency: 0.6, BatchThroughput: 0.25, Evictions: 0.15},
		noisy:   3,
		kinds: []kind{
			{"watch-scan", size(2, 6, 0), 200, 0.05, 0.7, 0.6, 0.25},
			{"render-coarse", size(6, 22, 0), 420, 0.12, 0.9, 0.8, 0.15},
			{"render-full", size(4, 12, 0), 300, 0.4, 1.0, 0.95, 0.25},
			{"render-fine", size(4, 16, 0), 240, 1.6, 1.05, 0.9, 0.15},
			{"nesting", size(3, 8, 0), 300, 0.5, 1.4, 1.3, 0.10},
			{"die-check", size(2, 10, 1), 400, 0.2, 0.9, 0.9, 0.10},
		},
	},
	{
		name: "lavigne", service: "booking", workers: 8, accelerated: 5,
		machine: size(64, 250, 2), runner: size(16, 32, 0), slots: 8, slotCores: 2,
		aloneMS: 150, deadlineMS: 600, dedicated: 4,
		weights: policy.Weights{TailLatency: 0.2, BatchThroughput: 0.45, Evictions: 0.35},
		noisy:   2,
		kinds: []kind{
			{"catalogue", size(4, 12, 0), 200, 0.08, 0.7, 0.6, 0.25},
			{"club-cut", size(8, 30, 0), 400, 0.3, 0.9, 0.85, 0.25},
			{"club-balance", size(8, 28, 0), 260, 1.5, 1.05, 0.95, 0.15},
			{"tour-order", size(12, 44, 0), 600, 0.15, 0.9, 0.85, 0.15},
			{"finish", size(6, 16, 0), 300, 0.5, 1.4, 1.3, 0.10},
			{"gait-model", size(4, 20, 1), 400, 0.25, 0.9, 0.9, 0.10},
		},
	},
}

// deployment returns the deployment of a run.
func (o Options) deployment() (deployment, error) {
	d, err := findDeployment(o.Deployment)
	if err != nil || o.WeightsOf == "" {
		return d, err
	}
	other, err := findDeployment(o.WeightsOf)
	d.weights = other.weights
	return d, err
}

func findDeployment(name string) (deployment, error) {
	for _, d := range deployments {
		if d.name == name {
			return d, nil
		}
	}
	return deployment{}, fmt.Errorf("bench: unknown deployment %q, want society or lavigne", name)
}

func checkPolicy(name string) error {
	if !slices.Contains(Policies, name) {
		return fmt.Errorf("bench: unknown policy %q, want one of %v or %s", name, Policies, PolicyAll)
	}
	return nil
}
