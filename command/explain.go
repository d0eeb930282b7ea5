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

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// explainCommand tells one job's story from the logs of several instances.
type explainCommand struct {
	Job   string   `arg:"positional,required" help:"the job's ID"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of the instances; standard input if none is named"`
}

// logLine is one line that concerns the job.
type logLine struct {
	source string
	time   string
	part   string
	text   string
	fields map[string]any
}

func (c *explainCommand) run(_ context.Context, _ Registry, out io.Writer) error {
	var lines []logLine
	if len(c.Files) == 0 {
		found, err := linesAbout(os.Stdin, "-", c.Job)
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
		found, err := linesAbout(file, name, c.Job)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return refused("no line is about job %s", c.Job)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, l := range lines {
		fmt.Fprintln(out, l)
	}
	return nil
}

// linesAbout reads the lines of a log that name the job or one of its tasks.
// Lines without a JSON object are passed over; a prefix before one is not. What
// is left of a line that was cut is shown as it is.
func linesAbout(in io.Reader, source, job string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	last := "" // time of the last line that has one
	for scanner.Scan() {
		text := scanner.Text()
		last = timeOf(text, last)
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, job) {
			continue
		}
		from := source
		if prefix := strings.TrimSpace(text[:begin]); prefix != "" {
			from = prefix
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[begin:]), &fields); err != nil {
			out = append(out, logLine{source: from, time: last, part: "line cut", text: text[begin:]})
			continue
		}
		if concerns(fields, job) {
			out = append(out, newLogLine(from, fields))
		}
	}
	return out, scanner.Err()
}

// timeOf returns the time in a line, or before if it has none.
func timeOf(text, before string) string {
	const field = `"time":"`
	begin := strings.Index(text, field)
	if begin < 0 {
		return before
	}
	value, _, whole := strings.Cut(text[begin+len(field):], `"`)
	if !whole {
		return before
	}
	return value
}

func concerns(fields map[string]any, job string) bool {
	task, _ := fields["task"].(string)
	return fields["job"] == job || strings.HasPrefix(task, job+".")
}

func newLogLine(source string, fields map[string]any) logLine {
	l := logLine{source: source, fields: fields}
	l.time, _ = fields["time"].(string)
	l.part, _ = fields["part"].(string)
	l.text, _ = fields["msg"].(string)
	for _, name := range []string{"time", "part", "msg", "level", "job"} {
		delete(fields, name)
	}
	return l
}

// String returns the line as a person reads it.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.time, l.source, l.part, l.text)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
