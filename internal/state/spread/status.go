package spread

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/configrpc"
	"egrethaven/internal/state/config"
)

const (
	// nodeTimeout bounds asking one node.
	nodeTimeout = 500 * time.Millisecond
	// domainTimeout bounds asking one node for its whole domain.
	domainTimeout = 2 * time.Second
	// domainTries is how many nodes of a domain are asked for it.
	domainTries = 2
	// askers is how many nodes are asked at a time.
	askers = 16
	// waitFirst and waitMost bound the time between two looks at nodes that
	// have not got a revision yet.
	waitFirst = 50 * time.Millisecond
	waitMost  = time.Second
)

// Status returns what each live node has in force, in order of domain and
// node. One node of each other failure domain is asked for all of its own.
func (s *Spread) Status(ctx context.Context) []config.NodeStatus {
	domains := map[failuredomain.Domain][]vm.VM{}
	for _, v := range s.peers().LiveAll() {
		domains[v.Domain] = append(domains[v.Domain], v)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []config.NodeStatus
	for d, vs := range domains {
		wg.Go(func() {
			ns := s.domainStatus(ctx, d, vs)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, ns...)
		})
	}
	wg.Wait()
	slices.SortFunc(out, func(a, b config.NodeStatus) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Node, b.Node))
	})
	return out
}

// domainStatus returns the status of the live nodes of one domain.
func (s *Spread) domainStatus(ctx context.Context, d failuredomain.Domain, vs []vm.VM) []config.NodeStatus {
	if d == s.c.Self.Domain {
		return s.askEach(ctx, vs)
	}
	for i := range min(domainTries, len(vs)) {
		// The last ones differ from those that hold the watch.
		v := watchOrder(vs)[len(vs)-1-i]
		ns, err := s.askStatus(ctx, v, true, domainTimeout)
		if err == nil {
			return s.addUnheard(ns, vs)
		}
	}
	return s.addUnheard(nil, vs)
}

// addUnheard adds the nodes that an answer has left out, as not reached.
func (s *Spread) addUnheard(ns []config.NodeStatus, vs []vm.VM) []config.NodeStatus {
	for _, v := range vs {
		if !slices.ContainsFunc(ns, func(n config.NodeStatus) bool { return n.Node == v.ID }) {
			ns = append(ns, s.unreached(v))
		}
	}
	return ns
}

// unreached is what was last heard from a node that does not answer.
func (s *Spread) unreached(v vm.VM) config.NodeStatus {
	n := config.NodeStatus{Node: v.ID, Domain: string(v.Domain), AgeMS: -1}
	for _, m := range s.peers().Members() {
		if m.VM.ID == v.ID && !m.Heard.IsZero() {
			n.Revision, n.AgeMS = m.Digest.Revision, time.Since(m.Heard).Milliseconds()
		}
	}
	return n
}

// askEach asks each of the given nodes.
func (s *Spread) askEach(ctx context.Context, vs []vm.VM) []config.NodeStatus {
	out := make([]config.NodeStatus, len(vs))
	slots := make(chan struct{}, askers)
	var wg sync.WaitGroup
	for i, v := range vs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i] = s.askNode(ctx, v)
		})
	}
	wg.Wait()
	return out
}

func (s *Spread) askNode(ctx context.Context, v vm.VM) config.NodeStatus {
	if v.ID == s.c.Self.ID {
		return s.own()
	}
	ns, err := s.askStatus(ctx, v, false, nodeTimeout)
	if err != nil || len(ns) != 1 || ns[0].Node != v.ID {
		return s.unreached(v)
	}
	return ns[0]
}

func (s *Spread) own() config.NodeStatus {
	return config.NodeStatus{
		Node: s.c.Self.ID, Domain: string(s.c.Self.Domain),
		Revision: s.c.Manager.Current().Revision, Reached: true,
	}
}

func (s *Spread) askStatus(ctx context.Context, v vm.VM, domain bool, d time.Duration) ([]config.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c, err := s.c.Dialer.Conn(ctx, v.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := configrpc.NewDRPCConfigClient(c).Status(ctx, &configrpc.StatusRequest{WholeDomain: domain})
	if err != nil {
		return nil, errors.Trace(err)
	}
	var ns []config.NodeStatus
	for _, n := range out.GetNodes() {
		ns = append(ns, config.NodeStatus{
			Node: n.GetNode(), Domain: n.GetDomain(), Revision: n.GetRevision(),
			AgeMS: int64(n.GetAgeMs()), Reached: n.GetReached(),
		})
	}
	return ns, nil
}

// Status answers for this node or its domain. It is called by drpc.
func (x server) Status(ctx context.Context, in *configrpc.StatusRequest) (*configrpc.StatusReply, error) {
	s := x.Spread
	ns := []config.NodeStatus{s.own()}
	if in.GetWholeDomain() {
		ns = s.askEach(ctx, s.peers().Live(s.c.Self.Domain))
	}
	out := &configrpc.StatusReply{}
	for _, n := range ns {
		out.Nodes = append(out.Nodes, &configrpc.NodeStatus{
			Node: n.Node, Domain: n.Domain, Revision: n.Revision,
			AgeMs: uint64(max(0, n.AgeMS)), Reached: n.Reached,
		})
	}
	return out, nil
}

// server is the service that peers call.
type server struct{ *Spread }

// Wait returns when all live nodes have a revision or a later one in force,
// with their status and true. When ctx ends before, it returns the nodes that
// are not known to have it and false.
func (s *Spread) Wait(ctx context.Context, revision uint64) ([]config.NodeStatus, bool) {
	pause := waitFirst
	var ns []config.NodeStatus
	for {
		if now := s.Status(ctx); ctx.Err() == nil || ns == nil {
			ns = now
		}
		behind := slices.DeleteFunc(slices.Clone(ns), func(n config.NodeStatus) bool {
			return n.Reached && n.Revision >= revision
		})
		if len(behind) == 0 {
			return ns, true
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return behind, false
		}
		pause = min(2*pause, waitMost)
	}
}
