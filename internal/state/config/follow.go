package config

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/kv"
)

const (
	// minBackoff is the backoff after the first failed call to the store. It
	// doubles up to maxWatchBackoff or maxPollBackoff; a random part of it is
	// waited.
	minBackoff      = 100 * time.Millisecond
	maxWatchBackoff = 5 * time.Second
	maxPollBackoff  = 30 * time.Second
	// pollInterval is the mean time between two reads of a polling node.
	pollInterval = 30 * time.Second
	// emptyPollInterval is the minimum time between two reads while the store
	// has no root.
	emptyPollInterval = time.Second
	// maxConcurrentFetches is the number of documents read concurrently.
	maxConcurrentFetches = 8
)

// follow keeps the configuration up to date with the store until Close.
func (m *Manager) follow() {
	f := follower{m: m, mode: m.c.Mode, backoff: minBackoff}
	for m.ctx.Err() == nil {
		f.step()
	}
}

// follower is the state of the goroutine that follows the store.
type follower struct {
	m       *Manager
	mode    Mode
	backoff time.Duration
	// storeRevision is the key-value revision of the root last read; 0 means
	// that the root has to be read again.
	storeRevision uint64
	// pause is how long to wait after a successful call.
	pause time.Duration
}

// step runs one call of the current mode, or in Idle waits for another mode.
func (f *follower) step() {
	switch f.mode {
	case Watching:
		f.runCall(f.watch)
	case Polling:
		f.pause = pollInterval/2 + f.m.jitter(pollInterval)
		f.runCall(f.m.Refresh)
	case Idle:
		f.wait(0)
	}
}

// runCall runs call until it ends or the mode changes. It then pauses, or backs
// off after a failure.
func (f *follower) runCall(call func(context.Context) bool) {
	ctx, cancel := context.WithCancel(f.m.ctx)
	defer cancel()
	done := make(chan bool, 1)
	f.m.wg.Go(func() { done <- call(ctx) })
	var ok bool
	select {
	case ok = <-done:
	case mode := <-f.m.modeChange:
		cancel()
		<-done
		f.setMode(mode)
		return
	}
	if ok {
		f.backoff = minBackoff
		if f.pause > 0 {
			f.wait(f.pause)
		}
		return
	}
	f.wait(f.m.jitter(f.backoff))
	maxBackoff := maxPollBackoff
	if f.mode == Watching || f.m.Current().Revision == 0 {
		maxBackoff = maxWatchBackoff
	}
	f.backoff = min(2*f.backoff, maxBackoff)
}

// wait returns after d, when the mode changes or at Close. In Idle, a d of 0
// means no time limit.
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
	case mode := <-f.m.modeChange:
		f.setMode(mode)
	case <-f.m.ctx.Done():
	}
}

func (f *follower) setMode(mode Mode) {
	if mode != f.mode && mode == Watching {
		f.storeRevision = 0
	}
	f.mode = mode
	f.backoff = minBackoff
}

// watch reads the root if it is not known, otherwise waits for its next change.
func (f *follower) watch(ctx context.Context) bool {
	if f.storeRevision == 0 {
		e, st := f.m.c.Store.Get(ctx, RootKey)
		return f.handleAnswer(ctx, e, st)
	}
	e, st := f.m.c.Store.Watch(ctx, RootKey, f.storeRevision)
	if st == kv.NotFound {
		f.pause = 0
		f.m.confirm()
		return true
	}
	return f.handleAnswer(ctx, e, st)
}

// handleAnswer handles an answer with the root and keeps its key-value
// revision.
func (f *follower) handleAnswer(ctx context.Context, e kv.Entry, st kv.Status) bool {
	ok := f.m.handleAnswer(ctx, e, st)
	f.pause = 0
	switch {
	case ok && st == kv.OK:
		f.storeRevision = e.Revision
	case ok:
		// The store has no root yet: read again after a pause.
		f.pause = emptyPollInterval + f.m.jitter(emptyPollInterval)
	default:
		f.storeRevision = 0
	}
	return ok
}

// Refresh reads the root and puts its configuration in force if it is newer. It
// returns false if the store gave no usable answer.
func (m *Manager) Refresh(ctx context.Context) bool {
	e, st := m.c.Store.Get(ctx, RootKey)
	return m.handleAnswer(ctx, e, st)
}

func (m *Manager) handleAnswer(ctx context.Context, e kv.Entry, st kv.Status) bool {
	switch st {
	case kv.OK:
		return m.handleRoot(ctx, e.Value)
	case kv.NotFound:
		return m.handleNoRoot()
	}
	return false
}

// handleNoRoot handles a store without a root. It returns false if a
// configuration is in force, as the store has then lost its root.
func (m *Manager) handleNoRoot() bool {
	active := m.current.Load()
	if active.index.Revision > 0 {
		_ = m.refuseUnlessSame(0, Hash{}, active, string(FromStore))
		return false
	}
	m.storeEmpty.Store(true)
	return true
}

// handleRoot puts the configuration of a stored root in force if it is newer.
// It returns false if the root or its documents are not usable.
func (m *Manager) handleRoot(ctx context.Context, b []byte) bool {
	r, err := DecodeRoot(b)
	if err != nil {
		m.refuseCorrupt(string(FromStore), err)
		return false
	}
	active := m.current.Load()
	if r.Index.Revision <= active.index.Revision {
		if m.refuseUnlessSame(r.Index.Revision, r.Index.Digest(), active, string(FromStore)) != nil {
			return false
		}
		m.confirm()
		return true
	}
	docs, ok := m.fetchDocuments(ctx, r.Index, active)
	if !ok {
		return false
	}
	if _, err := m.adopt(r.Index, docs, FromStore, string(FromStore)); err != nil {
		return false
	}
	m.confirm()
	return true
}

// confirm records that the store holds the configuration in force now.
func (m *Manager) confirm() { m.confirmed.Store(time.Now().UnixNano()) }

// fetchDocuments reads the documents of x that the active configuration lacks,
// by search name. It returns false if one could not be read.
func (m *Manager) fetchDocuments(ctx context.Context, x Index, active *activeConfig) (map[string][]byte, bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	docs := map[string][]byte{}
	ok := true
	slots := make(chan struct{}, maxConcurrentFetches)
	for _, r := range x.Refs {
		if old, found := active.index.Find(r.Name); found && old.Hash == r.Hash {
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
				m.c.Events.Emit(event.ConfigRefused, r.Name, "document is missing in the store")
			}
		})
	}
	wg.Wait()
	return docs, ok
}
