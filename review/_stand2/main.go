// Command stand2 runs the cases of the second review that are scripts. It starts gateways as
// processes of their own, and plays the store, the searchers and the clients itself.
//
// # Usage
//
//	target/review/stand2 CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) []string{
	"late-copy": lateCopy,
	"cut-watch": cutWatch,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		unable("usage: stand2 CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		unable(err)
	}
	r := newRecord(os.Args[2])
	r.add("case %s, trouble %t", os.Args[1], trouble)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { unable(<-interrupted) }()
	time.AfterFunc(115*time.Second, func() { unable("it took too long") })
	d := newDeployment(dir, r)
	broken := cases[os.Args[1]](d, trouble)
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	for _, b := range broken {
		r.add("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	r.add("the rule held")
	fmt.Println("the rule held")
}
