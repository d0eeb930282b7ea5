package declaration

import (
	"math"
	"regexp"

	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// Limits of the numbers in a declaration. They keep sums of all declared
// amounts far below the largest int64.
const (
	maxCount           = 100_000
	maxAmount          = 1_000_000_000
	maxRunMS           = 366 * 24 * 3600 * 1000
	maxShardsPerDomain = 64
)

// DefaultRequestTimeoutMaxMS is the default of the setting
// request_timeout_max_ms, in milliseconds.
const DefaultRequestTimeoutMaxMS = 1500

// Limits holds the settings of an entry instance that limit the values in a
// declaration.
type Limits struct {
	RequestTimeoutMaxMS int64
}

// DefaultLimits returns the limits of an instance with default settings.
func DefaultLimits() Limits {
	return Limits{RequestTimeoutMaxMS: DefaultRequestTimeoutMaxMS}
}

// namePattern matches names that need no escaping in table keys, URL paths and
// log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker checks a deployment and collects the problems with the paths of the
// fields.
type checker struct {
	strictjson.Collector
	deployment *Deployment
	limits     Limits
}

// Check returns a *strictjson.Error that lists the problems of the deployment
// with the paths of the fields, or nil if there are none.
func (d *Deployment) Check(limits Limits) error {
	c := &checker{deployment: d, limits: limits}
	c.checkName("name", d.Name)
	c.checkObjective()
	c.checkCount("shards_per_domain", d.ShardsPerDomain, maxShardsPerDomain)
	c.checkWorkerShapes()
	c.checkDomains()
	c.checkServices()
	c.checkTeams()
	c.checkBatchJobs()
	c.checkStandingJobs()
	return c.Err()
}

func (c *checker) checkName(path, name string) {
	if name == "" {
		c.Addf(path, "must not be empty")
		return
	}
	if !namePattern.MatchString(name) {
		c.Addf(path, "must be 1 to 63 letters, digits, '.', '_' or '-' and start with a letter or digit, not %q", name)
	}
}

func (c *checker) checkCount(path string, n, limit int) {
	if n < 1 || n > limit {
		c.Addf(path, "must be between 1 and %d, not %d", limit, n)
	}
}

func (c *checker) checkObjective() {
	objective := c.deployment.Objective
	c.checkWeight("objective.tail_latency", objective.TailLatency)
	c.checkWeight("objective.batch_throughput", objective.BatchThroughput)
	c.checkWeight("objective.evictions", objective.Evictions)
	sum := objective.TailLatency + objective.BatchThroughput + objective.Evictions
	if !(sum > 0) || math.IsInf(sum, 0) {
		c.Addf("objective", "the weights must have a positive sum, not %v", sum)
	}
}

func (c *checker) checkWeight(path string, weight float64) {
	if !(weight >= 0) || math.IsInf(weight, 0) {
		c.Addf(path, "must be at least 0, not %v", weight)
	}
}

// checkSize checks a job's size, a worker's capacity or a team's quota, and
// reports whether it is valid. Only accelerators may be zero.
func (c *checker) checkSize(path string, r structs.Resources) bool {
	problemsBefore := c.Count()
	c.checkAmount(strictjson.FieldPath(path, "cpu_milli"), r.CPUMilli, 1)
	c.checkAmount(strictjson.FieldPath(path, "memory_mb"), r.MemoryMB, 1)
	c.checkAmount(strictjson.FieldPath(path, "accelerators"), r.Accelerators, 0)
	return c.Count() == problemsBefore
}

func (c *checker) checkAmount(path string, n, lowest int64) {
	if n < lowest || n > maxAmount {
		c.Addf(path, "must be between %d and %d, not %d", lowest, maxAmount, n)
	}
}

// checkNotDeclaredBefore records a problem if an earlier item of the list has
// the same name. seen maps each name to the path at which it was declared.
func (c *checker) checkNotDeclaredBefore(seen map[string]string, path, name string) {
	if name == "" {
		return
	}
	if firstPath, ok := seen[name]; ok {
		c.Addf(path, "%q is already declared at %s", name, firstPath)
		return
	}
	seen[name] = path
}

// checkUniqueName checks the form of a name and that no earlier item of the
// list has it.
func (c *checker) checkUniqueName(seen map[string]string, path, name string) {
	c.checkName(path, name)
	c.checkNotDeclaredBefore(seen, path, name)
}

func (c *checker) checkWorkerShapes() {
	if len(c.deployment.WorkerShapes) == 0 {
		c.Addf("worker_shapes", "must not be empty")
	}
	seen := map[string]string{}
	for i, shape := range c.deployment.WorkerShapes {
		itemPath := strictjson.ItemPath("worker_shapes", i)
		c.checkUniqueName(seen, itemPath+".name", shape.Name)
		c.checkSize(itemPath+".capacity", shape.Capacity)
	}
}

func (c *checker) checkDomains() {
	if len(c.deployment.Domains) == 0 {
		c.Addf("domains", "must not be empty")
	}
	seen := map[string]string{}
	for i, domain := range c.deployment.Domains {
		itemPath := strictjson.ItemPath("domains", i)
		c.checkUniqueName(seen, itemPath+".name", domain.Name)
		for j, group := range domain.Workers {
			c.checkWorkerGroup(strictjson.ItemPath(itemPath+".workers", j), group)
		}
	}
}

func (c *checker) checkWorkerGroup(path string, g WorkerGroup) {
	if _, ok := c.deployment.workerShape(g.Shape); !ok {
		c.Addf(path+".shape", "worker shape %q is not declared", g.Shape)
	}
	c.checkCount(path+".count", g.Count, maxCount)
	c.checkCount(path+".rack_size", g.RackSize, maxCount)
}

func (c *checker) checkServices() {
	seen := map[string]string{}
	for i, service := range c.deployment.Services {
		itemPath := strictjson.ItemPath("services", i)
		c.checkUniqueName(seen, itemPath+".name", service.Name)
		c.checkRunnerGroups(itemPath, service)
		c.checkRequestKinds(itemPath, service)
	}
}

func (c *checker) checkRunnerGroups(path string, s Service) {
	c.checkCount(path+".slots", s.Slots, maxCount)
	c.checkCount(path+".connections", s.Connections, maxCount)
	if s.Connections < s.Slots {
		c.Addf(path+".connections", "must be at least slots (%d), or slots stay idle, not %d", s.Slots, s.Connections)
	}
	if len(s.Runners) == 0 {
		c.Addf(path+".runners", "must not be empty")
	}
	seen := map[string]string{}
	for j, group := range s.Runners {
		itemPath := strictjson.ItemPath(path+".runners", j)
		if !c.deployment.hasDomain(group.Domain) {
			c.Addf(itemPath+".domain", "failure domain %q is not declared", group.Domain)
		}
		c.checkNotDeclaredBefore(seen, itemPath+".domain", group.Domain)
		c.checkCount(itemPath+".count", group.Count, maxCount)
	}
}

func (c *checker) checkRequestKinds(path string, s Service) {
	if len(s.Requests) == 0 {
		c.Addf(path+".requests", "must not be empty")
	}
	seen := map[string]string{}
	for j, request := range s.Requests {
		itemPath := strictjson.ItemPath(path+".requests", j)
		c.checkUniqueName(seen, itemPath+".kind", request.Kind)
		c.checkClass(itemPath+".class", request.Class, false)
		if request.TimeoutMS < 1 || request.TimeoutMS > c.limits.RequestTimeoutMaxMS {
			c.Addf(itemPath+".timeout_ms", "must be between 1 and request_timeout_max_ms (%d), not %d",
				c.limits.RequestTimeoutMaxMS, request.TimeoutMS)
		}
	}
}

func (c *checker) checkClass(path string, class ClassName, optional bool) {
	switch class {
	case ClassUrgent, ClassNormal, ClassLow:
		return
	case "":
		if optional {
			return
		}
	}
	c.Addf(path, "must be %q, %q or %q, not %q", ClassUrgent, ClassNormal, ClassLow, class)
}
