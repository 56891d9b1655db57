package quotapool_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	"egrethaven/internal/peer/fakenet"
	"egrethaven/internal/peer/quotapool"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/account"
)

// conn is a connection of the simulated network, which has none to close.
type conn struct{ drpc.Conn }

// Close does nothing.
func (conn) Close() error { return nil }

// tier starts limiters of three VMs, of which the first has the widest link.
func tier(t *testing.T, n *fakenet.Network, rate float64) ([]*quotapool.Limiter, *account.Account) {
	x, err := account.NewIndex([]account.Entry{{Account: account.Account{Name: "acme", RatePerSecond: rate, Burst: 5}}})
	if err != nil {
		t.Fatal(err)
	}
	all := make([]quota.Candidate, 3)
	for i := range all {
		all[i] = quota.Candidate{ID: fmt.Sprint("g-", i), Domain: fmt.Sprint("d", i), Addr: fmt.Sprint("vm:", i), LinkMbps: float64(100 - i)}
	}
	out := make([]*quotapool.Limiter, len(all))
	for i, self := range all {
		others := append(append([]quota.Candidate{}, all[:i]...), all[i+1:]...)
		e := n.Endpoint(self.Addr)
		out[i] = quotapool.New(quotapool.Config{Self: self, Others: func() []quota.Candidate { return others }, VMs: func() int { return len(all) },
			Conn: func(ctx context.Context, addr string) (drpc.Conn, error) {
				c, err := e.Conn(ctx, addr)
				return conn{c}, err
			},
			Accounts: func() *account.Index { return x }, Rule: quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}})
		if err := relayrpc.DRPCRegisterRelay(e, relay.New(relay.Config{Quota: out[i].Serve})); err != nil {
			t.Fatal(err)
		}
		go out[i].Run(t.Context())
		t.Cleanup(out[i].Close)
	}
	a, _ := x.Named("acme")
	return out, a
}

// served asks 50 times a second for some seconds and returns how many requests were served.
func served(t *testing.T, l *quotapool.Limiter, a *account.Account, seconds int) int {
	n := 0
	for range 50 * seconds {
		ok, retryAfter := l.Take(t.Context(), a, time.Now().Add(10*time.Millisecond))
		if ok {
			n++
		} else if retryAfter <= 0 {
			t.Fatal("refused without a time")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return n
}

// TestCoordinatorLost: an account got more than its quota, or nothing, when the VM that
// coordinates was lost.
func TestCoordinatorLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(time.Millisecond)
		ls, a := tier(t, n, 10)
		time.Sleep(5 * time.Second)
		if f := ls[0].Fraction(); f < 0.99 {
			t.Errorf("the VM with the widest link coordinates %g of the quota", f)
		}
		if got := served(t, ls[2], a, 10); got < 90 || got > 140 {
			t.Errorf("%d requests were served in 10 s at 10/s", got)
		}
		n.Remove("vm:0")
		ls[0].Close()
		if got := served(t, ls[2], a, 10); got < 40 || got > 100 {
			t.Errorf("%d requests were served in 10 s by two of three VMs", got)
		}
	})
}

// TestNoLimits: deployments without limited accounts made calls.
func TestNoLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(time.Millisecond)
		ls, _ := tier(t, n, 0)
		time.Sleep(10 * time.Second)
		if f := ls[0].Fraction(); f != 0 {
			t.Errorf("fractions of %g were delegated", f)
		}
	})
}
