package gateway

import (
	"hash/fnv"
	"strconv"
	"strings"

	"bergamotstile/jobs"
	"bergamotstile/rowstore"
)

// Tables of jobs.
const (
	JobsTable     = "jobs"
	ProgressTable = "progress"
)

// Suffixes of the rows of a job.
const (
	acceptedSuffix = ".a"
	cancelSuffix   = ".c"
)

// parts is the number of parts that jobs are spread over. A part commits one
// transaction at a time.
const parts = 2

// Parts returns the names of the parts of the jobs' tables.
func Parts() []string {
	names := make([]string, parts)
	for i := range names {
		names[i] = "p" + strconv.Itoa(i)
	}
	return names
}

// PartOf returns the part that holds a job's rows.
func PartOf(id jobs.ID) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return "p" + strconv.Itoa(int(h.Sum32()%parts))
}

// AcceptedKey is the row that records a job's acceptance.
func AcceptedKey(id jobs.ID) rowstore.Key {
	return rowstore.Key{Table: JobsTable, Part: PartOf(id), Key: string(id) + acceptedSuffix}
}

// CancelKey is the row that marks a job as cancelled.
func CancelKey(id jobs.ID) rowstore.Key {
	return rowstore.Key{Table: JobsTable, Part: PartOf(id), Key: string(id) + cancelSuffix}
}

// ProgressKey is the row that records how far a job has got.
func ProgressKey(id jobs.ID) rowstore.Key {
	return rowstore.Key{Table: ProgressTable, Part: PartOf(id), Key: string(id)}
}

// JobRange selects the rows that clients write for a job.
func JobRange(id jobs.ID) rowstore.Range {
	return rowstore.Range{Table: JobsTable, Part: PartOf(id), From: string(id) + ".", To: string(id) + "/"}
}

// ParseJobKey returns the job that a row of the jobs' table belongs to, and
// whether the row marks it as cancelled.
func ParseJobKey(key string) (id jobs.ID, cancel, ok bool) {
	if name, found := strings.CutSuffix(key, acceptedSuffix); found {
		return jobs.ID(name), false, jobs.ID(name).Valid()
	}
	if name, found := strings.CutSuffix(key, cancelSuffix); found {
		return jobs.ID(name), true, jobs.ID(name).Valid()
	}
	return "", false, false
}
