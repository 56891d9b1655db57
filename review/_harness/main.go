// Command harness plays the cases of a review against real gateway processes, with
// stand-ins of the store, the searchers and the clients on loopback.
//
// # Usage
//
//	harness CASE RECORD-FILE
//
// It runs in the root of the repository. It exits with 1 if the rule of the case was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime ends a case that does not end by itself.
const maxTime = 118 * time.Second

var cases = map[string]func(rec *record, dir string, trouble bool) (broken bool){
	"failed-run":   failedRun,
	"broken-extra": brokenExtra,
	"late-beat":    lateBeat,
	"early-reject": earlyReject,
	"odd-entries":  oddEntries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD-FILE")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("creating a temporary folder: %v", err)
	}
	workDir = dir
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			cannotRun("%v", s)
		case <-time.After(maxTime):
			cannotRun("not over after %s", maxTime)
		}
	}()
	broken := cases[os.Args[1]](newRecord(os.Args[2]), dir, os.Getenv("TROUBLE") != "0")
	cleanUp()
	if broken {
		os.Exit(1)
	}
}
