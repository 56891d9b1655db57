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

// fakeStore is a store with one entry, whose watches return at once.
type fakeStore struct {
	mu    sync.Mutex
	era   follow.Era
	at    follow.Revision
	down  bool
	calls atomic.Int64
}

var errDown = errors.New("the store is down")

// update runs f, which changes the store's fields, under the lock.
func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Range returns the entry.
func (s *fakeStore) Range(context.Context, string) ([]follow.Change, follow.Position, error) {
	return s.Watch(context.Background(), "", follow.Position{}, 0)
}

// Watch returns the entry if its revision is greater than after.
func (s *fakeStore) Watch(_ context.Context, _ string, after follow.Position, _ time.Duration) ([]follow.Change, follow.Position, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, follow.Position{}, errDown
	case after.Revision >= s.at:
		return nil, follow.Position{Era: s.era, Revision: s.at}, nil
	}
	return []follow.Change{{Key: "k", Value: []byte("v"), Revision: s.at}}, follow.Position{Era: s.era, Revision: s.at}, nil
}

// vm is a VM that serves as a relay and follows the store through relays.
type vm struct {
	store  *fakeStore
	up     *upstream.Upstream
	server *rpc.Server
	relays []string
}

// newVM starts a VM with a store of its own.
func newVM(t *testing.T) *vm {
	v := &vm{store: &fakeStore{at: 1}}
	log := changelog.New(changelog.Config{MaxAge: time.Minute})
	d := rpc.NewDialer(rpc.DialerConfig{})
	v.up = upstream.New(upstream.Config{Store: v.store, Log: log, Dialer: d, Relays: func() []string { return v.relays }})
	var err error
	if v.server, err = rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", IsKnownAddr: func(netip.Addr) bool { return true }}); err != nil {
		t.Fatal(err)
	}
	if err := relayrpc.DRPCRegisterRelay(v.server.Mux(), relay.New(relay.Config{Log: log, HealthScores: healthscore.New(), RetryPool: retrypool.New(retrypool.Config{})})); err != nil {
		t.Fatal(err)
	}
	v.server.Serve()
	t.Cleanup(func() {
		_ = d.Close()
		_ = v.server.Close()
	})
	return v
}

// read reads all entries, which must succeed.
func (v *vm) read(t *testing.T) {
	t.Helper()
	if _, _, err := v.up.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
}

// watch makes one watch, which must succeed.
func (v *vm) watch(t *testing.T, after follow.Revision) ([]follow.Change, follow.Revision) {
	t.Helper()
	cs, at, err := v.up.Watch(t.Context(), "", follow.Position{Revision: after}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return cs, at.Revision
}

// TestFollowsThroughRelay checks that a VM gets changes through a relay without
// calling the store, and from the store at the same revision once the relay is gone,
// cannot reach the store or stops watching it.
func TestFollowsThroughRelay(t *testing.T) {
	for name, breakRelay := range map[string]func(t *testing.T, r *vm){
		"gone":    func(_ *testing.T, r *vm) { _ = r.server.Close() },
		"cut off": func(_ *testing.T, r *vm) { r.store.update(func() { r.store.down = true }) },
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
			r.store.update(func() { r.store.at = 2 })
			r.watch(t, 1)
			if cs, at := v.watch(t, 1); len(cs) != 1 || cs[0].Key != "k" || string(cs[0].Value) != "v" || at != 2 || v.up.RelayAddr() == "" {
				t.Errorf("through the relay: %+v up to %d", cs, at)
			}
			if n := v.store.calls.Load(); n != 0 {
				t.Errorf("%d calls to the store while following the relay", n)
			}
			breakRelay(t, r)
			// This fails if the relay is cut off from the store.
			_, _, _ = r.up.Watch(t.Context(), "", follow.Position{Revision: 2}, 0)
			v.store.update(func() { v.store.at = 3 })
			if cs, at := v.watch(t, 2); len(cs) != 1 || at != 3 || v.up.RelayAddr() != "" {
				t.Errorf("without the relay: %+v up to %d", cs, at)
			}
		})
	}
}

// TestSilentRelay checks that a VM falls back to the store if a relay accepts
// connections but does not respond, and does not try the relay again at once.
func TestSilentRelay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	v := newVM(t)
	dials := 0
	v.relays = []string{l.Addr().String()}
	v.up = upstream.New(upstream.Config{Store: v.store, Log: changelog.New(changelog.Config{MaxAge: time.Minute}),
		Dialer: countingDialer(func() { dials++ }), Relays: func() []string { return v.relays }})
	for range 3 {
		if _, at := v.watch(t, 0); at != 1 {
			t.Errorf("up to %d", at)
		}
	}
	if dials != 1 || v.store.calls.Load() != 3 {
		t.Errorf("relay dialed %d times, store called %d times", dials, v.store.calls.Load())
	}
}

// countingDialer calls itself for each connection that it opens.
type countingDialer func()

// Conn opens a connection.
func (d countingDialer) Conn(ctx context.Context, addr string) (drpc.Conn, error) {
	d()
	return rpc.NewDialer(rpc.DialerConfig{DialTimeout: 50 * time.Millisecond}).Conn(ctx, addr)
}

