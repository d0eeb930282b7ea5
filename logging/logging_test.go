package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Guards against lines of another format, and against messages and values from
// untrusted sources that imitate another line or field.
func TestFormatterEscapesMessagesAndValues(t *testing.T) {
	cases := []struct {
		log  func(*logrus.Entry)
		want string
	}{
		{func(l *logrus.Entry) { l.WithField("shard", "east/0").WithField("epoch", 7).Info("shard taken") },
			"info ownership: shard taken epoch=7 shard=east/0"},
		{func(l *logrus.Entry) { l.WithError(errors.New("no answer")).Warn("list unusable") },
			`warning ownership: list unusable error="no answer"`},
		{func(l *logrus.Entry) { l.WithField("operator", "x level=error\ny").Info("refused\nand forged") },
			`info ownership: refused\nand forged operator="x level=error\ny"`},
		{func(l *logrus.Entry) { l.WithField("key", "").Error("empty") }, `error ownership: empty key=""`},
		{func(l *logrus.Entry) { l.Debug("below the level") }, ""},
	}
	for _, c := range cases {
		var out bytes.Buffer
		c.log(ForComponent(New(&out, logrus.InfoLevel), "ownership"))
		_, line, _ := strings.Cut(strings.TrimSuffix(out.String(), "\n"), " ")
		if line != c.want {
			t.Errorf("got %q, want %q", line, c.want)
		}
	}
}
