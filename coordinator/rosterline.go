package coordinator

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"bergamotstile/jobs"
)

// Markers that follow the expiry in the line of a runner. Readers ignore markers that they
// do not know.
const (
	answeringMarker = "answering" // the runner was answering when its expiry was stored
	idleMarker      = "idle"      // no run existed on the runner when its expiry was stored
	completeMarker  = "complete"  // each task that may run on the runner is named
)

// Prefixes of markers with a value. Incarnations and times in milliseconds are in base 36.
const (
	// settledPrefix begins the marker with the runner's settled incarnation, and fencedPrefix the one
	// with rosterEntry.fenced. Both may follow the runner's ID without an expiry.
	settledPrefix = "@"
	fencedPrefix  = "~"
	// lateCallPrefix begins the marker with rosterEntry.lateCallExpiry.
	lateCallPrefix = "^"
	// The markers of tasks, one for each holdKind, hold the task and its expiry.
	runningPrefix     = "+"
	unconfirmedPrefix = "?"
	delayedPrefix     = "!"
	markerSeparator   = "/" // between the parts of a value
	markerBase        = 36
)

// taskPrefixes holds the prefixes of the markers of tasks by holdKind.
var taskPrefixes = [...]string{heldRunning: runningPrefix, heldUnconfirmed: unconfirmedPrefix, heldDelayed: delayedPrefix}

// fencedProcess is a process of a runner that refuses all calls to earlier processes.
type fencedProcess struct {
	incarnation int64
	// expiry is when every lease has expired that such a call granted before, on the store's clock.
	expiry time.Duration
}

// runnerTasks names the tasks that may run on a runner. Expiries are on the store's clock.
type runnerTasks struct {
	tasks []heldTask
	// isComplete is set if no other task of the coordinator that stored them, or of one before it,
	// can run there. It stays so while the runner's expiry is stored, as no task is started on the
	// runner meanwhile.
	isComplete bool
}

// rosterEntry is the line for one runner in the roster.
type rosterEntry struct {
	id string
	// expiry is when every lease on the runner has expired, on the store's clock, or zero
	// if none is stored.
	expiry time.Duration
	// wasAnswering is set if the runner was answering when the expiry was stored, just
	// before the coordinator stopped.
	wasAnswering bool
	// isIdle is set if no run existed on the runner when the expiry was stored, and the end
	// of every earlier run there was stored. It stays so while the expiry is stored, as no
	// task is started on the runner meanwhile.
	isIdle bool
	// settledIncarnation identifies the runner's process if no misdirected call can hold a lease
	// on it beyond those that its clock bounds; zero if that is not known. A runner that has
	// started anew since, or only just before, may hold leases longer than those.
	settledIncarnation int64
	// fenced is the runner's process if it is not settled yet but refuses misdirected calls. Its
	// fields are zero if there is none.
	fenced fencedProcess
	// lateCallExpiry is when the last lease has expired that a call without an answer can have
	// granted to any process of the runner, on the store's clock. It is stored with an expiry only,
	// since no lease is granted on the runner then.
	lateCallExpiry time.Duration
	// tasks names the tasks that may run on the runner. It is stored with an expiry only, and nil if
	// they are not known or do not fit into the row.
	tasks *runnerTasks
}

// encodeRoster returns one line for each runner, in the order of their IDs. It rounds
// expiries up to milliseconds, and sorts entries.
func encodeRoster(entries []rosterEntry) string {
	slices.SortFunc(entries, func(a, b rosterEntry) int { return strings.Compare(a.id, b.id) })
	lines := make([]string, 0, len(entries))
	for _, e := range entries {
		lines = append(lines, e.encode()+e.tasks.encode())
	}
	return strings.Join(lines, "\n")
}

// encode returns the line for the runner without its tasks.
func (e rosterEntry) encode() string {
	line := e.id
	if e.expiry > 0 {
		line += " " + strconv.FormatInt(roundUpToMS(e.expiry), 10)
		if e.wasAnswering {
			line += " " + answeringMarker
		}
		if e.isIdle {
			line += " " + idleMarker
		}
		if e.lateCallExpiry > 0 {
			line += " " + lateCallPrefix + encodeTime(e.lateCallExpiry)
		}
	}
	if e.settledIncarnation != 0 {
		line += " " + settledPrefix + strconv.FormatInt(e.settledIncarnation, markerBase)
	}
	if e.fenced.incarnation != 0 {
		line += " " + fencedPrefix + strconv.FormatInt(e.fenced.incarnation, markerBase) + markerSeparator + encodeTime(e.fenced.expiry)
	}
	return line
}

