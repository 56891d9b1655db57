package gateway

import (
	"context"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/observe/gatewaymetric"
	"egrethaven/internal/peer/quotapool"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/vmregistry"
)

// newQuota returns the limits of client accounts. Other VMs are called only after the other
// components are built.
func (g *Gateway) newQuota() *quotapool.Limiter {
	s := g.c.Settings
	return quotapool.New(quotapool.Config{
		Self: candidate(g.storeView.c.Self), Others: g.storeView.quotaCandidates, VMs: g.storeView.quotaVMs, Counted: g.storeView.countedBefore.Load, Accounts: g.accounts, Events: g.log,
		Rule: quota.Rule{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		Conn: func(ctx context.Context, addr string) (drpc.Conn, error) {
			return g.peerComponents.dialer.Conn(ctx, addr)
		},
	})
}

// accounts returns the client accounts of the configuration in force; nil if there are none.
func (g *Gateway) accounts() *account.Index {
	if s := g.storeView.Current(); s != nil {
		return s.Config.Accounts
	}
	return nil
}

// registerQuotaGauges registers the gauges of quotas.
func (g *Gateway) registerQuotaGauges() error {
	if err := g.metrics.RegisterGauge("egrethaven_quota_fraction", "1", "sum of the fractions of the accounts' quotas that this VM coordinates", g.quota.Fraction); err != nil {
		return errors.Trace(err)
	}
	for _, v := range []struct {
		name, unit, help string
		value            func(quotapool.Holding) float64
	}{
		{"egrethaven_quota_rate", "{request}/s", "rate in force of an account in use, over all VMs",
			func(h quotapool.Holding) float64 { return h.Limit.Rate }},
		{"egrethaven_quota_permits", "{request}", "permits that this VM holds of an account in use",
			func(h quotapool.Holding) float64 { return float64(h.Permits) }},
		{"egrethaven_quota_permits_left", "s", "time until the permits that this VM holds of an account expire",
			func(h quotapool.Holding) float64 { return h.For.Seconds() }},
	} {
		read := func() []gatewaymetric.AccountValue {
			var out []gatewaymetric.AccountValue
			for _, h := range g.quota.Holdings() {
				out = append(out, gatewaymetric.AccountValue{Account: h.Account, Value: v.value(h)})
			}
			return out
		}
		if err := g.metrics.RegisterAccountGauge(v.name, v.unit, v.help, read); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// candidate returns a VM as a coordinator of quotas.
func candidate(v vmregistry.VM) quota.Candidate {
	return quota.Candidate{ID: v.ID, Domain: v.Domain, Addr: v.PeerAddr, LinkMbps: v.LinkMbps}
}

// quotaCandidates returns the other VMs that can coordinate quotas: those that accept calls, if
// this VM does, as they accept none from it otherwise.
func (v *storeView) quotaCandidates() []quota.Candidate {
	if o := v.otherVMs.Load(); o != nil && v.c.Self.PeerAddr != "" {
		return o.candidates
	}
	return nil
}

// quotaVMs returns the number of VMs that share the quotas; 0 if it is not trusted yet. Unlike
// the number by which connections are divided it has no minimum, which would leave a part of the
// quotas of a small tier unused.
func (v *storeView) quotaVMs() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.vmCountTrusted {
		return 0
	}
	n := max(v.vmCounter.Current, len(v.vms))
	if _, registered := v.vms[v.c.Self.ID]; !registered {
		n++
	}
	return n
}
