package coordinator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// delayedStartsKey is the key of the first of the rows that tell a successor which starts had no
// answer. Each such row covers the runners of one row of the roster. The successor keeps the tasks
// from being started elsewhere, like HoldDelayedStarts, until their runner reports or a run of them
// has ended for certain.
var delayedStartsKey = rowstore.Key{Table: rosterKey.Table, Part: sharedPart, Key: "delayed-starts"}

// delayedStart is a start without an answer.
type delayedStart struct {
	runner string
	task   jobs.TaskID
}

// encode returns the line for the start.
func (d delayedStart) encode() string { return d.runner + " " + d.task.String() + "\n" }

// decodeDelayedStarts returns the starts in a row and the number of unreadable lines.
func decodeDelayedStarts(value string) (starts []delayedStart, unreadable int) {
	for line := range strings.Lines(value) {
		runner, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		task, err := jobs.ParseTaskID(name)
		if err != nil {
			unreadable++
			continue
		}
		starts = append(starts, delayedStart{runner, task})
	}
	return starts, unreadable
}

// delayedStartsRowKey returns the key of one of the rows.
func delayedStartsRowKey(index int) rowstore.Key {
	key := delayedStartsKey
	if index > 0 {
		key.Key += "/" + strconv.Itoa(index)
	}
	return key
}

// isDelayedStartsRow reports whether a key is that of one of the rows.
func isDelayedStartsRow(key rowstore.Key) bool {
	return key == delayedStartsKey || strings.HasPrefix(key.Key, delayedStartsKey.Key+"/")
}

// collectDelayedStarts returns the starts without an answer that a successor has to know: those of
// this term, and those of a predecessor that still count.
func (coord *coordinator) collectDelayedStarts() []delayedStart {
	starts := coord.core.inheritedDelays.list()
	for id, l := range coord.links {
		for task := range l.delayedStartExpiries() {
			starts = append(starts, delayedStart{id, task})
		}
	}
	return starts
}

// addDelayedStarts adds the rows with the starts without an answer. A row that would be too large
// for the store gets as many as fit.
func (coord *coordinator) addDelayedStarts(rows map[rowstore.Key]string) {
	lines := make([][]string, max(1, coord.rosterRowCount))
	for _, start := range coord.collectDelayedStarts() {
		i := rosterRowOf(start.runner, len(lines))
		lines[i] = append(lines[i], start.encode())
	}
	for i, group := range lines {
		slices.Sort(group)
		group = slices.Compact(group)
		size := 0
		kept := slices.IndexFunc(group, func(line string) bool {
			size += len(line)
			return size > coord.env.Limits.maxRowBytes()
		})
		if kept >= 0 {
			coord.env.Log.WithFields(logrus.Fields{"starts": len(group), "kept": kept}).Warn("not all starts without an answer fit into their row")
			group = group[:kept]
		}
		rows[delayedStartsRowKey(i)] = strings.Join(group, "")
	}
}

// inheritDelayedStarts keeps the tasks of a predecessor's starts without an answer, which a row
// holds, from being started elsewhere.
func (coord *coordinator) inheritDelayedStarts(value string) {
	starts, unreadable := decodeDelayedStarts(value)
	if unreadable > 0 {
		coord.env.Log.WithField("lines", unreadable).Warn("unreadable starts without an answer ignored")
	}
	expiry := misdirectedExpiry(max(coord.env.Clock(), coord.predecessor.actingUntil)+maxCallDelay, coord.env.MaxLeaseDuration)
	for _, start := range starts {
		coord.core.inheritedDelays.add(start, expiry)
	}
}

// inheritedDelays holds the predecessor's starts without an answer that still count.
//
// It answers this load: a takeover of thousands of runners with several such starts each, all of
// which report within a second.
type inheritedDelays struct {
	tasks     map[string]map[jobs.TaskID]struct{} // by runner ID
	runners   map[jobs.TaskID]int                 // number of runners that may run each task
	expiresAt time.Duration                       // when all such runs have ended for certain
}

// add keeps a task from being started until a local time, or until its runner reports.
func (d *inheritedDelays) add(start delayedStart, expiry time.Duration) {
	if d.tasks == nil {
		d.tasks, d.runners = map[string]map[jobs.TaskID]struct{}{}, map[jobs.TaskID]int{}
	}
	d.expiresAt = max(d.expiresAt, expiry)
	if d.tasks[start.runner] == nil {
		d.tasks[start.runner] = map[jobs.TaskID]struct{}{}
	}
	if _, known := d.tasks[start.runner][start.task]; !known {
		d.tasks[start.runner][start.task] = struct{}{}
		d.runners[start.task]++
	}
}

// list returns the starts.
func (d *inheritedDelays) list() []delayedStart {
	var starts []delayedStart
	for runner, tasks := range d.tasks {
		for task := range tasks {
			starts = append(starts, delayedStart{runner, task})
		}
	}
	return starts
}

// releaseRunner ends the waits for a runner that has reported.
func (d *inheritedDelays) releaseRunner(id string) {
	for task := range d.tasks[id] {
		if d.runners[task]--; d.runners[task] == 0 {
			delete(d.runners, task)
		}
	}
	delete(d.tasks, id)
}

// releaseExpired ends the waits once they are over, but for runners that have answered: their reports
// say what runs.
func (d *inheritedDelays) releaseExpired(now time.Duration, hasAnswered func(runnerID string) bool) {
	if now <= d.expiresAt {
		return
	}
	for id := range d.tasks {
		if !hasAnswered(id) {
			d.releaseRunner(id)
		}
	}
}

// isEmpty reports whether no task waits.
func (d *inheritedDelays) isEmpty() bool { return len(d.runners) == 0 }

// isDelayed reports whether a task may run because of a predecessor's start without an answer.
func (d *inheritedDelays) isDelayed(task jobs.TaskID) bool { return d.runners[task] > 0 }
