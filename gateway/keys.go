package gateway

import (
	"hash/fnv"
	"strconv"
	"strings"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Tables that hold the rows of jobs.
const (
	JobsTable     = "jobs"
	ProgressTable = "progress"
)

// Suffixes of the keys of a job's rows in JobsTable. The ID of the job precedes them.
const (
	acceptedSuffix = ".a" // a for accepted: the row that records the acceptance
	cancelSuffix   = ".c" // c for cancelled: the row that marks the job as cancelled
)

// partCount is the number of parts of JobsTable and ProgressTable, over which the rows of
// jobs are spread. A part commits one transaction at a time.
const partCount = 2

// Parts returns the names of the parts that JobsTable and ProgressTable have.
func Parts() []string {
	names := make([]string, partCount)
	for i := range names {
		names[i] = "p" + strconv.Itoa(i)
	}
	return names
}

// PartOf returns the name of the part that holds a job's rows.
func PartOf(id jobs.ID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return "p" + strconv.Itoa(int(h.Sum32()%partCount))
}

// AcceptedKey returns the key of the row that records the acceptance of a job.
func AcceptedKey(id jobs.ID) rowstore.Key {
	return rowstore.Key{Table: JobsTable, Part: PartOf(id), Key: string(id) + acceptedSuffix}
}

// CancelKey returns the key of the row that marks a job as cancelled. A job that has no other row
// was cancelled before it was accepted.
func CancelKey(id jobs.ID) rowstore.Key {
	return rowstore.Key{Table: JobsTable, Part: PartOf(id), Key: string(id) + cancelSuffix}
}

// partSeparator separates the ID of a job from the number of a further row of its progress.
const partSeparator = "/"

// ProgressKey returns the key of the row in which the coordinator stores the progress
// of a job. It always holds the state of the job.
func ProgressKey(id jobs.ID) rowstore.Key {
	return rowstore.Key{Table: ProgressTable, Part: PartOf(id), Key: string(id)}
}

// ProgressPartKey returns the key of a further row of a job's progress. A job has such rows
// if its progress does not fit into one row.
func ProgressPartKey(id jobs.ID, number int) rowstore.Key {
	key := ProgressKey(id)
	key.Key += partSeparator + strconv.Itoa(number)
	return key
}

// ParseProgressKey returns the job to which a row of ProgressTable belongs and the number of
// the row, which is zero for the row at ProgressKey. ok is false if the key is not that of a
// row of progress.
func ParseProgressKey(key string) (id jobs.ID, number int, ok bool) {
	name, digits, isPart := strings.Cut(key, partSeparator)
	id = jobs.ID(name)
	if !isPart {
		return id, 0, id.Valid()
	}
	number, err := strconv.Atoi(digits)
	return id, number, id.Valid() && err == nil && number > 0
}

// JobRange returns the range of a job's rows in JobsTable, which the gateway writes for
// clients: the row that records the acceptance and the row that marks the job as
// cancelled. The range ends before "/", the character that follows "." in ASCII.
func JobRange(id jobs.ID) rowstore.Range {
	return rowstore.Range{Table: JobsTable, Part: PartOf(id), From: string(id) + ".", To: string(id) + "/"}
}

// ParseJobKey returns the job to which a row of JobsTable belongs, and whether the row
// marks the job as cancelled. ok is false if the key is not that of a job's row.
func ParseJobKey(key string) (id jobs.ID, cancel, ok bool) {
	if name, found := strings.CutSuffix(key, acceptedSuffix); found {
		return jobs.ID(name), false, jobs.ID(name).Valid()
	}
	if name, found := strings.CutSuffix(key, cancelSuffix); found {
		return jobs.ID(name), true, jobs.ID(name).Valid()
	}
	return "", false, false
}
