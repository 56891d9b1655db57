package entry

import (
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
	"egrethaven/platform/store"
)

// readPart is the part of the platform budget that reads may use, and
// writePart the part of writes.
const (
	readPart  = 0.7
	writePart = 0.3
)

// reachPlatform begins to follow the platform's services.
func (n *Node) reachPlatform() {
	p := n.c.Settings.Platform
	calls := float64(p.CallsPerSecond)
	n.store = kv.New(kv.Config{
		Transport: store.New(store.Config{Addr: p.Addr, Timeout: p.Timeout}),
		Addr:      p.Addr,
		Events:    n.log,
		Budget:    kv.Budget{ReadsPerSecond: calls * readPart, WritesPerSecond: calls * writePart},
		Seed:      n.c.Seed,
	})
	n.vms = vmlist.New(vmlist.Config{Addr: p.Addr, Timeout: p.Timeout, Events: n.log, Seed: n.c.Seed})
	n.searches = config.New(config.Config{
		Store:  n.store,
		Node:   n.c.Settings.Node.ID,
		Events: n.log,
		Mode:   config.Idle,
		Check:  func(d search.Definition) []string { return problem.Strings(d.Validate()) },
	})
}
