package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// checkCommand checks a declaration without an instance.
type checkCommand struct {
	File     string `arg:"positional,required" placeholder:"FILE" help:"declaration"`
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings whose limits apply; they are checked as well"`
}

func (c *checkCommand) run(_ context.Context, _ Registry, out io.Writer) error {
	limits, err := loadLimits(c.Settings)
	if err != nil {
		return err
	}
	d, err := loadDeclaration(c.File, limits)
	if err != nil {
		return err
	}
	printf(out, "%s: deployment %s is accepted\n", c.File, d.Name)
	return nil
}

// applyCommand applies a declaration through an entry instance.
type applyCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"declaration"`
	entryOption
	Operator string `arg:"--operator,required" placeholder:"NAME" help:"who applies it"`
	Base     uint64 `arg:"--base" placeholder:"VERSION" help:"version that the file started from; the one in force if left out"`
}

// run decodes the declaration but leaves the check of its content to the
// instance, because the instance's settings may set other limits than the
// defaults.
func (c *applyCommand) run(ctx context.Context, _ Registry, out io.Writer) error {
	if err := c.checkEntryAddress(); err != nil {
		return err
	}
	if c.Operator == "" {
		return usageErrorf("--operator must not be empty")
	}
	data, err := readLimitedFile(c.File)
	if err != nil {
		return err
	}
	if _, err := declaration.Decode(data); err != nil {
		return failureErrorf("%s is refused:\n%v", c.File, err)
	}
	headers := map[string]string{
		callerapi.HeaderOperator:    c.Operator,
		callerapi.HeaderBaseVersion: strconv.FormatUint(c.Base, 10),
	}
	var answer callerapi.ApplyResponse
	if err := callInstance(ctx, c.Entry, http.MethodPost, "/v1/declarations", headers, json.RawMessage(data), &answer); err != nil {
		return err
	}
	printf(out, "accepted as version %d\n", answer.Version)
	return nil
}

// statusCommand prints the status of a work item or of the entry instance.
type statusCommand struct {
	ID string `arg:"positional" placeholder:"ID" help:"work item; the instance if left out"`
	entryOption
}

func (c *statusCommand) run(ctx context.Context, _ Registry, out io.Writer) error {
	if err := c.checkEntryAddress(); err != nil {
		return err
	}
	path := "/v1/status"
	if c.ID != "" {
		path = "/v1/work/" + url.PathEscape(c.ID)
	}
	var answer json.RawMessage
	if err := callInstance(ctx, c.Entry, http.MethodGet, path, nil, nil, &answer); err != nil {
		return err
	}
	return printJSON(out, answer)
}

// cancelCommand cancels a work item through an entry instance.
type cancelCommand struct {
	ID string `arg:"positional,required" placeholder:"ID" help:"work item"`
	entryOption
}

func (c *cancelCommand) run(ctx context.Context, _ Registry, out io.Writer) error {
	if err := c.checkEntryAddress(); err != nil {
		return err
	}
	var answer structs.WorkStatus
	if err := callInstance(ctx, c.Entry, http.MethodDelete, "/v1/work/"+url.PathEscape(c.ID), nil, nil, &answer); err != nil {
		return err
	}
	return printJSON(out, answer)
}
