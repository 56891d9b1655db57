// Package hangup receives SIGHUP from the start of the process on, before main runs.
//
// SIGHUP ends a process that does not handle it, so a gateway that was told to read its
// settings again while it was still starting would be gone. The package depends on little,
// so that it is initialized among the first. Commands that do not handle SIGHUP call
// Restore.
//
// # Usage
//
//	w := gatewaysettings.NewWatcher(gatewaysettings.WatcherConfig{Signal: hangup.C(), ...})
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds a signal that nobody has received yet.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// C returns the channel of the signals, which holds one of those that came before. It
// takes Restore back.
func C() <-chan os.Signal {
	signal.Notify(received, syscall.SIGHUP)
	return received
}

// Restore restores the default action, also for a signal that came before.
func Restore() {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-received:
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
