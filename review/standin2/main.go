//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxScriptTime bounds a script. The pages of the review allow 120 s.
const maxScriptTime = 110 * time.Second

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// script plays one case. It returns what broke the rule, an empty string if the rule held,
// or an error if the case could not run.
type script func(ctx context.Context, rec *record, trouble bool) (broken string, err error)

var scripts = map[string]script{
	"schedule":  playSchedule,
	"longtask":  playLongTask,
	"cancel":    playCancel,
	"recut":     playRecut,
	"retention": playRetention,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNoRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxScriptTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := scripts[os.Args[1]](ctx, rec, trouble)
	switch {
	case err != nil:
		rec.write("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNoRun
	case broken != "":
		rec.write("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	rec.write("held")
	fmt.Println("held")
	return exitHeld
}
