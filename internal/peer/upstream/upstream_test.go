package upstream_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/upstream"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

// store is a store whose watches return at once.
type store struct {
	mu    sync.Mutex
	at    follow.Revision
	down  bool
	calls atomic.Int64
}

var errDown = errors.New("down")

// set changes the store.
func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Range returns the one entry.
func (s *store) Range(context.Context, string) ([]follow.Change, follow.Revision, error) {
	return s.Watch(context.Background(), "", 0, 0)
}

// Watch returns the one entry if it was written since.
func (s *store) Watch(_ context.Context, _ string, after follow.Revision, _ time.Duration) ([]follow.Change, follow.Revision, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, 0, errDown
	case after >= s.at:
		return nil, s.at, nil
	}
	return []follow.Change{{Key: "k", Value: []byte("v"), Revision: s.at}}, s.at, nil
}

// vm is one VM that may be asked by others.
type vm struct {
	store  *store
	up     *upstream.Upstream
	server *rpc.Server
	relays []string
}

// newVM starts a VM.
func newVM(t *testing.T) *vm {
	v := &vm{store: &store{at: 1}}
	log := changelog.New(changelog.Config{MaxAge: time.Minute})
	d := rpc.NewDialer(rpc.DialerConfig{})
	v.up = upstream.New(upstream.Config{Store: v.store, Log: log, Dialer: d, Relays: func() []string { return v.relays }})
	var err error
	if v.server, err = rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", IsKnownAddr: func(netip.Addr) bool { return true }}); err != nil {
		t.Fatal(err)
	}
	if err := relayrpc.DRPCRegisterRelay(v.server.Mux(), relay.New(relay.Config{Log: log, Board: healthscore.New(), Pool: retrypool.New(retrypool.Config{})})); err != nil {
		t.Fatal(err)
	}
	v.server.Serve()
	t.Cleanup(func() {
		_ = d.Close()
		_ = v.server.Close()
	})
	return v
}

// read reads everything once.
func (v *vm) read(t *testing.T) {
	t.Helper()
	if _, _, err := v.up.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
}

// watch makes one watch, which must succeed.
func (v *vm) watch(t *testing.T, after follow.Revision) ([]follow.Change, follow.Revision) {
	t.Helper()
	cs, at, err := v.up.Watch(t.Context(), "", after, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return cs, at
}

// TestFollowsThroughRelay has one VM follow through another: changes arrive, and
// the store is asked by the relay alone. When the relay is gone, cannot reach
// the store, or does not watch it, the store is asked from the same revision.
func TestFollowsThroughRelay(t *testing.T) {
	for name, harm := range map[string]func(t *testing.T, r *vm){
		"gone":    func(_ *testing.T, r *vm) { _ = r.server.Close() },
		"cut off": func(_ *testing.T, r *vm) { r.store.set(func() { r.store.down = true }) },
		"follows another": func(t *testing.T, r *vm) {
			other := newVM(t)
			other.read(t)
			r.relays = []string{other.server.Addr()}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, v := newVM(t), newVM(t)
			v.relays = []string{r.server.Addr()}
			r.read(t)
			r.store.set(func() { r.store.at = 2 })
			r.watch(t, 1)
			if cs, at := v.watch(t, 1); len(cs) != 1 || cs[0].Key != "k" || string(cs[0].Value) != "v" || at != 2 || v.up.Through() == "" {
				t.Errorf("through the relay: %+v up to %d", cs, at)
			}
			if n := v.store.calls.Load(); n != 0 {
				t.Errorf("%d calls of the store beside the relay", n)
			}
			harm(t, r)
			// A relay without the store fails here, and is meant to.
			_, _, _ = r.up.Watch(t.Context(), "", 2, 0)
			v.store.set(func() { v.store.at = 3 })
			if cs, at := v.watch(t, 2); len(cs) != 1 || at != 3 || v.up.Through() != "" {
				t.Errorf("without the relay: %+v up to %d", cs, at)
			}
		})
	}
}

// TestSilentRelay follows through an address that takes connections and says
// nothing: the store is asked, and the next time at once.
func TestSilentRelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	v := newVM(t)
	asked := 0
	v.relays = []string{l.Addr().String()}
	v.up = upstream.New(upstream.Config{Store: v.store, Log: changelog.New(changelog.Config{MaxAge: time.Minute}),
		Dialer: dialer(func() { asked++ }), Relays: func() []string { return v.relays }})
	for range 3 {
		if _, at := v.watch(t, 0); at != 1 {
			t.Errorf("up to %d", at)
		}
	}
	if asked != 1 || v.store.calls.Load() != 3 {
		t.Errorf("relay asked %d times, store %d times", asked, v.store.calls.Load())
	}
}

// dialer counts the connections that are asked for.
type dialer func()

// Conn opens a connection.
func (d dialer) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	d()
	return rpc.NewDialer(rpc.DialerConfig{DialTimeout: 50 * time.Millisecond}).Conn(ctx, addr)
}

// TestRelayWithoutNews follows through a relay that knows of no change: there is
// none, and the store is not asked.
func TestRelayWithoutNews(t *testing.T) {
	r, v := newVM(t), newVM(t)
	v.relays = []string{r.server.Addr()}
	r.read(t)
	if cs, at := v.watch(t, 4); len(cs) != 0 || at != 4 || v.up.Through() == "" || v.store.calls.Load() != 0 {
		t.Errorf("%+v up to %d", cs, at)
	}
}

// TestStartWithoutStore starts a VM while the store refuses all calls: it takes
// what a seed knows. Later it does not: what the seed knows may be older than
// what the VM has.
func TestStartWithoutStore(t *testing.T) {
	r, dark := newVM(t), newVM(t)
	r.read(t)
	down := &store{down: true}
	d := rpc.NewDialer(rpc.DialerConfig{})
	defer func() { _ = d.Close() }()
	log := changelog.New(changelog.Config{MaxAge: time.Minute})
	u := upstream.New(upstream.Config{Store: down, Log: log, Dialer: d, Relays: func() []string { return nil },
		Seeds: []string{"127.0.0.1:1", dark.server.Addr(), r.server.Addr()}})
	all, at, err := u.Range(t.Context(), "")
	if err != nil || at != 1 || len(all) != 1 || all[0].Key != "k" {
		t.Errorf("%+v up to %d, %v", all, at, err)
	}
	if _, _, err := log.Wait(t.Context(), 1, 0); !errors.Is(err, changelog.ErrUnavailable) {
		t.Error("others are told what was not read from the store:", err)
	}
	if _, _, err := u.Range(t.Context(), ""); !errors.Is(err, errDown) {
		t.Error("a later read:", err)
	}
}
