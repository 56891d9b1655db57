package kv_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/platform/kv"
	"egrethaven/internal/standin/platform"
	"egrethaven/platform/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startPlatform returns a stand-in platform and a client that is connected to it.
func startPlatform(t *testing.T, c kv.Config) (*platform.Platform, *kv.Client) {
	t.Helper()
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.Transport = store.New(store.Config{Addr: p.Addr()})
	k := kv.New(c)
	t.Cleanup(func() { _ = k.Close(); _ = p.Close() })
	return p, k
}

func wantStatus(t *testing.T, call string, got, want kv.Status) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: status %v, want %v", call, got, want)
	}
}

func TestSwap(t *testing.T) {
	_, k := startPlatform(t, kv.Config{})
	ctx := t.Context()
	_, s := k.Get(ctx, "a/b?c")
	wantStatus(t, "get of an absent key", s, kv.NotFound)
	e, s := k.Swap(ctx, "a/b?c", 0, []byte("one"))
	wantStatus(t, "first swap", s, kv.OK)
	n, s := k.Swap(ctx, "a/b?c", 0, []byte("two"))
	wantStatus(t, "swap with an outdated revision", s, kv.Conflict)
	if string(n.Value) != "one" || n.Revision != e.Revision {
		t.Fatalf("conflict returned the entry %+v, want the current one", n)
	}
	es, s := k.List(ctx, "a/")
	if s != kv.OK || len(es) != 1 || es[0].Key != "a/b?c" {
		t.Fatalf("list returned %v with status %v", es, s)
	}
	wantStatus(t, "delete with an outdated revision", k.Delete(ctx, "a/b?c", e.Revision-1), kv.Conflict)
	wantStatus(t, "delete", k.Delete(ctx, "a/b?c", e.Revision), kv.OK)
	_, s = k.Swap(ctx, "a/b?c", 0, make([]byte, kv.MaxValueBytes+1))
	wantStatus(t, "swap of a too large value", s, kv.TooLarge)
}

func TestWatchReturnsChange(t *testing.T) {
	p, k := startPlatform(t, kv.Config{WatchTimeout: time.Minute})
	got := make(chan kv.Entry)
	go func() {
		e, _ := k.Watch(context.Background(), "root", 0)
		got <- e
	}()
	for p.Stats().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	p.Put("root", []byte("x"))
	if e := <-got; string(e.Value) != "x" {
		t.Fatalf("watch returned %+v", e)
	}
}

func TestWatchTimesOut(t *testing.T) {
	_, k := startPlatform(t, kv.Config{WatchTimeout: time.Millisecond})
	_, s := k.Watch(t.Context(), "root", 0)
	wantStatus(t, "watch", s, kv.NotFound)
}

func TestLostAnswerIsUnknown(t *testing.T) {
	p, k := startPlatform(t, kv.Config{})
	p.SetFaults(platform.Faults{AnswerLossRate: 1})
	_, s := k.Swap(t.Context(), "a", 0, []byte("x"))
	wantStatus(t, "swap", s, kv.Unknown)
	if e, ok := p.Get("a"); !ok || string(e.Value) != "x" {
		t.Fatal("the swap whose answer was lost had no effect")
	}
	if w := p.Stats().Writes; w != 1 {
		t.Fatalf("the write was sent %d times", w)
	}
}

func TestRefusedCallIsDown(t *testing.T) {
	p, k := startPlatform(t, kv.Config{})
	p.SetFaults(platform.Faults{Down: true})
	_, s := k.Swap(t.Context(), "a", 0, nil)
	wantStatus(t, "refused swap", s, kv.Unavailable)
	if k.OutageDuration() == 0 {
		t.Fatal("no outage after a refused call")
	}
	p.SetFaults(platform.Faults{WritesPerSecond: 1})
	_, s = k.Swap(t.Context(), "a", 0, nil)
	wantStatus(t, "first swap", s, kv.OK)
	if k.OutageDuration() != 0 {
		t.Fatal("outage continues after a successful call")
	}
	_, s = k.Swap(t.Context(), "b", 0, nil)
	wantStatus(t, "throttled swap", s, kv.Unavailable)
	if c := k.Counts(); c.Throttled != 1 || c.Down != 2 || c.Writes != 3 {
		t.Fatalf("counts %+v", c)
	}
}

func TestRefusedConnectionIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	k := kv.New(kv.Config{Transport: store.New(store.Config{Addr: l.Addr().String()})})
	_, s := k.Swap(t.Context(), "a", 0, nil)
	wantStatus(t, "swap", s, kv.Unavailable)
}

func TestLeasedKeyExpires(t *testing.T) {
	p, k := startPlatform(t, kv.Config{})
	ctx := t.Context()
	l, s := k.Grant(ctx, time.Hour.Milliseconds())
	wantStatus(t, "grant", s, kv.OK)
	_, s = k.SwapLeased(ctx, "a", 0, []byte("x"), l)
	wantStatus(t, "leased swap", s, kv.OK)
	wantStatus(t, "renewal", k.KeepAlive(ctx, l), kv.OK)
	p.ExpireLeases()
	wantStatus(t, "renewal after expiry", k.KeepAlive(ctx, l), kv.NotFound)
	_, s = k.Get(ctx, "a")
	wantStatus(t, "get after expiry", s, kv.NotFound)
	_, s = k.SwapLeased(ctx, "a", 0, []byte("x"), l)
	wantStatus(t, "leased swap after expiry", s, kv.NotFound)
}

// TestWatchOfRestoredStore: a watch from a revision of before a restore returned nothing,
// which was taken for "not changed".
func TestWatchOfRestoredStore(t *testing.T) {
	p, k := startPlatform(t, kv.Config{WatchTimeout: 50 * time.Millisecond})
	p.Put("root", []byte("old"))
	began := time.Now()
	p.Put("root", []byte("new"))
	e, s := k.Get(t.Context(), "root")
	wantStatus(t, "get", s, kv.OK)
	p.RestoreTo(began)
	p.Put("other", nil)
	got, s := k.Watch(t.Context(), "root", e.Revision)
	wantStatus(t, "watch", s, kv.OK)
	if string(got.Value) != "old" || got.Revision <= e.Revision {
		t.Errorf("watch returned %q at revision %d, want the restored entry, above revision %d", got.Value, got.Revision, e.Revision)
	}
}

// TestSwapInRestoredStore: a swap whose expected revision a restored store had given to
// another entry was reported as done.
func TestSwapInRestoredStore(t *testing.T) {
	p, k := startPlatform(t, kv.Config{})
	began := time.Now()
	p.Put("bucket", []byte("ours"))
	e, s := k.Get(t.Context(), "bucket")
	wantStatus(t, "get", s, kv.OK)
	p.RestoreTo(began)
	p.Put("bucket", []byte("theirs"))
	_, s = k.Swap(t.Context(), "bucket", e.Revision, []byte("ours and more"))
	wantStatus(t, "swap", s, kv.Unknown)
}

// TestRestoredAt checks that a client learns of a restore with its next call, and that
// a service that is only down is not taken for restored.
func TestRestoredAt(t *testing.T) {
	p, k := startPlatform(t, kv.Config{})
	p.Put("a", nil)
	_, s := k.Get(t.Context(), "a")
	wantStatus(t, "get", s, kv.OK)
	p.SetFaults(platform.Faults{Down: true})
	_, s = k.Swap(t.Context(), "a", 0, nil)
	wantStatus(t, "swap of a service that is down", s, kv.Unavailable)
	p.SetFaults(platform.Faults{})
	_, s = k.Swap(t.Context(), "b", 0, nil)
	wantStatus(t, "swap", s, kv.OK)
	if at := k.RestoredAt(); !at.IsZero() {
		t.Error("restored at", at)
	}
	p.Restore(0)
	_, s = k.Swap(t.Context(), "c", 0, nil)
	wantStatus(t, "swap after the restore", s, kv.OK)
	if k.RestoredAt().IsZero() {
		t.Error("the restore was not noticed")
	}
}