// encode returns the markers of the tasks, in a fixed order. The receiver may be nil.
func (t *runnerTasks) encode() string {
	if t == nil {
		return ""
	}
	markers := make([]string, 0, len(t.tasks))
	for _, held := range t.tasks {
		markers = append(markers, " "+taskPrefixes[held.kind]+held.task.String()+markerSeparator+encodeTime(held.expiry))
	}
	slices.Sort(markers)
	if t.isComplete {
		markers = append(markers, " "+completeMarker)
	}
	return strings.Join(markers, "")
}

// roundUpToMS returns a time in milliseconds.
func roundUpToMS(t time.Duration) int64 { return int64((t + time.Millisecond - 1) / time.Millisecond) }

// encodeTime returns a time as markers hold it, rounded up.
func encodeTime(t time.Duration) string { return strconv.FormatInt(roundUpToMS(t), markerBase) }

// decodeTime is the inverse of encodeTime.
func decodeTime(digits string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(digits, markerBase, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0 && ms < int64(maxDecodedTime/time.Millisecond)
}

// maxDecodedTime is above every time on the store's clock, and far from the largest duration.
const maxDecodedTime = 100 * 365 * 24 * time.Hour

// decodeRoster is the inverse of encodeRoster. It ignores an unreadable expiry.
func decodeRoster(value string) []rosterEntry {
	var entries []rosterEntry
	for line := range strings.Lines(value) {
		if fields := strings.Fields(line); len(fields) > 0 {
			entries = append(entries, decodeRosterLine(fields))
		}
	}
	return entries
}

// decodeRosterLine decodes the fields of a line, of which the first is the runner's ID. Without a
// readable expiry the markers that depend on it are ignored.
func decodeRosterLine(fields []string) rosterEntry {
	e := rosterEntry{id: fields[0]}
	if len(fields) > 1 {
		if ms, err := strconv.ParseInt(fields[1], 10, 64); err == nil && ms > 0 {
			e.expiry = time.Duration(ms) * time.Millisecond
			e.decodeExpiryMarkers(fields[2:])
		}
	}
	for _, marker := range fields[1:] {
		switch {
		case strings.HasPrefix(marker, settledPrefix):
			e.settledIncarnation, _ = strconv.ParseInt(marker[len(settledPrefix):], markerBase, 64)
		case strings.HasPrefix(marker, fencedPrefix):
			e.fenced = decodeFencedProcess(marker[len(fencedPrefix):])
		}
	}
	return e
}

// decodeExpiryMarkers decodes the markers that are stored with an expiry only. Tasks of which one is
// unreadable do not count as complete.
func (e *rosterEntry) decodeExpiryMarkers(markers []string) {
	var tasks runnerTasks
	unreadable := 0
	for _, marker := range markers {
		if kind := slices.Index(taskPrefixes[:], marker[:1]); kind >= 0 {
			held, ok := decodeHeldTask(marker[1:], holdKind(kind))
			if !ok {
				unreadable++
				continue
			}
			tasks.tasks = append(tasks.tasks, held)
			continue
		}
		switch {
		case marker == answeringMarker:
			e.wasAnswering = true
		case marker == idleMarker:
			e.isIdle = true
		case marker == completeMarker:
			tasks.isComplete = true
		case strings.HasPrefix(marker, lateCallPrefix):
			e.lateCallExpiry, _ = decodeTime(marker[len(lateCallPrefix):])
		}
	}
	tasks.isComplete = tasks.isComplete && unreadable == 0 && e.lateCallExpiry > 0
	if tasks.isComplete || len(tasks.tasks) > 0 {
		e.tasks = &tasks
	}
}

// decodeFencedProcess decodes the value of a marker with a fenced process.
func decodeFencedProcess(value string) fencedProcess {
	digits, expiry, _ := strings.Cut(value, markerSeparator)
	incarnation, err := strconv.ParseInt(digits, markerBase, 64)
	at, ok := decodeTime(expiry)
	if err != nil || !ok {
		return fencedProcess{}
	}
	return fencedProcess{incarnation, at}
}

// decodeHeldTask decodes the value of a marker with a task.
func decodeHeldTask(value string, kind holdKind) (heldTask, bool) {
	name, expiry, _ := strings.Cut(value, markerSeparator)
	task, err := jobs.ParseTaskID(name)
	at, ok := decodeTime(expiry)
	return heldTask{task, kind, at}, err == nil && ok
}
