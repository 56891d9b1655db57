package overlap_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/platform/overlap"
)

var errRefused = errors.New("refused")

// config starts attempts after 0, 500 and 1200 ms.
var config = overlap.Config{First: 500 * time.Millisecond, Interval: 700 * time.Millisecond, Attempts: 3, Limit: 2 * time.Second}

// TestRead checks which attempt's answer is returned, and when.
func TestRead(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		// answers are the times that the attempts take; a negative one fails.
		answers  []time.Duration
		attempt  int
		after    time.Duration
		err      error
		attempts int64
	}{
		"prompt":               {[]time.Duration{100}, 0, 100, nil, 1},
		"first swallowed":      {[]time.Duration{never, 10}, 1, 510, nil, 2},
		"slow server":          {[]time.Duration{1500, 1500, 1500}, 0, 1500, nil, 3},
		"refused":              {[]time.Duration{-10}, 0, 10, errRefused, 1},
		"swallowed, refused":   {[]time.Duration{never, -10, 10}, 2, 1210, nil, 3},
		"silent":               {[]time.Duration{never, never, never}, 0, 2000, context.DeadlineExceeded, 3},
		"refused after others": {[]time.Duration{600, -10}, 0, 600, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var attempts atomic.Int64
				got, err := overlap.Read(t.Context(), config, func(ctx context.Context, attempt int) (int, error) {
					attempts.Add(1)
					d := c.answers[attempt] * time.Millisecond
					failed := d < 0
					select {
					case <-time.After(d.Abs()):
					case <-ctx.Done():
						return 0, ctx.Err()
					}
					if failed {
						return 0, errRefused
					}
					return attempt, nil
				})
				if !errors.Is(err, c.err) || got != c.attempt || time.Since(began) != c.after*time.Millisecond || attempts.Load() != c.attempts {
					t.Errorf("answer of attempt %d after %s, %d attempts, %v", got, time.Since(began), attempts.Load(), err)
				}
			})
		})
	}
}