// TestRelayWithoutChanges checks that a watch through a relay that has no changes
// returns none and does not fall back to the store.
func TestRelayWithoutChanges(t *testing.T) {
	r, v := newVM(t), newVM(t)
	v.relays = []string{r.server.Addr()}
	r.read(t)
	if cs, at := v.watch(t, 4); len(cs) != 0 || at != 4 || v.up.RelayAddr() == "" || v.store.calls.Load() != 0 {
		t.Errorf("%+v up to %d", cs, at)
	}
}

// TestStartWithoutStore checks that a VM that starts while the store is down takes
// the entries of a seed, without serving them to others. A later read must fail, as
// the seed's entries may be older than the VM's.
func TestStartWithoutStore(t *testing.T) {
	r, empty := newVM(t), newVM(t)
	r.read(t)
	down := &fakeStore{down: true}
	d := rpc.NewDialer(rpc.DialerConfig{})
	defer func() { _ = d.Close() }()
	log := changelog.New(changelog.Config{MaxAge: time.Minute})
	u := upstream.New(upstream.Config{Store: down, Log: log, Dialer: d, Relays: func() []string { return nil },
		Seeds: []string{"127.0.0.1:1", empty.server.Addr(), r.server.Addr()}})
	all, at, err := u.Range(t.Context(), "")
	if err != nil || at != (follow.Position{Revision: 1}) || len(all) != 1 || all[0].Key != "k" {
		t.Errorf("%+v up to %s, %v", all, at, err)
	}
	if _, err := log.Wait(t.Context(), follow.Position{Revision: 1}, 0); !errors.Is(err, changelog.ErrUnavailable) {
		t.Error("the log serves entries that were not read from the store:", err)
	}
	if _, _, err := u.Range(t.Context(), ""); !errors.Is(err, errDown) {
		t.Error("error of a later read:", err)
	}
}

// TestRelayOfAnotherEra checks that a VM reads everything again once its relay knows of a
// restore of the store, and asks the store while its relay does not know of it yet.
func TestRelayOfAnotherEra(t *testing.T) {
	r, v := newVM(t), newVM(t)
	v.relays = []string{r.server.Addr()}
	r.read(t)
	v.read(t)
	r.store.update(func() { r.store.era, r.store.at = 1, 3 })
	r.read(t)
	if _, _, err := v.up.Watch(t.Context(), "", follow.Position{Revision: 4}, time.Second); !errors.Is(err, follow.ErrRestored) {
		t.Error("the relay is of a later era:", err)
	}
	v.store.update(func() { v.store.era, v.store.at = 2, 1 })
	v.read(t)
	v.store.update(func() { v.store.at = 2 })
	cs, at, err := v.up.Watch(t.Context(), "", follow.Position{Era: 2, Revision: 1}, time.Second)
	if err != nil || len(cs) != 1 || at != (follow.Position{Era: 2, Revision: 2}) || v.up.RelayAddr() != "" {
		t.Errorf("the relay is of an earlier era: %+v up to %s, %v", cs, at, err)
	}
}

// TestLateAnswerOfEarlierEra: an answer from before a restore of the store must not
// replace what was read after it.
func TestLateAnswerOfEarlierEra(t *testing.T) {
	v := newVM(t)
	v.store.update(func() { v.store.era = 2 })
	v.read(t)
	v.store.update(func() { v.store.era, v.store.at = 1, 9 })
	if _, _, err := v.up.Watch(t.Context(), "", follow.Position{Era: 2, Revision: 1}, time.Second); !errors.Is(err, follow.ErrOutdated) {
		t.Error("watch:", err)
	}
	if _, _, err := v.up.Range(t.Context(), ""); !errors.Is(err, follow.ErrOutdated) {
		t.Error("full read:", err)
	}
}

// TestRestoredStoreUnreachable: a VM that heard of a restore from its relay, but does not
// reach the store itself, learned nothing more until it did.
func TestRestoredStoreUnreachable(t *testing.T) {
	r, v := newVM(t), newVM(t)
	v.relays = []string{r.server.Addr()}
	r.read(t)
	v.read(t)
	v.store.update(func() { v.store.down = true })
	if _, _, err := v.up.Range(t.Context(), ""); !errors.Is(err, errDown) {
		t.Error("before the restore:", err)
	}
	r.store.update(func() { r.store.era, r.store.at = 1, 3 })
	r.read(t)
	if _, _, err := v.up.Watch(t.Context(), "", follow.Position{Revision: 1}, time.Second); !errors.Is(err, follow.ErrRestored) {
		t.Fatal(err)
	}
	all, at, err := v.up.Range(t.Context(), "")
	if err != nil || len(all) != 1 || at != (follow.Position{Era: 1, Revision: 3}) {
		t.Fatalf("%+v at %s, %v", all, at, err)
	}
	r.store.update(func() { r.store.at = 4 })
	if _, _, err := r.up.Watch(t.Context(), "", at, time.Second); err != nil {
		t.Fatal(err)
	}
	if cs, at, err := v.up.Watch(t.Context(), "", at, time.Second); err != nil || len(cs) != 1 || at.Revision != 4 {
		t.Errorf("%+v at %s, %v", cs, at, err)
	}
}
