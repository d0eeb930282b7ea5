package declaration

import (
	"math"
	"regexp"

	"bergamotstile/strictjson"
	"bergamotstile/structs"
)

// Limits of a declaration. They keep sums of all declared amounts far below
// the range of int64.
const (
	maxCount           = 100_000
	maxAmount          = 1_000_000_000
	maxRunMS           = 366 * 24 * 3600 * 1000
	maxShardsPerDomain = 64
)

// DefaultRequestTimeoutMaxMS is the default of the setting
// request_timeout_max_ms.
const DefaultRequestTimeoutMaxMS = 1500

// Limits are the settings of the entry instances that a declaration must
// respect.
type Limits struct {
	RequestTimeoutMaxMS int64
}

// DefaultLimits returns the limits of an instance with default settings.
func DefaultLimits() Limits {
	return Limits{RequestTimeoutMaxMS: DefaultRequestTimeoutMaxMS}
}

// namePattern keeps names safe in table keys, URL paths and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker walks a deployment and records problems by field path.
type checker struct {
	strictjson.Collector
	d      *Deployment
	limits Limits
}

// Check returns a *strictjson.Error that names every field that cannot be
// honoured, or nil.
func (d *Deployment) Check(limits Limits) error {
	c := &checker{d: d, limits: limits}
	c.checkName("name", d.Name)
	c.checkObjective()
	c.checkCount("shards_per_domain", d.ShardsPerDomain, maxShardsPerDomain)
	c.checkShapes()
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
	o := c.d.Objective
	c.checkWeight("objective.tail_latency", o.TailLatency)
	c.checkWeight("objective.batch_throughput", o.BatchThroughput)
	c.checkWeight("objective.evictions", o.Evictions)
	sum := o.TailLatency + o.BatchThroughput + o.Evictions
	if !(sum > 0) || math.IsInf(sum, 0) {
		c.Addf("objective", "the weights must have a positive sum, not %v", sum)
	}
}

func (c *checker) checkWeight(path string, w float64) {
	if !(w >= 0) || math.IsInf(w, 0) {
		c.Addf(path, "must be at least 0, not %v", w)
	}
}

// checkSize checks the size of work or the capacity of a worker. Only
// accelerators may be zero.
func (c *checker) checkSize(path string, r structs.Resources) bool {
	before := c.Count()
	c.checkAmount(strictjson.Field(path, "cpu_milli"), r.CPUMilli, 1)
	c.checkAmount(strictjson.Field(path, "memory_mb"), r.MemoryMB, 1)
	c.checkAmount(strictjson.Field(path, "accelerators"), r.Accelerators, 0)
	return c.Count() == before
}

func (c *checker) checkAmount(path string, n, least int64) {
	if n < least || n > maxAmount {
		c.Addf(path, "must be between %d and %d, not %d", least, maxAmount, n)
	}
}

// checkUnique records names that an earlier item of the list has.
func (c *checker) checkUnique(seen map[string]string, path, name string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.Addf(path, "%q is already declared at %s", name, first)
		return
	}
	seen[name] = path
}

// checkNewName checks a name that may stand in its list only once.
func (c *checker) checkNewName(seen map[string]string, path, name string) {
	c.checkName(path, name)
	c.checkUnique(seen, path, name)
}

func (c *checker) checkShapes() {
	if len(c.d.WorkerShapes) == 0 {
		c.Addf("worker_shapes", "must not be empty")
	}
	seen := map[string]string{}
	for i, shape := range c.d.WorkerShapes {
		at := strictjson.Index("worker_shapes", i)
		c.checkNewName(seen, at+".name", shape.Name)
		c.checkSize(at+".capacity", shape.Capacity)
	}
}

func (c *checker) checkDomains() {
	if len(c.d.Domains) == 0 {
		c.Addf("domains", "must not be empty")
	}
	seen := map[string]string{}
	for i, domain := range c.d.Domains {
		at := strictjson.Index("domains", i)
		c.checkNewName(seen, at+".name", domain.Name)
		for k, group := range domain.Workers {
			c.checkGroup(strictjson.Index(at+".workers", k), group)
		}
	}
}

func (c *checker) checkGroup(path string, g WorkerGroup) {
	if _, ok := c.d.shape(g.Shape); !ok {
		c.Addf(path+".shape", "worker shape %q is not declared", g.Shape)
	}
	c.checkCount(path+".count", g.Count, maxCount)
	c.checkCount(path+".rack_size", g.RackSize, maxCount)
}

func (c *checker) checkServices() {
	seen := map[string]string{}
	for i, service := range c.d.Services {
		at := strictjson.Index("services", i)
		c.checkNewName(seen, at+".name", service.Name)
		c.checkRunners(at, service)
		c.checkRequests(at, service)
	}
}

func (c *checker) checkRunners(path string, s Service) {
	c.checkCount(path+".slots", s.Slots, maxCount)
	c.checkCount(path+".connections", s.Connections, maxCount)
	if s.Connections < s.Slots {
		c.Addf(path+".connections", "must be at least slots (%d), or slots stay idle, not %d", s.Slots, s.Connections)
	}
	if len(s.Runners) == 0 {
		c.Addf(path+".runners", "must not be empty")
	}
	seen := map[string]string{}
	for k, group := range s.Runners {
		at := strictjson.Index(path+".runners", k)
		if !c.d.hasDomain(group.Domain) {
			c.Addf(at+".domain", "failure domain %q is not declared", group.Domain)
		}
		c.checkUnique(seen, at+".domain", group.Domain)
		c.checkCount(at+".count", group.Count, maxCount)
	}
}

func (c *checker) checkRequests(path string, s Service) {
	if len(s.Requests) == 0 {
		c.Addf(path+".requests", "must not be empty")
	}
	seen := map[string]string{}
	for k, request := range s.Requests {
		at := strictjson.Index(path+".requests", k)
		c.checkNewName(seen, at+".kind", request.Kind)
		c.checkClass(at+".class", request.Class, false)
		if request.TimeoutMS < 1 || request.TimeoutMS > c.limits.RequestTimeoutMaxMS {
			c.Addf(at+".timeout_ms", "must be between 1 and request_timeout_max_ms (%d), not %d",
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
