package changelog_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

// history is a store with all its changes.
type history struct {
	changes []follow.Change
	now     map[string]follow.Change
}

// at is the store's revision.
func (h *history) at() follow.Revision { return follow.Revision(len(h.changes)) }

// change writes or removes a key.
func (h *history) change(key string, deleted bool) {
	if _, ok := h.now[key]; deleted && !ok {
		return
	}
	c := follow.Change{Key: key, Value: fmt.Append(nil, len(h.changes)), Revision: h.at() + 1, Deleted: deleted}
	h.changes = append(h.changes, c)
	if deleted {
		delete(h.now, key)
	} else {
		h.now[key] = c
	}
}

// all is a full read.
func (h *history) all() []follow.Change {
	var cs []follow.Change
	for _, c := range h.now {
		cs = append(cs, c)
	}
	return cs
}

// reader follows a log.
type reader struct {
	at   follow.Revision
	seen map[string]string
}

// take applies changes.
func (r *reader) take(cs []follow.Change, at follow.Revision) {
	for _, c := range cs {
		if c.Deleted {
			delete(r.seen, c.Key)
		} else {
			r.seen[c.Key] = string(c.Value)
		}
	}
	r.at = max(r.at, at)
}

// reread takes a full read of the store.
func (r *reader) reread(h *history) {
	r.seen = map[string]string{}
	r.take(h.all(), h.at())
}

// TestFollowers feeds a log with watches and, where watches told nothing of some
// changes, with full reads. Whoever follows the log has, each time that the log
// was read up to date, exactly what stands in the store, however long ago it
// asked last.
func TestFollowers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{now: map[string]follow.Change{}}
		l := changelog.New(changelog.Config{MaxAge: time.Hour})
		l.Reset(h.all(), 0)
		rs := [2]*reader{{seen: map[string]string{}}, {seen: map[string]string{}}}
		read := follow.Revision(0)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			for range rapid.IntRange(0, 5).Draw(rt, "changes") {
				h.change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "key"), rapid.Bool().Draw(rt, "deleted"))
			}
			if rapid.Bool().Draw(rt, "full read") {
				if rapid.Bool().Draw(rt, "told of nothing") {
					l.Append(read, nil, h.at())
					h.change("e", false)
				}
				l.Reset(h.all(), h.at())
			} else {
				l.Append(read, h.changes[read:], h.at())
			}
			read = h.at()
			for i, r := range rs {
				if i > 0 && rapid.Bool().Draw(rt, "sleeps") {
					continue
				}
				cs, at, err := l.Wait(context.Background(), r.at, 0)
				switch {
				case errors.Is(err, follow.ErrCompacted):
					r.reread(h)
				case err != nil:
					rt.Fatal(err)
				default:
					r.take(cs, at)
				}
				want := map[string]string{}
				for k, c := range h.now {
					want[k] = string(c.Value)
				}
				if !maps.Equal(r.seen, want) {
					rt.Fatalf("reader %d has %v, the store %v", i, r.seen, want)
				}
			}
		}
	})
}

// TestUnavailable asks a log that cannot know: one that was never fed, one
// whose store does not answer, one fed by another VM, and one that was fed too
// long ago. Who waits is told at once.
func TestUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := changelog.New(changelog.Config{MaxAge: 5 * time.Second})
		ask := func(wait time.Duration) error {
			_, _, err := l.Wait(t.Context(), 7, wait)
			return err
		}
		if err := ask(0); !errors.Is(err, changelog.ErrUnavailable) {
			t.Error("never fed:", err)
		}
		l.Append(7, nil, 7)
		if err := ask(time.Second); err != nil {
			t.Error("fed:", err)
		}
		go func() {
			time.Sleep(time.Second)
			l.MarkUnreachable()
		}()
		began := time.Now()
		if err := ask(time.Minute); !errors.Is(err, changelog.ErrUnavailable) || time.Since(began) != time.Second {
			t.Errorf("store lost: %v after %s", err, time.Since(began))
		}
		l.AppendRelayed(7, nil, 8)
		if err := ask(0); !errors.Is(err, changelog.ErrUnavailable) {
			t.Error("fed by another VM:", err)
		}
		l.Append(8, nil, 8)
		time.Sleep(6 * time.Second)
		if err := ask(0); !errors.Is(err, changelog.ErrUnavailable) {
			t.Error("fed long ago:", err)
		}
	})
}

// TestBounded makes more changes than are kept: what was dropped is not passed
// over in silence.
func TestBounded(t *testing.T) {
	h := &history{now: map[string]follow.Change{}}
	l := changelog.New(changelog.Config{MaxAge: time.Hour})
	for range 5000 {
		h.change("k", false)
	}
	l.Append(0, h.changes, h.at())
	if _, _, err := l.Wait(t.Context(), 1, 0); !errors.Is(err, follow.ErrCompacted) {
		t.Error("old changes:", err)
	}
	cs, at, err := l.Wait(t.Context(), 4990, 0)
	if err != nil || at != 5000 || len(cs) != 1 || cs[0].Revision != 5000 {
		t.Errorf("new changes: %d up to %d, %v", len(cs), at, err)
	}
}
