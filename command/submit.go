package command

import (
	"context"
	"io"
	"net/http"

	"bergamotstile/callerapi"
	"bergamotstile/declaration"
	"bergamotstile/structs"
)

// submitCommand submits a work item through an entry instance.
type submitCommand struct {
	entryOption
	Team          string `arg:"--team,required" help:"team that the work is for"`
	Key           string `arg:"--key,required" help:"idempotency key; a repeated submit with the same key is the same work item"`
	Job           string `arg:"--job,required" help:"declared kind of job"`
	Domain        string `arg:"--domain" help:"failure domain; chosen by hash if left out"`
	Class         string `arg:"--class" help:"urgent, normal or low; as declared if left out"`
	CPUMilli      int64  `arg:"--cpu-milli" help:"processors in thousandths; as declared if left out"`
	MemoryMB      int64  `arg:"--memory-mb" help:"memory in MB; as declared if left out"`
	Accelerators  int64  `arg:"--accelerators" help:"number of accelerators; as declared if left out"`
	ExpectedRunMS int64  `arg:"--expected-run-ms" help:"expected run time; as declared if left out"`
	MaxRunMS      int64  `arg:"--max-run-ms" help:"longest run time; as declared if left out"`
	Payload       string `arg:"--payload" placeholder:"FILE" help:"input of the work"`
}

func (c *submitCommand) run(ctx context.Context, _ Registry, out io.Writer) error {
	submit, err := c.buildSubmit()
	if err != nil {
		return err
	}
	headers := map[string]string{structs.HeaderIdempotencyKey: c.Key}
	var answer structs.WorkStatus
	if err := callInstance(ctx, c.Entry, http.MethodPost, "/v1/work", headers, submit, &answer); err != nil {
		return err
	}
	return printJSON(out, answer)
}

// buildSubmit checks the options and builds the body of the submit request from
// them. A size or run time that is not given stays zero, and the instance then
// uses the value that the job declares.
func (c *submitCommand) buildSubmit() (callerapi.Submit, error) {
	if err := c.checkArguments(); err != nil {
		return callerapi.Submit{}, err
	}
	submit := callerapi.Submit{
		Team: c.Team, Key: c.Key, Job: c.Job, Class: declaration.ClassName(c.Class),
		Size:   structs.Resources{CPUMilli: c.CPUMilli, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		Domain: c.Domain, ExpectedRunMS: c.ExpectedRunMS, MaxRunMS: c.MaxRunMS,
	}
	if c.Payload == "" {
		return submit, nil
	}
	data, err := readLimitedFile(c.Payload)
	submit.Payload = data
	return submit, err
}

// checkArguments returns a usage error if an option has an invalid value.
func (c *submitCommand) checkArguments() error {
	if err := c.checkEntryAddress(); err != nil {
		return err
	}
	if c.Team == "" || c.Key == "" || c.Job == "" {
		return usageErrorf("--team, --key and --job must not be empty")
	}
	switch declaration.ClassName(c.Class) {
	case "", declaration.ClassUrgent, declaration.ClassNormal, declaration.ClassLow:
	default:
		return usageErrorf("--class must be urgent, normal or low, not %q", c.Class)
	}
	if min(c.CPUMilli, c.MemoryMB, c.Accelerators, c.ExpectedRunMS, c.MaxRunMS) < 0 {
		return usageErrorf("sizes and run times must not be negative")
	}
	return nil
}
