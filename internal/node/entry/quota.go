package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/infra/vmcount"
	"egrethaven/internal/peer/quotapool"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/query/quota"
)

// listedWait is how long a VM of several has to be in the platform's list before its part of the
// quotas counts. The others read the list every 3 s at the latest and count it by then.
const listedWait = 3 * time.Second

// quotaRule bounds the requests of a client account in any window. docs/SETTINGS.md states it.
var quotaRule = quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newQuota returns the limits of client accounts.
func (n *Node) newQuota() *quotapool.Limiter {
	counter := &quotaVMs{node: n}
	return quotapool.New(quotapool.Config{
		Self: candidate(n.self), Others: n.otherCandidates, VMs: counter.count,
		Rule: quotaRule, Accounts: n.accounts.Current, Conn: n.dialer.Conn, Events: n.log,
	})
}

// otherCandidates returns the other VMs that can coordinate quotas.
func (n *Node) otherCandidates() []quota.Candidate {
	var out []quota.Candidate
	for _, v := range n.membership.LiveAll() {
		if v.ID != n.self.ID {
			out = append(out, candidate(v))
		}
	}
	return out
}

// candidate returns an entry VM as a coordinator of quotas. The bandwidths of links are not known.
func candidate(v vm.VM) quota.Candidate {
	return quota.Candidate{ID: v.ID, Domain: string(v.Domain), Addr: v.Addr}
}

// quotaService answers the calls of VMs whose quotas this one coordinates. It is the only part of
// the Relay service on an entry VM of this kind.
type quotaService struct {
	relayrpc.DRPCRelayUnimplementedServer
	serve func(vm string, in *relayrpc.QuotaCall) (*relayrpc.QuotaReply, error)
}

// Share answers a call about quotas.
func (s *quotaService) Share(_ context.Context, in *relayrpc.ShareRequest) (*relayrpc.ShareReply, error) {
	c := in.GetQuota()
	if c == nil {
		return nil, errors.NotSupportedf("sharing other than of quotas")
	}
	r, err := s.serve(in.GetVm(), c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &relayrpc.ShareReply{Quota: r}, nil
}

// registerQuota registers the service of the peer port.
func (n *Node) registerQuota(mux drpc.Mux) error {
	if n.quota == nil {
		return nil
	}
	return errors.Trace(relayrpc.DRPCRegisterRelay(mux, &quotaService{serve: n.quota.Serve}))
}

// startQuota starts the calls about quotas.
func (n *Node) startQuota() {
	if n.quota != nil {
		// Requests are still served during a shutdown, so the calls end with Close.
		n.quotaRun.Go(func() { n.quota.Run(context.Background()) })
	}
}

// closeQuota ends the calls about quotas and waits for them.
func (n *Node) closeQuota() {
	if n.quota != nil {
		n.quota.Close()
		n.quotaRun.Wait()
	}
}

// registerQuotaMetrics registers the metrics of quotas.
func (n *Node) registerQuotaMetrics() error {
	if n.quota == nil {
		return nil
	}
	return errors.Trace(n.metrics.RegisterGauge("egrethaven_quota_fraction", "1",
		"sum of the fractions of the accounts' quotas that this VM coordinates", n.quota.Fraction))
}

// quotaVMs counts the VMs that share the quotas. Too low a number on one VM would let all of them
// together exceed a quota, so each VM counts that the platform lists, in any state, or that is a
// member, and VMs that are gone count for some time.
type quotaVMs struct {
	node *Node

	mu      sync.Mutex
	counter vmcount.Counter
	// listedAt is when the platform's list had this VM first; zero if it never had.
	listedAt time.Time
}

// count returns the number of VMs, or 0 if it is not known yet whether the others count this VM.
func (q *quotaVMs) count() int {
	vms, _ := q.node.vms.List()
	ids := make(map[string]bool, len(vms))
	for _, v := range vms {
		if v.Role == vm.Entry {
			ids[v.ID] = true
		}
	}
	listed := ids[q.node.self.ID]
	for _, v := range q.node.membership.LiveAll() {
		ids[v.ID] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if listed && q.listedAt.IsZero() {
		q.listedAt = now
	}
	total := q.counter.Update(now, len(ids))
	if q.listedAt.IsZero() || total > 1 && now.Sub(q.listedAt) < listedWait {
		return 0
	}
	return total
}
