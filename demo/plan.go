package demo

import (
	"errors"
	"fmt"

	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// plan names the service, the request kinds and the jobs of a declaration that the
// demo uses. The demo names them after the deployment that examples.Society declares: a
// proof is a request of idempotentKind, a billed request one of nonIdempotentKind, and
// a render a work item of renderJob.
type plan struct {
	service           string
	idempotentKind    string // idempotent request kind of the service
	nonIdempotentKind string // non-idempotent request kind of the service, or empty
	renderJob         declaration.BatchJob
	standingJob       declaration.StandingJob
}

// maxStandIns is the largest number of workers and runners that the demo runs in
// one process.
const maxStandIns = 300

// newPlan selects what the demo uses: the first idempotent request kind, the first
// non-idempotent kind after it in the same service, the first batch job with a
// checkpoint and the first standing job. It fails if one of them is missing, except
// the non-idempotent kind, or if the deployment is too large.
func newPlan(d *declaration.Deployment) (plan, error) {
	var p plan
	if n := countStandIns(d); n > maxStandIns {
		return p, fmt.Errorf("demo runs at most %d workers and runners, but deployment %s has %d", maxStandIns, d.Name, n)
	}
	for _, s := range d.Services {
		for _, r := range s.Requests {
			switch {
			case r.Idempotent && p.idempotentKind == "":
				p.service, p.idempotentKind = s.Name, r.Kind
			case !r.Idempotent && p.service == s.Name && p.nonIdempotentKind == "":
				p.nonIdempotentKind = r.Kind
			}
		}
	}
	for _, job := range d.BatchJobs {
		if job.Checkpoint {
			p.renderJob = job
			break
		}
	}
	if len(d.StandingJobs) > 0 {
		p.standingJob = d.StandingJobs[0]
	}
	if p.idempotentKind == "" || p.renderJob.Kind == "" || p.standingJob.Kind == "" {
		return p, errors.New("demo needs an idempotent request kind, a batch job with a checkpoint and a standing job")
	}
	return p, nil
}

// countStandIns returns the number of workers and runners of a deployment.
func countStandIns(d *declaration.Deployment) int {
	standIns := 0
	for _, domain := range d.Domains {
		for _, group := range domain.Workers {
			standIns += group.Count
		}
	}
	for _, s := range d.Services {
		for _, group := range s.Runners {
			standIns += group.Count
		}
	}
	return standIns
}

// workerCapacities returns the capacity of each worker shape, by its name.
func workerCapacities(d *declaration.Deployment) map[string]structs.Resources {
	capacities := map[string]structs.Resources{}
	for _, s := range d.WorkerShapes {
		capacities[s.Name] = s.Capacity
	}
	return capacities
}
