package logging

import (
	"errors"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// Guards against retries that are not logged at all, as happened with retries of
// writes, and against a line for each retry, which would flood the log while the
// store is unavailable. A series of failures must produce one line at its start
// and one line with the number of failures at its end.
func TestOutageLogsOnlyStartAndEnd(t *testing.T) {
	log, hook := test.NewNullLogger()
	o := Outage{Log: log, Lost: "lost", Regained: "regained"}
	o.Record(nil)
	for range 50 {
		o.Record(errors.New("refused"))
	}
	o.Record(nil)
	o.Record(nil)
	entries := hook.AllEntries()
	if len(entries) != 2 || entries[0].Message != "lost" || entries[0].Level != logrus.WarnLevel || entries[1].Message != "regained" || entries[1].Data["failures"] != 50 {
		t.Errorf("lines %v", entries)
	}
}
