package strictjson

import (
	"fmt"
	"strings"
)

// maxProblems is the maximum number of problems that are reported for one
// document. It bounds the size of the answer to a caller who sends a large
// invalid document.
const maxProblems = 100

// Problem describes one error in a document. Path is the path of the field, such
// as services[0].requests[1].kind. It is empty for an error of the whole document.
type Problem struct {
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// String returns the path and the detail of the problem on one line.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Detail
	}
	return p.Path + ": " + p.Detail
}

// Error reports that a document is refused, with its problems.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Collector collects the problems of one document. The zero value is ready for
// use. It keeps the first maxProblems problems and counts the further ones.
type Collector struct {
	problems []Problem
	omitted  int
}

// Addf records a problem of the field at path, with a formatted detail.
func (c *Collector) Addf(path, format string, args ...any) {
	if len(c.problems) >= maxProblems {
		c.omitted++
		return
	}
	c.problems = append(c.problems, Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

// Err returns an *Error with the problems, or nil if there are none. If the collector
// has omitted problems, the last problem of the error states their number.
func (c *Collector) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	problems := c.problems
	if c.omitted > 0 {
		problems = append(problems, Problem{Detail: fmt.Sprintf("%d more problems", c.omitted)})
	}
	return &Error{Problems: problems}
}

// FieldPath returns the path of a field of the object at path.
func FieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ItemPath returns the path of item i of the list at path.
func ItemPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// Count returns the number of problems recorded so far, including the omitted
// ones.
func (c *Collector) Count() int {
	return len(c.problems) + c.omitted
}
