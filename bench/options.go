// Package bench measures scheduling policies in virtual time. It runs the
// decision code of the product against a simulation of the workers of one rack.
// The interference between two tasks depends on their kinds, and interference
// with the service also on the service's load. Measurements arrive late, and
// declared sizes and run times are wrong. The simulation includes the faults of
// the failure model, but neither networks nor processes.
package bench

import (
	"fmt"
	"slices"
	"time"

	"bergamotstile/policy"
	"bergamotstile/structs"
)

// Options selects what one run simulates.
type Options struct {
	Deployment string
	Policy     string
	Seed       int64
	// Duration is the virtual time that the run simulates; zero means two hours.
	Duration time.Duration
	// Disabled lists the mechanisms of the policy bergamotstile that are switched
	// off.
	Disabled []policy.Mechanism
	// WeightsOf names the deployment whose objective weights are used; empty means
	// those of Deployment.
	WeightsOf string
}

// Names of the policies that can be measured.
const (
	PolicyBergamotstile = "bergamotstile"
	PolicyBestFit       = "best-fit"
	PolicySeparate      = "separate"
	PolicyThreshold     = "threshold"
	// PolicyAll selects all other policies, one after the other.
	PolicyAll = "all"
)

// Policies lists the names of the policies in the order in which PolicyAll runs
// them.
var Policies = []string{PolicyBergamotstile, PolicyBestFit, PolicySeparate, PolicyThreshold}

// defaultDuration is the virtual time of a run whose options do not set one.
const defaultDuration = 2 * time.Hour

// batchKind describes one kind of batch job. What its tasks use differs from what
// they declare.
type batchKind struct {
	job                 string
	declared            structs.Resources
	meanRunS            float64 // mean run time without interference, in seconds
	meanServicePressure float64 // mean pressure on the service if the kind used all processors of the machine
	cpuUseRatio         float64 // mean ratio of used to declared processors
	memoryUseRatio      float64 // mean ratio of used to declared memory
	arrivalShare        float64 // part of all batch jobs, 0 to 1
}

// deployment describes one rack of one user: the machines, the service and the
// kinds of batch jobs.
type deployment struct {
	name    string
	service string
	workers int
	// acceleratedWorkers is the number of workers with accelerators.
	acceleratedWorkers int
	machineCapacity    structs.Resources // of a machine with accelerators
	runnerReservation  structs.Resources // part of a machine that is reserved for one runner
	slotsPerRunner     int
	coresPerSlot       float64 // cores that a slot uses while it serves a request
	baseServiceMS      float64 // mean service time without interference, in milliseconds
	deadlineMS         float64 // longest latency of a request that counts as on time, in milliseconds
	dedicatedWorkers   int     // machines that run only the service under PolicySeparate
	weights            policy.Weights
	kinds              []batchKind
	noisyKind          int // index in kinds of the kind that most jobs of a noisy wave have
}

// resources returns a size from whole cores, GB of memory and accelerators.
func resources(cores, memoryGB, accelerators int64) structs.Resources {
	return structs.Resources{CPUMilli: cores * 1000, MemoryMB: memoryGB * 1000, Accelerators: accelerators}
}

// deployments lists the deployments that Options.Deployment can name.
var deployments = []deployment{
	{
		name: "society", service: "pathworks", workers: 6, acceleratedWorkers: 4,
		machineCapacity: resources(32, 125, 2), runnerReservation: resources(8, 16, 0), slotsPerRunner: 8, coresPerSlot: 1,
		baseServiceMS: 100, deadlineMS: 400, dedicatedWorkers: 3,
		weights:   policy.Weights{TailLatency: 0.6, BatchThroughput: 0.25, Evictions: 0.15},
		noisyKind: 3,
		kinds: []batchKind{
			{"watch-scan", resources(2, 6, 0), 200, 0.05, 0.7, 0.6, 0.25},
			{"render-coarse", resources(6, 22, 0), 420, 0.12, 0.9, 0.8, 0.15},
			{"render-full", resources(4, 12, 0), 300, 0.4, 1.0, 0.95, 0.25},
			{"render-fine", resources(4, 16, 0), 240, 1.6, 1.05, 0.9, 0.15},
			{"nesting", resources(3, 8, 0), 300, 0.5, 1.4, 1.3, 0.10},
			{"die-check", resources(2, 10, 1), 400, 0.2, 0.9, 0.9, 0.10},
		},
	},
	{
		name: "lavigne", service: "booking", workers: 8, acceleratedWorkers: 5,
		machineCapacity: resources(64, 250, 2), runnerReservation: resources(16, 32, 0), slotsPerRunner: 8, coresPerSlot: 2,
		baseServiceMS: 150, deadlineMS: 600, dedicatedWorkers: 4,
		weights:   policy.Weights{TailLatency: 0.2, BatchThroughput: 0.45, Evictions: 0.35},
		noisyKind: 2,
		kinds: []batchKind{
			{"catalogue", resources(4, 12, 0), 200, 0.08, 0.7, 0.6, 0.25},
			{"club-cut", resources(8, 30, 0), 400, 0.3, 0.9, 0.85, 0.25},
			{"club-balance", resources(8, 28, 0), 260, 1.5, 1.05, 0.95, 0.15},
			{"tour-order", resources(12, 44, 0), 600, 0.15, 0.9, 0.85, 0.15},
			{"finish", resources(6, 16, 0), 300, 0.5, 1.4, 1.3, 0.10},
			{"gait-model", resources(4, 20, 1), 400, 0.25, 0.9, 0.9, 0.10},
		},
	},
}

// deployment returns the deployment that the options name, with the objective
// weights of WeightsOf if it is set.
func (o Options) deployment() (deployment, error) {
	d, err := findDeployment(o.Deployment)
	if err != nil || o.WeightsOf == "" {
		return d, err
	}
	other, err := findDeployment(o.WeightsOf)
	d.weights = other.weights
	return d, err
}

// findDeployment returns the deployment with the given name.
func findDeployment(name string) (deployment, error) {
	for _, d := range deployments {
		if d.name == name {
			return d, nil
		}
	}
	return deployment{}, fmt.Errorf("bench: unknown deployment %q, want society or lavigne", name)
}

// checkPolicy returns an error unless name is one of Policies.
func checkPolicy(name string) error {
	if !slices.Contains(Policies, name) {
		return fmt.Errorf("bench: unknown policy %q, want one of %v or %s", name, Policies, PolicyAll)
	}
	return nil
}
