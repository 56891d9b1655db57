package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/isolation"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/forward"
)

// isolationInterval is the time between two checks for isolation: half of the
// time between two readiness checks of the balancer, of which it needs two.
const isolationInterval = 250 * time.Millisecond

// isolationMonitor checks whether this VM is cut off from the searchers that its
// routes need.
type isolationMonitor struct {
	domain   string
	current  func() *forward.Snapshot
	events   event.Sink
	isolated atomic.Bool
	// onChange is called when isolated changes.
	onChange func(isolated bool)
}

// run checks until ctx ends.
func (m *isolationMonitor) run(ctx context.Context) {
	t := time.NewTicker(isolationInterval)
	defer t.Stop()
	d := isolation.New(isolation.Config{Domain: m.domain})
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			is := m.instances()
			ss := make([]isolation.Searcher, len(is))
			for n, i := range is {
				ss[n] = i.Contact()
			}
			m.set(d.Update(time.Now(), ss), len(ss))
			if m.isolated.Load() {
				m.probe(is)
			}
		}
	}
}

// probe connects to one searcher of another failure domain. A VM that is not
// ready gets no requests, and would not learn by itself that the domain can be
// reached again.
func (m *isolationMonitor) probe(is []*instance.Instance) {
	remote := slices.DeleteFunc(is, func(i *instance.Instance) bool { return i.Searcher().Domain == m.domain })
	if len(remote) > 0 {
		remote[rand.IntN(len(remote))].Probe()
	}
}

// set publishes the result of a check of the given number of searchers.
func (m *isolationMonitor) set(isolated bool, searchers int) {
	if m.isolated.Swap(isolated) == isolated {
		return
	}
	m.onChange(isolated)
	if isolated {
		m.events.Emit(event.NodeNotReady, m.domain, fmt.Sprintf("cut off: no searcher of another failure domain reacts, and those here do not hold all shards (%d searchers checked)", searchers))
		return
	}
	m.events.Emit(event.NodeReady, m.domain, "searchers of other failure domains can be reached again, or all shards are held here")
}

// instances returns the searchers of all services that a route uses.
func (m *isolationMonitor) instances() []*instance.Instance {
	s := m.current()
	if s == nil {
		return nil
	}
	seen := map[string]bool{}
	var out []*instance.Instance
	add := func(service string) {
		if seen[service] {
			return
		}
		seen[service] = true
		out = append(out, s.Instances[service]...)
	}
	for _, r := range s.Config.Routes {
		for _, service := range r.Shards {
			add(service)
		}
		for _, w := range r.WeightedServices {
			add(w.Service)
		}
	}
	return out
}
