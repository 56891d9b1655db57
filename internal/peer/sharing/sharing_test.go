package sharing_test

import (
	"context"
	"maps"
	"net/netip"
	"testing"
	"time"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/sharing"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/changelog"
)

// TestShare has one VM tell another of a slow searcher, and of a service to which
// too much was sent: the one that gathers and the one that told both hear of it,
// and nobody hears anything while nothing is shared.
func TestShare(t *testing.T) {
	server, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", IsKnownAddr: func(netip.Addr) bool { return true }})
	if err != nil {
		t.Fatal(err)
	}
	board := healthscore.New()
	pool := retrypool.New(retrypool.Config{Bound: func(vms, first int) float64 { return float64(vms) + 0.2*float64(first) }})
	r := relay.New(relay.Config{Log: changelog.New(changelog.Config{}), Board: board, Pool: pool})
	if err := relayrpc.DRPCRegisterRelay(server.Mux(), r); err != nil {
		t.Fatal(err)
	}
	server.Serve()
	defer func() { _ = server.Close() }()
	d := rpc.NewDialer(rpc.DialerConfig{})
	defer func() { _ = d.Close() }()

	slow := healthscore.Process{ID: "i-7", StartedMs: 9}
	hear := func(addr string, ok bool, observe bool) sharing.News {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var heard sharing.News
		s := sharing.New(sharing.Config{Dialer: d, Board: board, Pool: pool, VM: "a" + addr,
			Used: func(time.Time) []retrypool.Usage {
				return []retrypool.Usage{{Service: "s", First: 2, Extra: 2}, {Service: "t", First: 2, Extra: 1}, {Service: "calm", First: 9}}
			},
			Relay: func() (string, bool) { return addr, ok },
			Heard: func(_ time.Time, n sharing.News) {
				heard = n
				cancel()
			}})
		if observe {
			for range 3 {
				s.Observe(slow, 11, true)
			}
		}
		s.Run(ctx)
		return heard
	}
	if got := hear(server.Addr(), false, true); got.Scores != nil || got.Levels != nil {
		t.Errorf("nothing is shared, heard %+v", got)
	}
	for _, addr := range []string{server.Addr(), ""} {
		got := hear(addr, true, addr != "")
		if s := got.Scores; len(s) != 1 || s[0].Searcher != slow || s[0].SlowdownFactor < 8 || s[0].FailureRate < 0.7 || !maps.Equal(got.Levels, map[string]retrypool.Level{"s": retrypool.Spent, "t": retrypool.Scarce}) {
			t.Errorf("through %q: heard %+v", addr, got)
		}
	}
}
