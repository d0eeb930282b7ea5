// Package logging gives the log lines of all parts one format.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
)

// fieldPart is the field that names the part.
const fieldPart = "part"

// timeFormat is RFC 3339 in UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// New returns a logger that writes lines in the common format.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(Formatter{})
	return log
}

// Part returns a logger whose lines have the prefix of a part. Without a
// logger, the lines go to the process's standard logger.
func Part(log logrus.FieldLogger, part string) *logrus.Entry {
	if log == nil {
		log = logrus.StandardLogger()
	}
	return log.WithField(fieldPart, part)
}

// Formatter writes "time level part: message key=value ...", one line for each
// entry, with the keys sorted.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	var line bytes.Buffer
	line.WriteString(e.Time.UTC().Format(timeFormat))
	line.WriteByte(' ')
	line.WriteString(e.Level.String())
	line.WriteByte(' ')
	if part, ok := e.Data[fieldPart]; ok {
		fmt.Fprintf(&line, "%v: ", part)
	}
	line.WriteString(escape(e.Message))
	for _, key := range slices.Sorted(maps.Keys(e.Data)) {
		if key != fieldPart {
			fmt.Fprintf(&line, " %s=%s", key, quote(fmt.Sprint(e.Data[key])))
		}
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

// escape keeps a message on one line.
func escape(message string) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(message)
}

// quote quotes a value that could not be told from the fields around it.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\\") || strings.ContainsFunc(value, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(value)
	}
	return value
}
