package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// maxLogLineBytes bounds the length of a line. Reading a log with a longer line
// fails.
const maxLogLineBytes = 1 << 20

// explainCommand prints what the logs of several instances contain about one
// job, in the order of time.
type explainCommand struct {
	Job   string   `arg:"positional,required" help:"the job's ID"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of the instances; standard input if none is named"`
}

// logLine is one line of a log that names the job or one of its tasks.
type logLine struct {
	source    string // name of the log file, or the text before the line's JSON object
	time      string
	component string
	text      string         // the message, or all of a JSON object that cannot be decoded
	fields    map[string]any // the other fields, without the level and the job
}

func (c *explainCommand) run(_ context.Context, _ Registry, out io.Writer) error {
	var lines []logLine
	if len(c.Files) == 0 {
		found, err := readJobLines(os.Stdin, "-", c.Job)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		found, err := readJobLines(file, name, c.Job)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return failureErrorf("no line is about job %s", c.Job)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return nil
}

// readJobLines returns the lines of a log that name the job or one of its tasks.
// Each line of a log is a JSON object. Text before the object, which another
// program may have added, replaces source as the source of the line. Lines
// without an opening brace are skipped. A line that contains the job's ID but
// cannot be decoded, for example because it was cut, is returned undecoded.
func readJobLines(in io.Reader, source, job string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	lastTime := "" // time of the latest line that contains a time
	for scanner.Scan() {
		text := scanner.Text()
		lastTime = findTime(text, lastTime)
		jsonStart := strings.IndexByte(text, '{')
		if jsonStart < 0 || !strings.Contains(text, job) {
			continue
		}
		lineSource := source
		if prefix := strings.TrimSpace(text[:jsonStart]); prefix != "" {
			lineSource = prefix
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[jsonStart:]), &fields); err != nil {
			lines = append(lines, logLine{source: lineSource, time: lastTime, component: "line cut", text: text[jsonStart:]})
			continue
		}
		if concernsJob(fields, job) {
			lines = append(lines, newLogLine(lineSource, fields))
		}
	}
	return lines, scanner.Err()
}

// findTime returns the value of the field "time" in a line, or fallback if the
// line does not contain the whole field. The line need not be valid JSON.
func findTime(text, fallback string) string {
	const prefix = `"time":"`
	prefixStart := strings.Index(text, prefix)
	if prefixStart < 0 {
		return fallback
	}
	value, _, closed := strings.Cut(text[prefixStart+len(prefix):], `"`)
	if !closed {
		return fallback
	}
	return value
}

// concernsJob reports whether the fields of a line name the job itself or one of
// its tasks, whose IDs start with the job's ID and a dot.
func concernsJob(fields map[string]any, job string) bool {
	task, _ := fields["task"].(string)
	return fields["job"] == job || strings.HasPrefix(task, job+".")
}

// newLogLine returns the log line with the given fields. It removes the fields
// that String prints first or not at all from the map.
func newLogLine(source string, fields map[string]any) logLine {
	l := logLine{source: source, fields: fields}
	l.time, _ = fields["time"].(string)
	l.component, _ = fields["part"].(string)
	l.text, _ = fields["msg"].(string)
	for _, name := range []string{"time", "part", "msg", "level", "job"} {
		delete(fields, name)
	}
	return l
}

// String returns the line as text: the time, the source, the component, the message
// and then the other fields sorted by name.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.time, l.source, l.component, l.text)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
