package logging

import (
	"errors"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// A failure that repeats must give one line when it begins and one with the
// count when it ends: retries of writes were not logged at all, and a line for
// each would flood the log while the store is away.
func TestOutageIsToldOnce(t *testing.T) {
	log, lines := test.NewNullLogger()
	o := Outage{Log: log, Lost: "lost", Regained: "regained"}
	o.Note(nil)
	for range 50 {
		o.Note(errors.New("refused"))
	}
	o.Note(nil)
	o.Note(nil)
	all := lines.AllEntries()
	if len(all) != 2 || all[0].Message != "lost" || all[0].Level != logrus.WarnLevel || all[1].Message != "regained" || all[1].Data["failures"] != 50 {
		t.Errorf("lines %v", all)
	}
}
