package config

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/kv"
)

const (
	// retryFirst bounds the wait after the first failed call to the service;
	// a random part of it is taken. It doubles up to the bound of a watching
	// or a polling node.
	retryFirst     = 100 * time.Millisecond
	retryMostWatch = 5 * time.Second
	retryMostPoll  = 30 * time.Second
	// pollEvery is the mean time between two reads of a polling node.
	pollEvery = 30 * time.Second
	// emptyEvery is the least time between two reads while there is no root.
	emptyEvery = time.Second
	// fetchers is how many documents are read at a time.
	fetchers = 8
)

// follow keeps the configuration up to date with the service.
func (m *Manager) follow() {
	f := follower{m: m, mode: m.c.Mode, retry: retryFirst}
	for m.ctx.Err() == nil {
		f.step()
	}
}

// follower is the state of the goroutine that follows the service.
type follower struct {
	m     *Manager
	mode  Mode
	retry time.Duration
	// after is the service's revision of the root last read.
	after uint64
	// rest is how long to pause after a call that went well.
	rest time.Duration
}

// step does one thing: a watch, a read, or a wait for another mode.
func (f *follower) step() {
	switch f.mode {
	case Watching:
		f.guarded(f.watch)
	case Polling:
		f.rest = pollEvery/2 + f.m.jitter(pollEvery)
		f.guarded(f.m.Refresh)
	case Idle:
		f.wait(0)
	}
}

// guarded runs call until it ends or the mode changes, and backs off when it
// fails.
func (f *follower) guarded(call func(context.Context) bool) {
	ctx, cancel := context.WithCancel(f.m.ctx)
	defer cancel()
	done := make(chan bool, 1)
	f.m.wg.Go(func() { done <- call(ctx) })
	var ok bool
	select {
	case ok = <-done:
	case v := <-f.m.mode:
		cancel()
		<-done
		f.set(v)
		return
	}
	if ok {
		f.retry = retryFirst
		if f.rest > 0 {
			f.wait(f.rest)
		}
		return
	}
	f.wait(f.m.jitter(f.retry))
	most := retryMostPoll
	if f.mode == Watching || f.m.Current().Revision == 0 {
		most = retryMostWatch
	}
	f.retry = min(2*f.retry, most)
}

// wait returns after d, or never for 0, or when the mode changes.
func (f *follower) wait(d time.Duration) {
	if f.m.ctx.Err() != nil {
		return
	}
	var timer <-chan time.Time
	if d > 0 || f.mode != Idle {
		t := time.NewTimer(d)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-timer:
	case v := <-f.m.mode:
		f.set(v)
	case <-f.m.ctx.Done():
	}
}

func (f *follower) set(v Mode) {
	if v != f.mode && v == Watching {
		f.after = 0
	}
	f.mode = v
	f.retry = retryFirst
}

// watch reads the root, or waits for the next one.
func (f *follower) watch(ctx context.Context) bool {
	if f.after == 0 {
		e, st := f.m.c.Store.Get(ctx, RootKey)
		return f.take(ctx, e, st)
	}
	e, st := f.m.c.Store.Watch(ctx, RootKey, f.after)
	if st == kv.NotFound {
		f.rest = 0
		f.m.confirm()
		return true
	}
	return f.take(ctx, e, st)
}

// take deals with one answer of the service and remembers its revision.
func (f *follower) take(ctx context.Context, e kv.Entry, st kv.Status) bool {
	ok := f.m.take(ctx, e, st)
	f.rest = 0
	switch {
	case ok && st == kv.OK:
		f.after = e.Revision
	case ok:
		// No root yet: read again after a pause.
		f.rest = emptyEvery + f.m.jitter(emptyEvery)
	default:
		f.after = 0
	}
	return ok
}

// Refresh reads the root once and puts it in force if it is newer. It is
// false when the service did not give a usable answer.
func (m *Manager) Refresh(ctx context.Context) bool {
	e, st := m.c.Store.Get(ctx, RootKey)
	return m.take(ctx, e, st)
}

func (m *Manager) take(ctx context.Context, e kv.Entry, st kv.Status) bool {
	switch st {
	case kv.OK:
		return m.takeRoot(ctx, e.Value)
	case kv.NotFound:
		return m.takeNone()
	}
	return false
}

// takeNone deals with a service that has no root.
func (m *Manager) takeNone() bool {
	h := m.current.Load()
	if h.index.Revision > 0 {
		_ = m.older(0, Hash{}, h, string(FromStore))
		return false
	}
	m.empty.Store(true)
	return true
}

// takeRoot deals with a root value.
func (m *Manager) takeRoot(ctx context.Context, b []byte) bool {
	r, err := DecodeRoot(b)
	if err != nil {
		m.refuse(string(FromStore), err)
		return false
	}
	h := m.current.Load()
	if r.Index.Revision <= h.index.Revision {
		if m.older(r.Index.Revision, r.Index.Digest(), h, string(FromStore)) != nil {
			return false
		}
		m.confirm()
		return true
	}
	docs, ok := m.fetch(ctx, r.Index, h)
	if !ok {
		return false
	}
	if _, err := m.adopt(r.Index, docs, FromStore, string(FromStore)); err != nil {
		return false
	}
	m.confirm()
	return true
}

// confirm notes that the service was seen to hold what is in force.
func (m *Manager) confirm() { m.confirmed.Store(time.Now().UnixNano()) }

// fetch reads the documents of x that are not held.
func (m *Manager) fetch(ctx context.Context, x Index, h *held) (map[string][]byte, bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	docs := map[string][]byte{}
	ok := true
	slots := make(chan struct{}, fetchers)
	for _, r := range x.Refs {
		if old, in := h.index.Find(r.Name); in && old.Hash == r.Hash {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			e, st := m.c.Store.Get(ctx, documentKey(r))
			mu.Lock()
			defer mu.Unlock()
			docs[r.Name] = e.Value
			ok = ok && st == kv.OK
			if st == kv.NotFound {
				m.c.Events.Emit(event.ConfigRefused, r.Name, "document is absent")
			}
		})
	}
	wg.Wait()
	return docs, ok
}
