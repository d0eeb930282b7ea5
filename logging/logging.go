// Package logging provides loggers whose lines have the same format in all
// components of a process.
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

// componentField is the key of the log field that names the component.
const componentField = "part"

// timeFormat is RFC 3339 with milliseconds, for times in UTC.
const timeFormat = "2006-01-02T15:04:05.000Z"

// New returns a logger that writes lines to out in the format of Formatter.
func New(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(Formatter{})
	return log
}

// ForComponent returns a logger whose lines carry the name of a component in the field
// "part". If log is nil, the lines go to the standard logger of logrus.
func ForComponent(log logrus.FieldLogger, component string) *logrus.Entry {
	if log == nil {
		log = logrus.StandardLogger()
	}
	return log.WithField(componentField, component)
}

// Formatter formats each entry as one line "time level component: message
// key=value ...". The keys are sorted.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	var line bytes.Buffer
	line.WriteString(e.Time.UTC().Format(timeFormat))
	line.WriteByte(' ')
	line.WriteString(e.Level.String())
	line.WriteByte(' ')
	if component, ok := e.Data[componentField]; ok {
		fmt.Fprintf(&line, "%v: ", component)
	}
	line.WriteString(escapeLineBreaks(e.Message))
	for _, key := range slices.Sorted(maps.Keys(e.Data)) {
		if key != componentField {
			fmt.Fprintf(&line, " %s=%s", key, quoteIfAmbiguous(fmt.Sprint(e.Data[key])))
		}
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

// escapeLineBreaks escapes the line breaks in a message, so that it stays on one
// line.
func escapeLineBreaks(message string) string {
	return strings.NewReplacer("\n", `\n`, "\r", `\r`).Replace(message)
}

// quoteIfAmbiguous quotes a value that is empty or contains characters by which a
// reader could confuse it with the fields around it.
func quoteIfAmbiguous(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\\") || strings.ContainsFunc(value, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(value)
	}
	return value
}
