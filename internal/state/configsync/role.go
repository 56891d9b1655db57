package configsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/config"
)

// watchOrder returns VMs in rendezvous-hash order; the first ones watch the
// root.
func watchOrder(vs []vm.VM) []vm.VM {
	out := slices.Clone(vs)
	weight := func(v vm.VM) uint64 { return xxhash.Sum64String(config.RootKey + " " + v.ID) }
	slices.SortFunc(out, func(a, b vm.VM) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// isWatcher reports whether self is among the watchers of the live VMs of its
// failure domain.
func isWatcher(self vm.VM, live []vm.VM) bool {
	watchers := watchOrder(live)
	watchers = watchers[:min(watchersPerDomain, len(watchers))]
	return slices.ContainsFunc(watchers, func(v vm.VM) bool { return v.ID == self.ID })
}

// role holds the inputs that determine how a node follows the service.
type role struct {
	// watcher is true if the node has to watch the root.
	watcher bool
	// ready is true if a configuration is in force.
	ready bool
	// uptime is the time since the Syncer was started.
	uptime time.Duration
	// age is the time since the last confirmation, if ageKnown.
	age      time.Duration
	ageKnown bool
	// silenceTimeout is the age above which the node polls the service.
	silenceTimeout time.Duration
}

// mode returns how the node should follow the service.
func (r role) mode() config.Mode {
	switch {
	case r.watcher:
		return config.Watching
	case !r.ready && r.uptime > peerConfigTimeout:
		return config.Polling
	case r.ready && !r.ageKnown && r.uptime > r.silenceTimeout:
		return config.Polling
	case r.ageKnown && r.age > r.silenceTimeout:
		return config.Polling
	}
	return config.Idle
}

// loop evaluates the node's role each roleInterval and sets the mode of the
// Manager when it changes.
func (s *Syncer) loop() {
	t := time.NewTicker(roleInterval)
	defer t.Stop()
	startedAt := time.Now()
	mode := config.Mode(-1)
	membershipVersion, watcher := ^uint64(0), false
	for {
		if v := s.membership().Version(); v != membershipVersion {
			membershipVersion, watcher = v, s.c.AllWatch || isWatcher(s.c.Self, s.membership().Live(s.c.Self.Domain))
		}
		if m := s.role(startedAt, watcher).mode(); m != mode {
			s.setMode(m, mode)
			mode = m
		}
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Syncer) role(startedAt time.Time, watcher bool) role {
	r := role{watcher: watcher, ready: s.c.Manager.Ready(), uptime: time.Since(startedAt), silenceTimeout: s.silenceTimeout}
	r.age, r.ageKnown = s.ConfirmedAge()
	return r
}

// setMode sets the mode of the Manager and reports the start and the end of a
// watch.
func (s *Syncer) setMode(mode, previous config.Mode) {
	s.c.Manager.SetMode(mode)
	s.watching.Store(mode == config.Watching)
	switch {
	case mode == config.Watching:
		s.c.Events.Emit(event.WatcherStarted, s.c.Self.ID, string(s.c.Self.Domain))
	case previous == config.Watching:
		s.c.Events.Emit(event.WatcherStopped, s.c.Self.ID, string(s.c.Self.Domain))
	}
}
