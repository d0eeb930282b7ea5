package coordinator

import (
	"slices"
	"strconv"
	"strings"

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
	var starts []delayedStart
	for id := range coord.core.heldTasks.byRunner {
		for _, held := range coord.core.heldTasks.of(id) {
			if held.kind == heldDelayed {
				starts = append(starts, delayedStart{id, held.task})
			}
		}
	}
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
	for _, start := range starts {
		coord.core.HoldTask(start.runner, heldTask{start.task, heldDelayed, coord.lateCallExpiry(start.runner)})
	}
}
