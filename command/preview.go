package command

import (
	"context"
	"errors"
	"io"

	"bergamotstile/declaration"
	"bergamotstile/preview"
)

// previewCommand reports on a declaration before it is applied, without an instance. It is
// not named plan or diff: a plan is what the scheduler makes, and a difference is only one
// part of the report.
type previewCommand struct {
	File     string `arg:"positional,required" placeholder:"FILE" help:"declaration"`
	InForce  string `arg:"--in-force" placeholder:"FILE" help:"declaration in force, to list what differs"`
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings whose limits apply; they are checked as well"`
	JSON     bool   `arg:"--json" help:"print the report as one JSON object"`
}

func (c *previewCommand) run(_ context.Context, _ Registry, out io.Writer) error {
	limits, err := loadLimits(c.Settings)
	if err != nil {
		return err
	}
	file, err := readDocument(c.File)
	if err != nil {
		return err
	}
	var inForce *preview.Document
	if c.InForce != "" {
		if inForce, err = readDocument(c.InForce); err != nil {
			return err
		}
	}
	report := preview.Run(*file, inForce, limits)
	if c.JSON {
		if err := printJSON(out, report); err != nil {
			return err
		}
	} else {
		printf(out, "%s", report.Text())
	}
	if report.HasFaults() {
		return failureErrorf("%s: %s", c.File, report.Summary())
	}
	return nil
}

// readDocument reads a declaration for a report. The error is a usageError if the file
// cannot be read. A file that is too large for an apply is left to the report, as an
// error like any other for which an instance refuses it.
func readDocument(path string) (*preview.Document, error) {
	data, err := readLimitedFile(path)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		return nil, err
	}
	return &preview.Document{Name: path, Data: data, Err: err}, nil
}

// loadLimits returns the limits of a settings file, or the default ones if path is empty.
func loadLimits(path string) (declaration.Limits, error) {
	if path == "" {
		return declaration.DefaultLimits(), nil
	}
	s, err := loadSettings(path)
	if err != nil {
		return declaration.Limits{}, err
	}
	return s.Limits(), nil
}
