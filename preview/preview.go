// Package preview reports on a declaration before it is applied: its errors, entries
// that have no effect, limits that contradict each other, and what differs from the
// version in force. It has no state and does no I/O. The errors come from the same checks
// that an entry instance applies; see package declaration.
package preview

import (
	"errors"

	"bergamotstile/declaration"
	"bergamotstile/strictjson"
)

// Document is a declaration file.
type Document struct {
	// Name is the name of the file in the report.
	Name string
	Data []byte
	// Err is why Data is missing, if an instance would refuse the file without reading
	// all of it.
	Err error
}

func (f Document) decode() (*declaration.Deployment, error) {
	if f.Err != nil {
		return nil, f.Err
	}
	return declaration.Decode(f.Data)
}

// Report is the result of a preview. Findings are looked for only if File has no
// errors, and differences only if neither file has.
type Report struct {
	File string `json:"file"`
	// InForce is the file with the version in force, or empty if none was given.
	InForce string `json:"in_force,omitempty"`
	// Deployment is the name that File declares. It is empty if File cannot be decoded.
	Deployment string    `json:"deployment,omitempty"`
	Errors     []Problem `json:"errors"`
	Findings   []Finding `json:"findings"`
	// Compared says that the differences from InForce have been looked for.
	Compared    bool         `json:"compared"`
	Differences []Difference `json:"differences"`
}

// Problem is an error for which an instance refuses a declaration. Path is empty for an
// error of the whole file.
type Problem struct {
	File   string `json:"file"`
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// Finding is an entry of a valid declaration that has no effect or contradicts another
// one. Rule is the stable name of the check.
type Finding struct {
	Path   string `json:"path"`
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// HasFaults reports whether the report contains errors or findings. Differences are no
// faults.
func (r *Report) HasFaults() bool {
	return len(r.Errors) > 0 || len(r.Findings) > 0
}

// Run returns the report on a declaration, and on what it changes if inForce is not nil.
func Run(file Document, inForce *Document, limits declaration.Limits) *Report {
	r := &Report{File: file.Name, Errors: []Problem{}, Findings: []Finding{}, Differences: []Difference{}}
	next := r.load(file, limits)
	if next != nil {
		r.Findings = append(r.Findings, findFaults(next)...)
	}
	if inForce == nil {
		return r
	}
	r.InForce = inForce.Name
	current := r.loadInForce(*inForce, limits)
	if next == nil || current == nil {
		return r
	}
	if r.addErrors(file.Name, next.CheckChange(current)) {
		return r
	}
	r.Compared = true
	r.Differences = append(r.Differences, compare(current, next)...)
	return r
}

// load decodes and checks the declaration. It records the errors and returns nil if there
// are any.
func (r *Report) load(file Document, limits declaration.Limits) *declaration.Deployment {
	d, err := file.decode()
	if err == nil {
		r.Deployment = d.Name
		err = d.Check(limits)
	}
	if r.addErrors(file.Name, err) {
		return nil
	}
	return d
}

// loadInForce decodes and checks the version in force. An instance with a larger
// request_timeout_max_ms may have accepted it, so its timeouts are not compared with that
// limit.
func (r *Report) loadInForce(file Document, limits declaration.Limits) *declaration.Deployment {
	d, err := file.decode()
	if err == nil {
		limits.RequestTimeoutMaxMS = max(limits.RequestTimeoutMaxMS, d.LongestTimeoutMS())
		err = d.Check(limits)
	}
	if r.addErrors(file.Name, err) {
		return nil
	}
	return d
}

// addErrors records the problems of err and reports whether there are any.
func (r *Report) addErrors(file string, err error) bool {
	if err == nil {
		return false
	}
	var refused *strictjson.Error
	if !errors.As(err, &refused) {
		r.Errors = append(r.Errors, Problem{File: file, Detail: err.Error()})
		return true
	}
	for _, p := range refused.Problems {
		r.Errors = append(r.Errors, Problem{File: file, Path: p.Path, Detail: p.Detail})
	}
	return true
}
