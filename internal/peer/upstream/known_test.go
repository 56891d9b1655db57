package upstream

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/state/follow"
)

// TestRelayClaimsTheFuture: a relay that says to know the changes of the future, or
// that they are known since before any clock, must not make the copy young for ever.
func TestRelayClaimsTheFuture(t *testing.T) {
	calledAt := boottime.Now().Add(-200 * time.Millisecond)
	for said, want := range map[int64]time.Duration{
		math.MaxInt64: 0, 10_000: 0, 100: 100 * time.Millisecond, 0: 200 * time.Millisecond, -1500: 1700 * time.Millisecond,
		math.MinInt64: time.Hour + 200*time.Millisecond,
	} {
		got := relayKnownAt(calledAt, said).Age()
		if got < want || got > want+10*time.Second || want == 0 && got < 0 {
			t.Errorf("known_ms %d: age %s, want %s", said, got, want)
		}
	}
}

// TestRelayThatDoesNotKnowThisVMYet: a VM whose relay had not heard of it, as in the first
// moments after a start or a restore of the store, left it alone for up to 7.5 s.
func TestRelayThatDoesNotKnowThisVMYet(t *testing.T) {
	server, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", IsKnownAddr: func(netip.Addr) bool { return false }})
	if err != nil {
		t.Fatal(err)
	}
	server.Serve()
	d := rpc.NewDialer(rpc.DialerConfig{})
	u := New(Config{Dialer: d})
	defer func() {
		u.Close()
		_ = d.Close()
		_ = server.Close()
	}()
	_, err = u.watchRelay(context.Background(), server.Addr(), follow.Position{})
	if err == nil {
		t.Fatal("the relay accepted the call")
	}
	u.startCooldown(server.Addr(), err)
	if left := time.Until(u.cooldowns[server.Addr()]); left > declinedCooldown*3/2 {
		t.Errorf("left alone for %s after %v", left, err)
	}
}
