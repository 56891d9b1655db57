package sharing_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"egrethaven/internal/back/scoreboard"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/sharing"
	"egrethaven/internal/state/changelog"
)

// TestShare has one VM tell another of a slow searcher: the one that gathers and
// the one that told both hear of it, and nobody hears anything while nothing is
// shared.
func TestShare(t *testing.T) {
	server, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", Known: func(netip.Addr) bool { return true }})
	if err != nil {
		t.Fatal(err)
	}
	board := scoreboard.New()
	r := relay.New(relay.Config{Log: changelog.New(changelog.Config{}), Board: board})
	if err := relayrpc.DRPCRegisterRelay(server.Mux(), r); err != nil {
		t.Fatal(err)
	}
	server.Serve()
	defer func() { _ = server.Close() }()
	d := rpc.NewDialer(rpc.DialerConfig{})
	defer func() { _ = d.Close() }()

	slow := scoreboard.Searcher{ID: "i-7", Born: 9}
	hear := func(addr string, ok bool, observe bool) []scoreboard.Score {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var heard []scoreboard.Score
		s := sharing.New(sharing.Config{Dialer: d, Board: board, Relay: func() (string, bool) { return addr, ok },
			Heard: func(_ time.Time, ss []scoreboard.Score) {
				heard = ss
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
	if got := hear(server.Addr(), false, true); got != nil {
		t.Errorf("nothing is shared, heard %+v", got)
	}
	for _, addr := range []string{server.Addr(), ""} {
		got := hear(addr, true, addr != "")
		if len(got) != 1 || got[0].Searcher != slow || got[0].Factor < 8 || got[0].Failures < 0.7 {
			t.Errorf("through %q: heard %+v", addr, got)
		}
	}
}
