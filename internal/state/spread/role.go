package spread

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/config"
)

// watchOrder puts VMs into the order in which they hold the watch.
func watchOrder(vs []vm.VM) []vm.VM {
	out := slices.Clone(vs)
	weight := func(v vm.VM) uint64 { return xxhash.Sum64String(config.RootKey + " " + v.ID) }
	slices.SortFunc(out, func(a, b vm.VM) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// watches tells whether a VM is among the first of the live ones.
func watches(self vm.VM, live []vm.VM) bool {
	first := watchOrder(live)
	first = first[:min(watchers, len(first))]
	return slices.ContainsFunc(first, func(v vm.VM) bool { return v.ID == self.ID })
}

// role is what the node decides by.
type role struct {
	// watch is true for a node that is to hold the watch.
	watch bool
	// ready is true when there is a configuration.
	ready bool
	// up is how long the node has run.
	up time.Duration
	// age of the service's word, where known.
	age   time.Duration
	known bool
	// patience is the age up to which the node leaves the service alone.
	patience time.Duration
}

// mode decides how the node follows the service.
func (r role) mode() config.Mode {
	switch {
	case r.watch:
		return config.Watching
	case !r.ready && r.up > waitForPeers:
		return config.Polling
	case r.ready && !r.known && r.up > r.patience:
		return config.Polling
	case r.known && r.age > r.patience:
		return config.Polling
	}
	return config.Idle
}

// loop keeps the node in its role.
func (s *Spread) loop() {
	t := time.NewTicker(tick)
	defer t.Stop()
	begin := time.Now()
	mode := config.Mode(-1)
	seen, watch := ^uint64(0), false
	for {
		if v := s.peers().Version(); v != seen {
			seen, watch = v, s.c.Everyone || watches(s.c.Self, s.peers().Live(s.c.Self.Domain))
		}
		if m := s.role(begin, watch).mode(); m != mode {
			s.enter(m, mode)
			mode = m
		}
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Spread) role(begin time.Time, watch bool) role {
	r := role{watch: watch, ready: s.c.Manager.Ready(), up: time.Since(begin), patience: s.patience}
	r.age, r.known = s.Age()
	return r
}

// enter changes the mode and reports the start and the end of a watch.
func (s *Spread) enter(m, was config.Mode) {
	s.c.Manager.SetMode(m)
	s.watching.Store(m == config.Watching)
	switch {
	case m == config.Watching:
		s.c.Events.Emit(event.WatcherStarted, s.c.Self.ID, string(s.c.Self.Domain))
	case was == config.Watching:
		s.c.Events.Emit(event.WatcherStopped, s.c.Self.ID, string(s.c.Self.Domain))
	}
}
