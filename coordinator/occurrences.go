package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
)

// maxOccurrenceTasks bounds the tasks in the open occurrences of all scheduled jobs together. It
// exceeds what runs at a time in the largest fleet, so that it keeps no runner idle.
//
// It answers this load: a job whose occurrences have all come due before it is accepted, or while no
// coordinator acted, may have 10,000 occurrences of 10,000 tasks. Open occurrences take memory for
// each of their tasks, and a successor opens as many as its predecessor.
const maxOccurrenceTasks = 100_000

// occurrenceWindow holds which occurrences of a scheduled job have been opened.
type occurrenceWindow struct {
	// next is the number of the first occurrence that may not have been opened.
	next int
	// unopened holds the occurrences whose progress was restored, or which a runner has reported,
	// and whose steps are to be opened once they are due.
	unopened        map[int]struct{}
	waitLogThrottle logThrottle
}

// openDueOccurrences opens the occurrences of scheduled jobs that are due, as many of each job as
// its share of maxOccurrenceTasks allows.
func (c *Core) openDueOccurrences(now, timeOfDay time.Duration) {
	active := 0
	for _, j := range c.scheduledJobs {
		if len(j.Current) > 0 || c.isNextOccurrenceDue(j, timeOfDay) {
			active++
		}
	}
	for _, j := range c.scheduledJobs {
		c.openRestoredOccurrences(j, timeOfDay)
		c.openNextOccurrences(j, maxOccurrenceTasks/max(1, active), now, timeOfDay)
	}
}

// openRestoredOccurrences opens those occurrences that are due and whose progress the job has
// already.
func (c *Core) openRestoredOccurrences(j *job, timeOfDay time.Duration) {
	for number := range j.window.unopened {
		if !c.isDue(j, number, timeOfDay) {
			continue
		}
		delete(j.window.unopened, number)
		if occurrence := j.Current[number]; occurrence != nil {
			c.openReadySteps(j, occurrence, false)
		}
	}
}

// openNextOccurrences opens the occurrences of a job that are due, in their order, until its open
// ones have maxTasks tasks. One is always opened.
func (c *Core) openNextOccurrences(j *job, maxTasks int, now, timeOfDay time.Duration) {
	for c.isNextOccurrenceDue(j, timeOfDay) {
		number := j.window.next
		if j.Finished[number] || j.Current[number] != nil {
			j.window.next++
			continue
		}
		if len(j.Current) > 0 && (len(j.Current)+1)*j.occurrenceTasks() > maxTasks {
			c.logOccurrencesWait(j, now)
			return
		}
		j.window.next++
		if occurrence := j.OpenOccurrence(number); occurrence != nil {
			c.openReadySteps(j, occurrence, false)
		}
	}
}

// isNextOccurrenceDue reports whether the job has a further occurrence and may start it.
func (c *Core) isNextOccurrenceDue(j *job, timeOfDay time.Duration) bool {
	return j.window.next < j.Occurrences() && c.isDue(j, j.window.next, timeOfDay)
}

// isDue reports whether an occurrence of a job may start.
func (c *Core) isDue(j *job, number int, timeOfDay time.Duration) bool {
	return j.Spec.Repeats == 0 || j.DueTime(number) <= timeOfDay+c.limits.ScheduleLead
}

// logOccurrencesWait logs that occurrences of a job are due and wait for earlier ones to end.
func (c *Core) logOccurrencesWait(j *job, now time.Duration) {
	if !j.window.waitLogThrottle.isDue(now) {
		return
	}
	j.window.waitLogThrottle.recordLogged(now)
	c.counters("occurrence_waits_told", 1)
	c.log.WithFields(logrus.Fields{"job": j.ID, "open": len(j.Current), "next": j.window.next}).
		Warn("occurrences wait until earlier ones of their job have ended")
}

// occurrenceTasks returns the number of tasks of one occurrence.
func (j *job) occurrenceTasks() int {
	tasks := 0
	for i := range j.Spec.Steps {
		tasks += j.Spec.Steps[i].Count
	}
	return tasks
}

// findTask returns the progress of a task that a runner reports, or nil if there is no such task
// or its occurrence is finished. An occurrence that is not open yet, because it is not due by the
// local clock or waits for earlier ones, was open at the predecessor that started the run. Its
// progress counts from now on, but its steps stay closed until it is due.
func (j *job) findTask(id jobs.TaskID) *jobs.Task {
	if j.Current[id.Occurrence] == nil && j.OpenOccurrence(id.Occurrence) != nil {
		j.window.unopened[id.Occurrence] = struct{}{}
	}
	return j.Task(id)
}

// hasOpened reports whether steps of an occurrence in progress were opened.
func (j *job) hasOpened(occurrence int) bool {
	_, unopened := j.window.unopened[occurrence]
	return !unopened
}

// closeOccurrence removes the steps of an occurrence that is finished.
func (j *job) closeOccurrence(number int) {
	delete(j.window.unopened, number)
	for step := range j.Spec.Steps {
		delete(j.openSteps, [2]int{number, step})
	}
}
