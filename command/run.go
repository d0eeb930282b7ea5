package command

import (
	"context"
	"errors"
	"io"
)

// entryCommand runs an entry instance.
type entryCommand struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of the instance"`
}

func (c *entryCommand) run(ctx context.Context, registry Registry, _ io.Writer) error {
	s, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	if registry.Entry == nil {
		return notBuiltInError("entry")
	}
	return ignoreRequestedStop(ctx, registry.Entry(ctx, s))
}

// ServeOptions holds the options of the serve command, which runs an entry
// instance on the platform on which the users host the program.
type ServeOptions struct {
	Settings string `arg:"--settings,env:BERGAMOTSTILE_SETTINGS,required" placeholder:"FILE" help:"the platform's settings file"`
	LogLevel string `arg:"--log-level" default:"info" placeholder:"LEVEL" help:"error, warning, info or debug"`
}

func (c *ServeOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	return runIfBuiltIn(ctx, "serve", registry.Serve, *c, out)
}

// registryFunc is the type of the functions in a Registry that take the options
// of their subcommand.
type registryFunc[Options any] = func(ctx context.Context, o Options, out io.Writer) error

// runIfBuiltIn calls run and waits until it returns. It returns the error that
// the subcommand is not built in if run is nil.
func runIfBuiltIn[Options any](ctx context.Context, name string, run registryFunc[Options], o Options, out io.Writer) error {
	if run == nil {
		return notBuiltInError(name)
	}
	return ignoreRequestedStop(ctx, run(ctx, o, out))
}

// ignoreRequestedStop returns nil if err says that the run was cancelled and ctx
// has ended, because the run then stopped on request. Otherwise it returns err.
func ignoreRequestedStop(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// DemoOptions holds the options of the demo.
type DemoOptions struct {
	Declaration string `arg:"--declaration" placeholder:"FILE" help:"deployment to run instead of the built-in one"`
	Seed        int64  `arg:"--seed" default:"1" help:"seed of the load"`
	Verbose     bool   `arg:"--verbose" help:"log what the instances do"`
}

func (c *DemoOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	return runIfBuiltIn(ctx, "demo", registry.Demo, *c, out)
}

// BenchOptions holds the options of the policy bench.
type BenchOptions struct {
	Deployment string `arg:"--deployment" default:"society" placeholder:"NAME" help:"society or lavigne"`
	Policy     string `arg:"--policy" default:"all" placeholder:"NAME" help:"bergamotstile, best-fit, separate, threshold or all"`
	Seed       int64  `arg:"--seed" default:"1" help:"seed of the workload and its faults"`
}

func (c *BenchOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	return runIfBuiltIn(ctx, "bench", registry.Bench, *c, out)
}

// standinCommand holds the subcommands that run a stand-in for an outside system.
type standinCommand struct {
	Platform *PlatformOptions `arg:"subcommand:platform" help:"table, object store and membership list"`
	Worker   *WorkerOptions   `arg:"subcommand:worker" help:"a machine that runs tasks"`
	Runner   *RunnerOptions   `arg:"subcommand:runner" help:"a process of an endpoint"`
	Proxy    *ProxyOptions    `arg:"subcommand:proxy" help:"a TCP proxy that injects faults"`
}

// run returns a usage error: it is called only if no stand-in is named.
func (c *standinCommand) run(context.Context, Registry, io.Writer) error {
	return usageErrorf("standin: one of platform, worker, runner or proxy is missing")
}

// PlatformOptions holds the options of the platform's stand-in.
type PlatformOptions struct {
	Listen    string `arg:"--listen,required" placeholder:"ADDRESS" help:"IP number and port to listen on"`
	Seed      uint64 `arg:"--seed" default:"1" help:"seed of injected faults"`
	ListLagMS int64  `arg:"--list-lag-ms" help:"how far the membership list lags"`
}

func (c *PlatformOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	if err := checkAddress("--listen", c.Listen); err != nil {
		return err
	}
	return runIfBuiltIn(ctx, "standin platform", registry.StandinPlatform, *c, out)
}

// MemberOptions holds the options of all stand-ins that register on the
// membership list.
type MemberOptions struct {
	Listen   string `arg:"--listen,required" placeholder:"ADDRESS" help:"IP number and port to listen on"`
	Platform string `arg:"--platform,required" placeholder:"ADDRESS" help:"address of the platform"`
	Name     string `arg:"--name,required" help:"name on the membership list"`
	Domain   string `arg:"--domain,required" help:"failure domain"`
}

// checkMemberAddresses returns a usage error unless both addresses are an IP
// address and a port.
func (c *MemberOptions) checkMemberAddresses() error {
	return checkAddresses(map[string]string{"--listen": c.Listen, "--platform": c.Platform})
}

// WorkerOptions holds the options of a worker's stand-in.
type WorkerOptions struct {
	MemberOptions
	Rack         string `arg:"--rack" help:"rack"`
	CPUMilli     int64  `arg:"--cpu-milli" default:"32000" help:"processors in thousandths"`
	MemoryMB     int64  `arg:"--memory-mb" default:"128000" help:"memory in MB"`
	Accelerators int64  `arg:"--accelerators" default:"0" help:"number of accelerators"`
	UsageLagMS   int64  `arg:"--usage-lag-ms" default:"1000" help:"age of reported usage"`
	Unlisted     bool   `arg:"--unlisted" help:"do not join the membership list"`
}

func (c *WorkerOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	if err := c.checkMemberAddresses(); err != nil {
		return err
	}
	return runIfBuiltIn(ctx, "standin worker", registry.StandinWorker, *c, out)
}

// RunnerOptions holds the options of a runner's stand-in.
type RunnerOptions struct {
	MemberOptions
	Service     string `arg:"--service,required" help:"service that the runner answers for"`
	Rack        string `arg:"--rack" help:"rack"`
	Slots       int    `arg:"--slots" default:"8" help:"requests worked on at once"`
	Connections int    `arg:"--connections" default:"64" help:"connections accepted"`
	ServiceMS   int64  `arg:"--service-ms" default:"50" help:"time that a request takes"`
	Seed        uint64 `arg:"--seed" default:"1" help:"seed of injected faults"`
	Unlisted    bool   `arg:"--unlisted" help:"do not join the membership list"`
}

func (c *RunnerOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	if err := c.checkMemberAddresses(); err != nil {
		return err
	}
	return runIfBuiltIn(ctx, "standin runner", registry.StandinRunner, *c, out)
}

// ProxyOptions holds the options of the fault-injecting proxy.
type ProxyOptions struct {
	Listen  string `arg:"--listen,required" placeholder:"ADDRESS" help:"IP number and port to listen on"`
	Target  string `arg:"--target,required" placeholder:"ADDRESS" help:"address to pass connections on to"`
	Control string `arg:"--control,required" placeholder:"ADDRESS" help:"IP number and port of the fault API"`
}

func (c *ProxyOptions) run(ctx context.Context, registry Registry, out io.Writer) error {
	if err := checkAddresses(map[string]string{"--listen": c.Listen, "--target": c.Target}); err != nil {
		return err
	}
	return runIfBuiltIn(ctx, "standin proxy", registry.StandinProxy, *c, out)
}
