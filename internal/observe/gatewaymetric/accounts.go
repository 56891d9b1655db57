package gatewaymetric

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// AccountOutcome is the end of a request of a client account.
type AccountOutcome int

// The outcomes. Each request is also counted as asked.
const (
	AccountServed AccountOutcome = iota
	AccountOverQuota
	// AccountRefused is a request that was refused for another reason, and has not run.
	AccountRefused
	// AccountFailed is any other request; it has no series of its own.
	AccountFailed
	accountOutcomes
)

const (
	// maxNamedAccounts is the number of accounts with series of their own. There may be
	// 10,000 accounts, and a metrics page of each of 68 VMs is read every few seconds.
	maxNamedAccounts = 20
	// otherAccounts is the label of all others.
	otherAccounts = "other"
	// rankInterval is the minimum time between two choices of the largest accounts, so that
	// series seldom come and go.
	rankInterval = time.Minute
	// loadDecay is the weight that the load of an account keeps from one choice to the
	// next.
	loadDecay = 0.5
)

// accountCounts counts the requests of one account.
type accountCounts struct {
	// outcomes counts the requests since the account has series of its own, or, without
	// them, since the last choice.
	outcomes [accountOutcomes]int64
	// recent counts all requests since the last choice, and load those before, with
	// decreasing weight.
	recent int64
	load   float64
	named  bool
}

// accounts counts the requests of client accounts. The largest accounts are reported by name;
// an account that is no longer among them is added to the others, so that their counts never
// decrease.
type accounts struct {
	mu       sync.Mutex
	byName   map[string]*accountCounts
	named    int
	others   [accountOutcomes]int64
	rankedAt time.Time
}

// record counts a request.
func (a *accounts) record(name string, o AccountOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.byName[name]
	if c == nil {
		c = &accountCounts{named: a.named < maxNamedAccounts}
		if c.named {
			a.named++
		}
		a.byName[name] = c
	}
	c.recent++
	c.outcomes[o]++
}

// rank chooses the accounts that are reported by name, and forgets those without requests
// since the last choice that are not among them. The lock is held.
func (a *accounts) rank(now time.Time) {
	if now.Sub(a.rankedAt) < rankInterval {
		return
	}
	a.rankedAt = now
	names := make([]string, 0, len(a.byName))
	for name, c := range a.byName {
		c.load = loadDecay*c.load + float64(c.recent)
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.byName[y].load, a.byName[x].load), cmp.Compare(x, y))
	})
	a.named = min(len(names), maxNamedAccounts)
	for i, name := range names {
		c := a.byName[name]
		if named := i < maxNamedAccounts; named != c.named || !named {
			// The requests so far stay among, or move to, those of the others.
			for o, n := range c.outcomes {
				a.others[o] += n
			}
			c.outcomes, c.named = [accountOutcomes]int64{}, named
		}
		if c.recent == 0 && !c.named {
			delete(a.byName, name)
		}
		c.recent = 0
	}
}

// observe reports the counts.
func (a *accounts) observe(now time.Time, report func(account, outcome string, n int64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rank(now)
	others := a.others
	all := func(account string, n [accountOutcomes]int64) {
		report(account, "asked", n[AccountServed]+n[AccountOverQuota]+n[AccountRefused]+n[AccountFailed])
		report(account, "served", n[AccountServed])
		report(account, "over_quota", n[AccountOverQuota])
		report(account, "refused", n[AccountRefused])
	}
	for name, c := range a.byName {
		// An account that has the label of the others is reported with them.
		if c.named && name != otherAccounts {
			all(name, c.outcomes)
			continue
		}
		for o, n := range c.outcomes {
			others[o] += n
		}
	}
	if len(a.byName) > 0 {
		all(otherAccounts, others)
	}
}

// register registers the counter of all accounts.
func (a *accounts) register(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("egrethaven_account_requests", metric.WithUnit("{request}"),
		metric.WithDescription("requests of client accounts, the largest by name, by outcome: asked (all), served, over_quota, refused for other reasons"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			a.observe(time.Now(), func(account, outcome string, n int64) {
				o.Observe(n, metric.WithAttributes(attribute.String("account", account), attribute.String("outcome", outcome)))
			})
			return nil
		}))
	return err
}

// RecordAccount records a request of a client account.
func (m *Metrics) RecordAccount(account string, o AccountOutcome) { m.accounts.record(account, o) }
