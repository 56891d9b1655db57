// Package entry is one entry VM of the tier: it puts together everything
// that runs there and takes it down again.
//
// # Usage
//
//	n, err := entry.New(entry.Config{Settings: s, LogOutput: os.Stderr})
//	if err != nil { ... }
//	err = n.Run(ctx) // until ctx ends, then a graceful stop
package entry

import (
	"hash/maphash"
	"io"

	"egrethaven/internal/back/directory"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/settings"
)

// Config describes a Node.
type Config struct {
	Settings settings.Settings
	// LogOutput takes the structured log; nil drops it.
	LogOutput io.Writer
	// Policy of queries; the zero value is scatter.Current.
	Policy scatter.Policy
	// Seed of random choices; 0 draws one.
	Seed uint64
}

// Node is one entry VM.
type Node struct {
	c     Config
	clock *clock.Clock
	log   *event.Log

	store     *kv.Client
	vms       *vmlist.Poller
	searches  *config.Manager
	directory *directory.Directory
	engine    *scatter.Engine
}

// New builds a node and binds its ports. Nothing is served before Run.
func New(c Config) (*Node, error) {
	if c.Seed == 0 {
		c.Seed = maphash.String(maphash.MakeSeed(), c.Settings.Node.ID)
	}
	if c.Policy.Name == "" {
		c.Policy = scatter.Current()
	}
	n := &Node{c: c, clock: clock.New(clock.Config{})}
	n.log = n.newLog()
	n.reachPlatform()
	n.answerQueries()
	return n, nil
}

// newLog returns the ring of events, which also writes the structured log.
func (n *Node) newLog() *event.Log {
	s := n.c.Settings
	e := event.Config{Node: s.Node.ID, Stamp: n.clock.Stamp, Size: s.Observe.Events}
	if n.c.LogOutput != nil {
		e.Logger = logger.New(logger.Config{Out: n.c.LogOutput, Level: string(s.Observe.LogLevel), Node: s.Node.ID})
	}
	return event.New(e)
}
