package coordinator

import (
	"hash/fnv"
	"strconv"
	"strings"

	"bergamotstile/rowstore"
)

// runnersPerRosterRow is the number of runners for which the roster gets another row. A line without
// tasks takes some 60 bytes at the end of a term, so that this many fit into a row of the store.
const runnersPerRosterRow = 900

// rosterRowKey returns the key of one of the rows of the roster.
func rosterRowKey(index int) rowstore.Key {
	key := rosterKey
	if index > 0 {
		key.Key += "/" + strconv.Itoa(index)
	}
	return key
}

// parseRosterRowKey is the inverse of rosterRowKey.
func parseRosterRowKey(key rowstore.Key) (index int, ok bool) {
	if key == rosterKey {
		return 0, true
	}
	digits, ok := strings.CutPrefix(key.Key, rosterKey.Key+"/")
	if !ok || key.Table != rosterKey.Table || key.Part != rosterKey.Part {
		return 0, false
	}
	index, err := strconv.Atoi(digits)
	return index, err == nil && index > 0
}

// encodeRosterRows returns the rows of the roster. A runner keeps its row as long as the number of
// rows stays the same, so that a change writes one row. The number does not fall during a term,
// which leaves no row with entries of earlier rosters.
func (coord *coordinator) encodeRosterRows(entries []rosterEntry) map[rowstore.Key]string {
	coord.rosterRowCount = max(coord.rosterRowCount, 1, (len(entries)+runnersPerRosterRow-1)/runnersPerRosterRow)
	groups := make([][]rosterEntry, coord.rosterRowCount)
	for _, e := range entries {
		i := rosterRowOf(e.id, len(groups))
		groups[i] = append(groups[i], e)
	}
	rows := make(map[rowstore.Key]string, len(groups))
	for i, group := range groups {
		coord.leaveOutTasks(group)
		rows[rosterRowKey(i)] = encodeRoster(group)
	}
	return rows
}

// leaveOutTasks leaves out the tasks of those runners in one row of the roster whose tasks do not fit
// into it, if need be those of runners that answer. Every task of an older job then waits for such a
// runner after a takeover.
func (coord *coordinator) leaveOutTasks(group []rosterEntry) {
	room := coord.env.Limits.maxRowBytes()
	for _, e := range group {
		room -= len(e.encode()) + 1
	}
	leftOut := 0
	for _, takesAnswering := range []bool{false, true} {
		for i := range group {
			if group[i].tasks == nil || group[i].wasAnswering != takesAnswering {
				continue
			}
			size := len(group[i].tasks.encode())
			if size > room {
				group[i].tasks = nil
				leftOut++
				continue
			}
			room -= size
		}
	}
	if leftOut > 0 {
		coord.env.Log.WithField("runners", leftOut).Warn("tasks of runners do not fit into their row of the roster")
	}
}

// rosterRowOf returns which of a number of rows holds a runner.
func rosterRowOf(id string, rows int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return int(hash.Sum32() % uint32(rows))
}

// toPuts returns the writes of rows.
func toPuts(rows map[rowstore.Key]string) []rowstore.Put {
	puts := make([]rowstore.Put, 0, len(rows))
	for key, value := range rows {
		puts = append(puts, rowstore.Put{Key: key, Value: []byte(value)})
	}
	return puts
}

// hasRosterRow reports whether a row of the roster was refused.
func (e *rejectedRowsError) hasRosterRow() bool {
	for _, row := range e.rows {
		if _, ok := parseRosterRowKey(row.Key); ok {
			return true
		}
	}
	return false
}
