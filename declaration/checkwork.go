package declaration

import (
	"math"

	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// commonJobFields holds the fields that batch and standing jobs share and that
// are checked in the same way.
type commonJobFields struct {
	kind, team              string
	class                   ClassName
	size                    structs.Resources
	expectedRunMS, maxRunMS int64
}

func (j BatchJob) commonFields() commonJobFields {
	return commonJobFields{j.Kind, j.Team, j.Class, j.Size, j.ExpectedRunMS, j.MaxRunMS}
}

func (j StandingJob) commonFields() commonJobFields {
	return commonJobFields{j.Kind, j.Team, j.Class, j.Size, j.ExpectedRunMS, j.MaxRunMS}
}

func (c *checker) checkBatchJobs() {
	seen := map[string]string{}
	for i, job := range c.deployment.BatchJobs {
		itemPath := strictjson.ItemPath("batch_jobs", i)
		c.checkNotDeclaredBefore(seen, itemPath+".kind", job.Kind)
		c.checkJob(itemPath, job.commonFields())
	}
}

// checkStandingJobs checks each standing job and compares the replicas with the
// declared workers. It applies two tests: the replicas of each job must fit on
// the workers if no other job runs there, and the sum of all jobs must not
// exceed the sum of all workers. Both are only necessary conditions, so jobs
// that pass them may still not fit together.
func (c *checker) checkStandingJobs() {
	seen := map[string]string{}
	var sum structs.Resources
	for i, job := range c.deployment.StandingJobs {
		itemPath := strictjson.ItemPath("standing_jobs", i)
		c.checkNotDeclaredBefore(seen, itemPath+".kind", job.Kind)
		c.checkCount(itemPath+".replicas", job.Replicas, maxCount)
		if !c.checkJob(itemPath, job.commonFields()) || job.Replicas < 1 {
			continue
		}
		if maxReplicas := c.deployment.countFittingTasks(job.Size); int64(job.Replicas) > maxReplicas {
			c.Addf(itemPath+".replicas", "all declared workers together have room for %d, not %d", maxReplicas, job.Replicas)
			continue
		}
		sum = sum.Add(multiplyResources(job.Size, job.Replicas))
	}
	if total := c.deployment.totalCapacity(); !sum.Fits(total) {
		c.Addf("standing_jobs", "all replicas together need %+v, above the %+v of all declared workers", sum, total)
	}
}

// checkJob checks the fields that batch and standing jobs share. It returns whether
// the job's size is valid and fits on a declared worker; the other fields may have
// problems in either case.
func (c *checker) checkJob(path string, job commonJobFields) bool {
	c.checkName(path+".kind", job.kind)
	c.checkClass(path+".class", job.class, true)
	c.checkRunTimes(path, job)
	if !c.checkSize(path+".size", job.size) {
		return false
	}
	c.checkTeamQuota(path, job)
	if c.deployment.countFittingTasks(job.size) == 0 {
		c.Addf(path+".size", "fits no declared worker")
		return false
	}
	return true
}

func (c *checker) checkRunTimes(path string, job commonJobFields) {
	if job.expectedRunMS < 1 || job.expectedRunMS > maxRunMS {
		c.Addf(path+".expected_run_ms", "must be between 1 and %d, not %d", int64(maxRunMS), job.expectedRunMS)
	}
	if job.maxRunMS < 1 || job.maxRunMS > maxRunMS {
		c.Addf(path+".max_run_ms", "must be between 1 and %d, not %d", int64(maxRunMS), job.maxRunMS)
		return
	}
	if job.expectedRunMS > job.maxRunMS {
		c.Addf(path+".expected_run_ms", "must be at most max_run_ms (%d), not %d", job.maxRunMS, job.expectedRunMS)
	}
}

// checkTeamQuota checks that the job's team is declared and that its quota is
// large enough for one run of the job, which could otherwise never start.
func (c *checker) checkTeamQuota(path string, job commonJobFields) {
	team, ok := c.deployment.Team(job.team)
	if !ok {
		c.Addf(path+".team", "team %q is not declared", job.team)
		return
	}
	if !job.size.Fits(team.Quota) {
		c.Addf(path+".size", "is above the quota of team %q, so the work could never start", job.team)
	}
}

func (c *checker) checkTeams() {
	seen := map[string]string{}
	for i, team := range c.deployment.Teams {
		itemPath := strictjson.ItemPath("teams", i)
		c.checkUniqueName(seen, itemPath+".name", team.Name)
		if !(team.Weight > 0) || math.IsInf(team.Weight, 0) {
			c.Addf(itemPath+".weight", "must be above 0, not %v", team.Weight)
		}
		if c.checkSize(itemPath+".quota", team.Quota) {
			c.checkStandingQuota(itemPath+".quota", team)
		}
	}
}

// checkStandingQuota checks that a team's quota is large enough for all replicas
// of its standing jobs, since these run at the same time. It leaves out jobs whose
// replicas or size are above the limits, which checkStandingJobs reports.
func (c *checker) checkStandingQuota(path string, team Team) {
	var sum structs.Resources
	for _, job := range c.deployment.StandingJobs {
		if job.Team == team.Name && job.Replicas <= maxCount && job.Size.Fits(maxSize) {
			sum = sum.Add(multiplyResources(job.Size, job.Replicas))
		}
	}
	if !sum.Fits(team.Quota) {
		c.Addf(path, "is below the %+v that the standing jobs of team %q need together", sum, team.Name)
	}
}

// maxSize is the largest amount of each resource that checkSize accepts.
var maxSize = structs.Resources{CPUMilli: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount}

func multiplyResources(r structs.Resources, n int) structs.Resources {
	factor := int64(n)
	return structs.Resources{CPUMilli: r.CPUMilli * factor, MemoryMB: r.MemoryMB * factor, Accelerators: r.Accelerators * factor}
}

func (d *Deployment) workerShape(name string) (WorkerShape, bool) {
	return find(d.WorkerShapes, name, func(s WorkerShape) string { return s.Name })
}

func (d *Deployment) hasDomain(name string) bool {
	_, ok := find(d.Domains, name, func(s Domain) string { return s.Name })
	return ok
}

// countFittingTasks returns how many tasks of a size fit on all declared workers
// together, if nothing else runs there.
func (d *Deployment) countFittingTasks(size structs.Resources) int64 {
	var n int64
	for _, domain := range d.Domains {
		n += d.countFittingTasksInDomain(domain, size)
	}
	return n
}

// countFittingTasksInDomain returns how many tasks of a size fit on the declared workers
// of a domain. It leaves out worker groups whose shape is not declared or whose count is
// out of range.
func (d *Deployment) countFittingTasksInDomain(domain Domain, size structs.Resources) int64 {
	var n int64
	for _, group := range domain.Workers {
		if shape, ok := d.workerShape(group.Shape); ok && hasValidCount(group) {
			n += int64(group.Count) * countFittingTasksOnWorker(shape.Capacity, size)
		}
	}
	return n
}

// countFittingTasksOnWorker returns how many tasks of a size fit on one worker with
// the given capacity: the lowest of the numbers for its three resources, and at most
// math.MaxInt32.
func countFittingTasksOnWorker(capacity, size structs.Resources) int64 {
	n := int64(math.MaxInt32)
	n = min(n, countFittingTasksInOneResource(capacity.CPUMilli, size.CPUMilli))
	n = min(n, countFittingTasksInOneResource(capacity.MemoryMB, size.MemoryMB))
	return min(n, countFittingTasksInOneResource(capacity.Accelerators, size.Accelerators))
}

// countFittingTasksInOneResource returns how many tasks fit if only one resource is
// considered: capacity is the worker's amount of it, and size the amount that each task
// needs. If a task needs none of it, the resource sets no limit, which the function
// returns as math.MaxInt32: this number times maxCount does not overflow an int64.
func countFittingTasksInOneResource(capacity, size int64) int64 {
	if size <= 0 {
		return math.MaxInt32
	}
	return max(capacity, 0) / size
}

// totalCapacity returns the sum of the capacities of all declared workers. It leaves out
// worker groups whose shape is not declared, whose count is out of range or whose shape
// exceeds maxSize.
func (d *Deployment) totalCapacity() structs.Resources {
	var sum structs.Resources
	for _, domain := range d.Domains {
		for _, group := range domain.Workers {
			if shape, ok := d.workerShape(group.Shape); ok && hasValidCount(group) && shape.Capacity.Fits(maxSize) {
				sum = sum.Add(multiplyResources(shape.Capacity, group.Count))
			}
		}
	}
	return sum
}

// hasValidCount reports whether the count of a worker group is in range. The sums over
// workers leave out groups with an invalid count, which checkWorkerGroup reports as a
// problem of the declaration.
func hasValidCount(g WorkerGroup) bool {
	return g.Count > 0 && g.Count <= maxCount
}
