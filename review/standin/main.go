//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// started is the deployment of the case, whose processes have to end with the case.
var started atomic.Pointer[deployment]

// cases holds the cases by name. Each returns an exit code.
var cases = map[string]func(rec *record, trouble bool) int{
	"ends":      playEnds,
	"row":       playRow,
	"kind":      playKind,
	"standing":  playStanding,
	"crashloop": playCrashLoop,
	"hangup":    playHangup,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	giveUp := func(cause string) {
		rec.say("not run: %s", cause)
		if d := started.Load(); d != nil {
			d.stop()
		}
		rec.close()
		os.Exit(notRun)
	}
	time.AfterFunc(110*time.Second, func() { giveUp("the case did not end in time") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { giveUp((<-signals).String()) }()
	code := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.say("exit code %d", code)
	rec.close()
	os.Exit(code)
}
