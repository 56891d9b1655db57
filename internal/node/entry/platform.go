package entry

import (
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
	"egrethaven/platform/store"
)

// Shares of the platform call budget for reads and writes.
const (
	readShare  = 0.7
	writeShare = 0.3
)

// connectPlatform creates the clients of the platform's key-value service and VM
// list, and the configuration manager.
func (n *Node) connectPlatform() {
	p := n.c.Settings.Platform
	callsPerSecond := float64(p.CallsPerSecond)
	n.store = kv.New(kv.Config{
		Transport: store.New(store.Config{Addr: p.Addr, Timeout: p.Timeout, Budget: n.budget}),
		Addr:      p.Addr,
		Events:    n.log,
		Budget:    kv.Budget{ReadsPerSecond: callsPerSecond * readShare, WritesPerSecond: callsPerSecond * writeShare},
		Seed:      n.c.Seed,
	})
	n.vms = vmlist.New(vmlist.Config{Addr: p.Addr, Timeout: p.Timeout, Events: n.log, Seed: n.c.Seed})
	n.configs = config.New(config.Config{
		Store:  n.store,
		Node:   n.c.Settings.Node.ID,
		Events: n.log,
		Mode:   config.Idle,
		Check:  func(d search.Definition) []string { return problem.Strings(d.Validate()) },
	})
}
