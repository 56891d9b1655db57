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

func pair(t *testing.T, c kv.Config) (*platform.Platform, *kv.Client) {
	t.Helper()
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.Wire = store.New(store.Config{Addr: p.Addr()})
	k := kv.New(c)
	t.Cleanup(func() { _ = k.Close(); _ = p.Close() })
	return p, k
}

func want(t *testing.T, what string, got, want kv.Status) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: status %v, want %v", what, got, want)
	}
}

func TestSwap(t *testing.T) {
	_, k := pair(t, kv.Config{})
	ctx := t.Context()
	_, s := k.Get(ctx, "a/b?c")
	want(t, "get of nothing", s, kv.Absent)
	e, s := k.Swap(ctx, "a/b?c", 0, []byte("one"))
	want(t, "first swap", s, kv.Done)
	n, s := k.Swap(ctx, "a/b?c", 0, []byte("two"))
	want(t, "swap over one", s, kv.Conflict)
	if string(n.Value) != "one" || n.Revision != e.Revision {
		t.Fatalf("conflict shows %+v", n)
	}
	es, s := k.List(ctx, "a/")
	if s != kv.Done || len(es) != 1 || es[0].Key != "a/b?c" {
		t.Fatalf("list %v %v", es, s)
	}
	want(t, "delete of an old revision", k.Delete(ctx, "a/b?c", e.Revision-1), kv.Conflict)
	want(t, "delete", k.Delete(ctx, "a/b?c", e.Revision), kv.Done)
	_, s = k.Swap(ctx, "a/b?c", 0, make([]byte, kv.MaxValue+1))
	want(t, "swap of too much", s, kv.TooLarge)
}

func TestWatchSeesChange(t *testing.T) {
	p, k := pair(t, kv.Config{Wait: time.Minute})
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
		t.Fatalf("watch saw %+v", e)
	}
}

func TestWatchEndsWithoutChange(t *testing.T) {
	_, k := pair(t, kv.Config{Wait: time.Millisecond})
	_, s := k.Watch(t.Context(), "root", 0)
	want(t, "watch", s, kv.Absent)
}

func TestLostAnswerIsUnknownAndTookEffect(t *testing.T) {
	p, k := pair(t, kv.Config{})
	p.SetFaults(platform.Faults{AnswerLossRate: 1})
	_, s := k.Swap(t.Context(), "a", 0, []byte("x"))
	want(t, "swap", s, kv.Unknown)
	if e, ok := p.Get("a"); !ok || string(e.Value) != "x" {
		t.Fatal("the swap had no effect")
	}
	if w := p.Stats().Writes; w != 1 {
		t.Fatalf("the write was sent %d times", w)
	}
}

func TestRefusalsAreDown(t *testing.T) {
	p, k := pair(t, kv.Config{})
	p.SetFaults(platform.Faults{Down: true})
	_, s := k.Swap(t.Context(), "a", 0, nil)
	want(t, "refused swap", s, kv.Down)
	if k.Outage() == 0 {
		t.Fatal("no outage")
	}
	p.SetFaults(platform.Faults{WritesPerSecond: 1})
	_, s = k.Swap(t.Context(), "a", 0, nil)
	want(t, "first swap", s, kv.Done)
	if k.Outage() != 0 {
		t.Fatal("still an outage")
	}
	_, s = k.Swap(t.Context(), "b", 0, nil)
	want(t, "throttled swap", s, kv.Down)
	if c := k.Counts(); c.Throttled != 1 || c.Down != 2 || c.Writes != 3 {
		t.Fatalf("counts %+v", c)
	}
}

func TestNothingListensIsDown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	k := kv.New(kv.Config{Wire: store.New(store.Config{Addr: l.Addr().String()})})
	_, s := k.Swap(t.Context(), "a", 0, nil)
	want(t, "swap", s, kv.Down)
}

func TestLeasedKeyVanishes(t *testing.T) {
	p, k := pair(t, kv.Config{})
	ctx := t.Context()
	l, s := k.Grant(ctx, time.Hour.Milliseconds())
	want(t, "grant", s, kv.Done)
	_, s = k.SwapLeased(ctx, "a", 0, []byte("x"), l)
	want(t, "leased swap", s, kv.Done)
	want(t, "renewal", k.KeepAlive(ctx, l), kv.Done)
	p.ExpireLeases()
	want(t, "renewal after the lapse", k.KeepAlive(ctx, l), kv.Absent)
	_, s = k.Get(ctx, "a")
	want(t, "get after the lapse", s, kv.Absent)
	_, s = k.SwapLeased(ctx, "a", 0, []byte("x"), l)
	want(t, "swap after the lapse", s, kv.Absent)
}
