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

	"egrethaven/internal/infra/boottime"
	_ "egrethaven/internal/proof/fixedseed"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

// history is a store that keeps all its changes.
type history struct {
	changes []follow.Change
	entries map[string]follow.Change
}

// rev returns the store's revision.
func (h *history) rev() follow.Revision { return follow.Revision(len(h.changes)) }

// at returns the store's position.
func (h *history) at() follow.Position { return rev(h.rev()) }

// rev returns the position of a revision of a store that was never restored.
func rev(r follow.Revision) follow.Position { return follow.Position{Revision: r} }

// change writes or deletes a key.
func (h *history) change(key string, deleted bool) {
	if _, ok := h.entries[key]; deleted && !ok {
		return
	}
	c := follow.Change{Key: key, Value: fmt.Append(nil, len(h.changes)), Revision: h.rev() + 1, Deleted: deleted}
	h.changes = append(h.changes, c)
	if deleted {
		delete(h.entries, key)
	} else {
		h.entries[key] = c
	}
}

// all returns all entries, as a full read does.
func (h *history) all() []follow.Change {
	var cs []follow.Change
	for _, c := range h.entries {
		cs = append(cs, c)
	}
	return cs
}

// reader holds the copy of a VM that follows the log.
type reader struct {
	at     follow.Position
	copied map[string]string
}

// apply applies changes up to a position.
func (r *reader) apply(cs []follow.Change, at follow.Position) {
	for _, c := range cs {
		if c.Deleted {
			delete(r.copied, c.Key)
		} else {
			r.copied[c.Key] = string(c.Value)
		}
	}
	r.at = at
}

// reset replaces the copy by a full read of the store.
func (r *reader) reset(h *history) {
	r.copied = map[string]string{}
	r.apply(h.all(), h.at())
}

// TestFollowers updates a log from random watches and full reads, some of which
// follow a watch that missed changes. After each update, the copy of a follower must
// equal the store, no matter how long ago the follower last called Wait.
func TestFollowers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{entries: map[string]follow.Change{}}
		l := changelog.New(changelog.Config{MaxAge: time.Hour})
		l.ReplaceEntries(h.all(), rev(0), boottime.Now())
		rs := [2]*reader{{copied: map[string]string{}}, {copied: map[string]string{}}}
		read := follow.Revision(0)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			for range rapid.IntRange(0, 5).Draw(rt, "changes") {
				h.change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "key"), rapid.Bool().Draw(rt, "deleted"))
			}
			if rapid.Bool().Draw(rt, "full read") {
				if rapid.Bool().Draw(rt, "told of nothing") {
					l.Append(rev(read), nil, h.at(), boottime.Now())
					h.change("e", false)
				}
				l.ReplaceEntries(h.all(), h.at(), boottime.Now())
			} else {
				l.Append(rev(read), h.changes[read:], h.at(), boottime.Now())
			}
			read = h.rev()
			for i, r := range rs {
				if i > 0 && rapid.Bool().Draw(rt, "sleeps") {
					continue
				}
				u, err := l.Wait(context.Background(), r.at, 0)
				switch {
				case errors.Is(err, follow.ErrCompacted):
					r.reset(h)
				case err != nil:
					rt.Fatal(err)
				default:
					r.apply(u.Changes, u.Position)
				}
				want := map[string]string{}
				for k, c := range h.entries {
					want[k] = string(c.Value)
				}
				if !maps.Equal(r.copied, want) {
					rt.Fatalf("copy of reader %d is %v, want %v", i, r.copied, want)
				}
			}
		}
	})
}

