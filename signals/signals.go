// Package signals receives SIGHUP for the whole life of a process.
//
// The default action of SIGHUP ends the process. The signal may arrive at any time,
// also in the first milliseconds of a process and while it drains, so that the handler
// must not depend on which components run. The package installs the handler when it is
// initialised: its only imports are of the standard library, so that this happens before
// the other packages of the program are initialised, which takes some milliseconds. It
// never removes the handler.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// hangups receives SIGHUP. One signal is kept for a reader that is not ready yet;
// further ones tell it nothing new.
var hangups = notifyHangups()

func notifyHangups() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Hangups returns the channel that receives SIGHUP, also one that arrived before the
// call. Only one component of a process may read from it.
func Hangups() <-chan os.Signal { return hangups }

// RestoreHangup restores the default action of SIGHUP, for commands that serve nothing
// and should end with their terminal. If a signal has arrived before, the process ends.
func RestoreHangup() {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-hangups:
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
