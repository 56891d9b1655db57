package configsync

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
	// nodeStatusTimeout is the deadline for the status of one node.
	nodeStatusTimeout = 500 * time.Millisecond
	// domainStatusTimeout is the deadline for the status of a whole domain.
	domainStatusTimeout = 2 * time.Second
	// maxDomainAttempts is the number of nodes tried for the status of their
	// domain.
	maxDomainAttempts = 2
	// maxConcurrentRequests bounds the nodes of a domain queried at a time.
	maxConcurrentRequests = 16
	// minPollInterval and maxPollInterval bound the time between two status
	// queries in WaitForRevision.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// Status returns the revision in force on each live node, sorted by domain and
// node. The nodes of this node's failure domain are queried directly, each
// other domain through one of its nodes.
func (s *Syncer) Status(ctx context.Context) []config.NodeStatus {
	domains := map[failuredomain.Domain][]vm.VM{}
	for _, v := range s.membership().LiveAll() {
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
func (s *Syncer) domainStatus(ctx context.Context, d failuredomain.Domain, vs []vm.VM) []config.NodeStatus {
	if d == s.c.Self.Domain {
		return s.statusOfEach(ctx, vs)
	}
	for i := range min(maxDomainAttempts, len(vs)) {
		// The last nodes in watch order don't watch the root.
		v := watchOrder(vs)[len(vs)-1-i]
		ns, err := s.requestStatus(ctx, v, true, domainStatusTimeout)
		if err == nil {
			return s.addUnreached(ns, vs)
		}
	}
	return s.addUnreached(nil, vs)
}

// addUnreached appends the VMs that are missing from ns as not reached.
func (s *Syncer) addUnreached(ns []config.NodeStatus, vs []vm.VM) []config.NodeStatus {
	for _, v := range vs {
		if !slices.ContainsFunc(ns, func(n config.NodeStatus) bool { return n.Node == v.ID }) {
			ns = append(ns, s.unreachedStatus(v))
		}
	}
	return ns
}

// unreachedStatus returns the status of a node that does not answer: the
// revision and the age of its last heartbeat, or the age -1 if there was none.
func (s *Syncer) unreachedStatus(v vm.VM) config.NodeStatus {
	n := config.NodeStatus{Node: v.ID, Domain: string(v.Domain), AgeMS: -1}
	for _, m := range s.membership().Members() {
		if m.VM.ID == v.ID && !m.LastHeard.IsZero() {
			n.Revision, n.AgeMS = m.Digest.Revision, time.Since(m.LastHeard).Milliseconds()
		}
	}
	return n
}

// statusOfEach queries each of the given nodes directly.
func (s *Syncer) statusOfEach(ctx context.Context, vs []vm.VM) []config.NodeStatus {
	out := make([]config.NodeStatus, len(vs))
	slots := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, v := range vs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i] = s.nodeStatus(ctx, v)
		})
	}
	wg.Wait()
	return out
}

func (s *Syncer) nodeStatus(ctx context.Context, v vm.VM) config.NodeStatus {
	if v.ID == s.c.Self.ID {
		return s.ownStatus()
	}
	ns, err := s.requestStatus(ctx, v, false, nodeStatusTimeout)
	if err != nil || len(ns) != 1 || ns[0].Node != v.ID {
		return s.unreachedStatus(v)
	}
	return ns[0]
}

func (s *Syncer) ownStatus() config.NodeStatus {
	return config.NodeStatus{
		Node: s.c.Self.ID, Domain: string(s.c.Self.Domain),
		Revision: s.c.Manager.Current().Revision, Reached: true,
	}
}

func (s *Syncer) requestStatus(ctx context.Context, v vm.VM, wholeDomain bool, timeout time.Duration) ([]config.NodeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := s.c.Dialer.Conn(ctx, v.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := configrpc.NewDRPCConfigClient(c).Status(ctx, &configrpc.StatusRequest{WholeDomain: wholeDomain})
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

// Status returns the status of this node, or of every live node of its failure
// domain. It is called by drpc.
func (x server) Status(ctx context.Context, in *configrpc.StatusRequest) (*configrpc.StatusReply, error) {
	s := x.Syncer
	ns := []config.NodeStatus{s.ownStatus()}
	if in.GetWholeDomain() {
		ns = s.statusOfEach(ctx, s.membership().Live(s.c.Self.Domain))
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

// server implements the config service, whose Status method differs from
// Syncer.Status.
type server struct{ *Syncer }

// WaitForRevision waits until all live nodes have the revision or a later one in
// force, and returns their status and true. If ctx ends first, it returns the
// nodes not known to have the revision, and false.
func (s *Syncer) WaitForRevision(ctx context.Context, revision uint64) ([]config.NodeStatus, bool) {
	interval := minPollInterval
	var ns []config.NodeStatus
	for {
		if latest := s.Status(ctx); ctx.Err() == nil || ns == nil {
			ns = latest
		}
		behind := slices.DeleteFunc(slices.Clone(ns), func(n config.NodeStatus) bool {
			return n.Reached && n.Revision >= revision
		})
		if len(behind) == 0 {
			return ns, true
		}
		t := time.NewTimer(interval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return behind, false
		}
		interval = min(2*interval, maxPollInterval)
	}
}
