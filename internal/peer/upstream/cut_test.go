package upstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/upstream"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

// cuttingStore is a store that cuts watches after a time.
type cuttingStore struct {
	fakeStore
	after time.Duration
	waits []time.Duration
}

func (s *cuttingStore) Watch(ctx context.Context, prefix string, after follow.Position, wait time.Duration) ([]follow.Change, follow.Position, error) {
	s.waits = append(s.waits, wait)
	if wait > s.after {
		time.Sleep(s.after)
		return nil, follow.Position{}, errors.Trace(follow.ErrCut)
	}
	time.Sleep(wait)
	return s.fakeStore.Watch(ctx, prefix, after, wait)
}

// TestCutWatch: each watch that the store cut while it waited counted as an outage, which
// prolongs the time for which searchers that are gone stay in use.
func TestCutWatch(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		down  bool
		fails bool
		calls int
	}{
		"cut while it waits":        {600 * time.Millisecond, false, false, 2},
		"cut when the store fails":  {600 * time.Millisecond, true, true, 2},
		"refused before it waits":   {10 * time.Millisecond, false, true, 1},
		"cut, and the check is too": {0, false, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &cuttingStore{after: c.after}
				s.at = 1
				u := upstream.New(upstream.Config{Store: s, Log: changelog.New(changelog.Config{MaxAge: time.Minute}), Relays: func() []string { return nil }})
				if _, _, err := u.Range(t.Context(), ""); err != nil {
					t.Fatal(err)
				}
				s.down = c.down
				_, at, err := u.Watch(t.Context(), "", follow.Position{Revision: 1}, 3*time.Second)
				if (err != nil) != c.fails || err == nil && at.Revision != 1 {
					t.Errorf("got %v, %v", at, err)
				}
				if len(s.waits) != c.calls {
					t.Errorf("watches with the waits %v, want %d", s.waits, c.calls)
				}
			})
		})
	}
}