// TestUnavailable checks that Wait returns ErrUnavailable if the log was never
// updated, the store is unreachable, the changes were relayed by another VM, or the
// last update is older than MaxAge, and that a Wait in progress returns at once.
func TestUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := changelog.New(changelog.Config{MaxAge: 5 * time.Second})
		wait := func(d time.Duration) error {
			_, err := l.Wait(t.Context(), rev(7), d)
			return err
		}
		if err := wait(0); !errors.Is(err, changelog.ErrUnavailable) {
			t.Error("before the first update:", err)
		}
		l.Append(rev(7), nil, rev(7), boottime.Now())
		if err := wait(time.Second); err != nil {
			t.Error("after an update:", err)
		}
		go func() {
			time.Sleep(time.Second)
			l.MarkUnreachable()
		}()
		began := time.Now()
		if err := wait(time.Minute); !errors.Is(err, changelog.ErrUnavailable) || time.Since(began) != time.Second {
			t.Errorf("store unreachable: %v after %s", err, time.Since(began))
		}
		l.AppendRelayed(rev(7), nil, rev(8))
		if err := wait(0); !errors.Is(err, changelog.ErrUnavailable) {
			t.Error("after a relayed update:", err)
		}
		l.Append(rev(8), nil, rev(8), boottime.Now())
		time.Sleep(6 * time.Second)
		if err := wait(0); !errors.Is(err, changelog.ErrUnavailable) {
			t.Error("last update older than MaxAge:", err)
		}
	})
}

// TestBounded checks that Wait returns ErrCompacted for a revision whose changes
// were dropped because of maxChanges.
func TestBounded(t *testing.T) {
	h := &history{entries: map[string]follow.Change{}}
	l := changelog.New(changelog.Config{MaxAge: time.Hour})
	for range 5000 {
		h.change("k", false)
	}
	l.Append(rev(0), h.changes, h.at(), boottime.Now())
	if _, err := l.Wait(t.Context(), rev(1), 0); !errors.Is(err, follow.ErrCompacted) {
		t.Error("dropped changes:", err)
	}
	u, err := l.Wait(t.Context(), rev(4990), 0)
	if err != nil || u.Position != rev(5000) || len(u.Changes) != 1 || u.Changes[0].Revision != 5000 {
		t.Errorf("recent changes: got %d up to %s, %v", len(u.Changes), u.Position, err)
	}
}

// TestEndsAtMaxAge checks that a Wait in progress ends when the log reaches MaxAge.
func TestEndsAtMaxAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := changelog.New(changelog.Config{MaxAge: 2 * time.Second})
		l.Append(rev(7), nil, rev(7), boottime.Now())
		began := time.Now()
		_, err := l.Wait(t.Context(), rev(7), time.Minute)
		if d := time.Since(began); !errors.Is(err, changelog.ErrUnavailable) || d < 2*time.Second || d > 2010*time.Millisecond {
			t.Errorf("%v after %s, want ErrUnavailable after 2s", err, d)
		}
	})
}

// TestAnswerReadAfterPause: a relay that was paused for seconds between the store's
// answer and reading it must not pass the answer on as recent.
func TestAnswerReadAfterPause(t *testing.T) {
	l := changelog.New(changelog.Config{MaxAge: 2 * time.Second})
	l.Append(rev(7), nil, rev(8), boottime.Now().Add(-5*time.Second))
	if _, err := l.Wait(t.Context(), rev(7), 0); !errors.Is(err, changelog.ErrUnavailable) {
		t.Error(err)
	}
}

// TestFollowerOfAnotherEra: a log that compared revisions only told followers of before
// a restore that nothing had changed.
func TestFollowerOfAnotherEra(t *testing.T) {
	l := changelog.New(changelog.Config{MaxAge: time.Hour})
	l.ReplaceEntries([]follow.Change{{Key: "k", Revision: 9}}, follow.Position{Era: 1, Revision: 9}, boottime.Now())
	l.ReplaceEntries([]follow.Change{{Key: "k", Revision: 8}}, follow.Position{Era: 2, Revision: 12}, boottime.Now())
	for after, want := range map[follow.Position]error{
		{Era: 1, Revision: 9}: follow.ErrRestored, {Era: 1, Revision: 20}: follow.ErrRestored,
		{Era: 3, Revision: 9}: changelog.ErrUnavailable, {Era: 2, Revision: 9}: follow.ErrCompacted, {Era: 2, Revision: 12}: nil,
	} {
		if _, err := l.Wait(t.Context(), after, 0); !errors.Is(err, want) {
			t.Errorf("after %s: %v, want %v", after, err, want)
		}
	}
}
