// Package declaration defines the types of a deployment as operators declare
// it, and checks declarations. It also represents a deployment as named
// entries, so that the difference between two versions is a small delta.
package declaration

import (
	"slices"

	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// Deployment is a complete declaration.
type Deployment struct {
	Name      string    `json:"name"`
	Objective Objective `json:"objective"`
	// ShardsPerDomain is the number of shards of each failure domain. Decode
	// sets it to 1 if the declaration leaves it out.
	ShardsPerDomain int           `json:"shards_per_domain,omitempty"`
	WorkerShapes    []WorkerShape `json:"worker_shapes"`
	Domains         []Domain      `json:"domains"`
	Services        []Service     `json:"services,omitempty"`
	Teams           []Team        `json:"teams,omitempty"`
	BatchJobs       []BatchJob    `json:"batch_jobs,omitempty"`
	StandingJobs    []StandingJob `json:"standing_jobs,omitempty"`
}

// Objective holds the relative weights of the three goals of scheduling: low
// tail latency, high batch throughput and few evictions.
type Objective struct {
	TailLatency     float64 `json:"tail_latency"`
	BatchThroughput float64 `json:"batch_throughput"`
	Evictions       float64 `json:"evictions"`
}

// WorkerShape is a kind of worker. All workers of a shape have the same
// capacity.
type WorkerShape struct {
	Name     string            `json:"name"`
	Capacity structs.Resources `json:"capacity"`
}

// Domain is a failure domain with its workers.
type Domain struct {
	Name    string        `json:"name"`
	Workers []WorkerGroup `json:"workers,omitempty"`
}

// WorkerGroup declares Count workers of one shape, in racks of RackSize workers.
type WorkerGroup struct {
	Shape    string `json:"shape"`
	Count    int    `json:"count"`
	RackSize int    `json:"rack_size"`
}

// Service declares a service that answers latency-critical requests, with its
// runners and kinds of requests.
type Service struct {
	Name    string        `json:"name"`
	Runners []RunnerGroup `json:"runners"`
	// Slots is the number of requests that a runner executes at the same time.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that a runner accepts.
	Connections int           `json:"connections"`
	Requests    []RequestKind `json:"requests"`
}

// RunnerGroup is the number of runners of a service in a failure domain.
type RunnerGroup struct {
	Domain string `json:"domain"`
	Count  int    `json:"count"`
}

// RequestKind declares one kind of request to a service.
type RequestKind struct {
	Kind       string    `json:"kind"`
	TimeoutMS  int64     `json:"timeout_ms"`
	Class      ClassName `json:"class"`
	Idempotent bool      `json:"idempotent"`
}

// BatchJob declares one kind of batch work.
type BatchJob struct {
	Kind          string            `json:"kind"`
	Team          string            `json:"team"`
	Class         ClassName         `json:"class,omitempty"`
	Size          structs.Resources `json:"size"`
	ExpectedRunMS int64             `json:"expected_run_ms"`
	MaxRunMS      int64             `json:"max_run_ms"`
	Idempotent    bool              `json:"idempotent"`
	// Checkpoint is set if the work can resume from a checkpoint.
	Checkpoint bool `json:"checkpoint"`
}

// StandingJob declares work that always runs, in a fixed number of replicas.
type StandingJob struct {
	Kind          string            `json:"kind"`
	Team          string            `json:"team"`
	Class         ClassName         `json:"class,omitempty"`
	Replicas      int               `json:"replicas"`
	Size          structs.Resources `json:"size"`
	ExpectedRunMS int64             `json:"expected_run_ms"`
	MaxRunMS      int64             `json:"max_run_ms"`
	Idempotent    bool              `json:"idempotent"`
	Checkpoint    bool              `json:"checkpoint"`
}

// Team is a group of callers whose work shares a quota. Weight is the team's
// fair share relative to the other teams.
type Team struct {
	Name   string            `json:"name"`
	Quota  structs.Resources `json:"quota"`
	Weight float64           `json:"weight"`
}

// ClassName is the name of a class of work in a declaration.
type ClassName string

// The names of the classes, most urgent first.
const (
	ClassUrgent ClassName = "urgent"
	ClassNormal ClassName = "normal"
	ClassLow    ClassName = "low"
)

// Class returns the class that n names. An empty or unknown name stands for
// the class normal.
func (n ClassName) Class() structs.Class {
	switch n {
	case ClassUrgent:
		return structs.ClassUrgent
	case ClassLow:
		return structs.ClassLow
	}
	return structs.ClassNormal
}

// Decode parses a declaration from JSON. It checks that the required fields are
// present and checks the types of the fields, but not their values.
func Decode(data []byte) (*Deployment, error) {
	d := &Deployment{ShardsPerDomain: 1}
	if err := strictjson.Decode(data, d); err != nil {
		return nil, err
	}
	return d, nil
}

// DomainNames returns the sorted names of the failure domains.
func (d *Deployment) DomainNames() []string {
	names := make([]string, 0, len(d.Domains))
	for _, domain := range d.Domains {
		names = append(names, domain.Name)
	}
	slices.Sort(names)
	return names
}

// Service returns the service with the given name, and false if there is none.
func (d *Deployment) Service(name string) (Service, bool) {
	return find(d.Services, name, func(s Service) string { return s.Name })
}

// Team returns the team with the given name, and false if there is none.
func (d *Deployment) Team(name string) (Team, bool) {
	return find(d.Teams, name, func(t Team) string { return t.Name })
}

// BatchJob returns the declaration of the given kind of batch work, and false if
// there is none.
func (d *Deployment) BatchJob(kind string) (BatchJob, bool) {
	return find(d.BatchJobs, kind, func(j BatchJob) string { return j.Kind })
}

// StandingJob returns the declaration of the given kind of standing job, and false
// if there is none.
func (d *Deployment) StandingJob(kind string) (StandingJob, bool) {
	return find(d.StandingJobs, kind, func(j StandingJob) string { return j.Kind })
}

// RequestKind returns the declaration of the given kind of request, and false if
// the service declares no such kind.
func (s Service) RequestKind(kind string) (RequestKind, bool) {
	return find(s.Requests, kind, func(r RequestKind) string { return r.Kind })
}

// LongestTimeoutMS returns the largest declared timeout of a request, in
// milliseconds, or zero if no requests are declared.
func (d *Deployment) LongestTimeoutMS() int64 {
	var longest int64
	for _, service := range d.Services {
		for _, request := range service.Requests {
			longest = max(longest, request.TimeoutMS)
		}
	}
	return longest
}

// DomainsFitting returns the sorted names of the failure domains that declare a
// worker on which size fits.
func (d *Deployment) DomainsFitting(size structs.Resources) []string {
	var names []string
	for _, domain := range d.Domains {
		if d.countFittingTasksInDomain(domain, size) > 0 {
			names = append(names, domain.Name)
		}
	}
	slices.Sort(names)
	return names
}

// find returns the first item of the list that has the name, and false if there is
// none.
func find[T any](list []T, name string, nameOf func(T) string) (T, bool) {
	i := slices.IndexFunc(list, func(item T) bool { return nameOf(item) == name })
	if i < 0 {
		var zero T
		return zero, false
	}
	return list[i], true
}
