package forward

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

// lockedBuffer collects the log lines of concurrent requests.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.b.Bytes())
}

// TestShortOf plays one lack of each kind and checks that the log line of the last request
// names it: a late or failed request did not tell the operator what had been short.
func TestShortOf(t *testing.T) {
	ok := func(d time.Duration) func(int, *http.Request) fakeAnswer { return answerAfter(d, "x") }
	silent := ok(time.Hour)
	// The first request warms up, the others wait for the end of a pause.
	paused := func(n int, _ *http.Request) fakeAnswer {
		if n == 1 {
			return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusOK}
		}
		return fakeAnswer{delay: 130 * time.Millisecond, status: http.StatusOK}
	}
	shed := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
	}
	for name, c := range map[string]struct {
		first, second func(int, *http.Request) fakeAnswer
		// before is the number of requests that are sent just before the last one.
		before    int
		timeout   time.Duration
		allowance float64
		want      []string
	}{
		"nothing":    {ok(10 * time.Millisecond), nil, 0, time.Second, 10, nil},
		"connection": {ok(35 * time.Millisecond), nil, 6, time.Second, 10, []string{"connection"}},
		"slots":      {shed, shed, 0, time.Second, 10, []string{"slots"}},
		"pause":      {paused, nil, 1, time.Second, 10, []string{"pause"}},
		"budget":     {silent, silent, 0, 200 * time.Millisecond, 0, []string{"pause", "budget"}},
		"searchers":  {silent, nil, 1, time.Second, 10, []string{"searchers"}},
		"deadline":   {ok(30 * time.Millisecond), nil, 0, 20 * time.Millisecond, 10, []string{"deadline"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ss := []*fakeSearcher{{id: "s-1", answer: c.first}}
				if c.second != nil {
					ss = append(ss, &fakeSearcher{id: "s-2", answer: c.second})
				}
				fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": ss})
				var out lockedBuffer
				fx.engine.c.Log = event.New(event.Config{Stamp: func() event.Stamp { return event.Stamp{} },
					Logger: &log.Logger{Writer: &log.IOWriter{Writer: &out}}})
				fx.engine.SetBudget(retrybudget.Config{Allowance: c.allowance, Window: 10 * time.Second})
				synctest.Wait()
				for range c.before {
					go fx.engine.Do(t.Context(), newRequest(time.Second))
					synctest.Wait()
				}
				switch name {
				case "pause":
					time.Sleep(50 * time.Millisecond)
				case "searchers":
					time.Sleep(600 * time.Millisecond)
				}
				q := newRequest(c.timeout)
				q.ID = "last"
				fx.engine.Do(t.Context(), q)
				time.Sleep(2 * time.Second)
				lines := out.bytes()
				for line := range bytes.Lines(lines) {
					var l struct {
						Subject string   `json:"subject"`
						ShortOf []string `json:"short_of"`
					}
					if err := json.Unmarshal(line, &l); err != nil {
						t.Fatal(err)
					}
					if l.Subject == "last" && !slices.Equal(l.ShortOf, c.want) {
						t.Errorf("short of %v, want %v, in %s", l.ShortOf, c.want, line)
					}
				}
				if !bytes.Contains(lines, []byte(`"last"`)) {
					t.Error("the request left no line")
				}
			})
		})
	}
}

// TestShortOfProcessor checks that a request that continues late for want of the processor
// says so, and one within the throttling of a small VM does not.
func TestShortOfProcessor(t *testing.T) {
	x, due := &dispatch{route: &routing.Route{}}, time.Now()
	x.noteWake(due, due.Add(15*time.Millisecond))
	if got := x.shortOf(Answer{Reason: TooFewShards}, 0); got != nil {
		t.Errorf("15 ms late: short of %v", got)
	}
	x.noteWake(due, due.Add(50*time.Millisecond))
	if got := x.shortOf(Answer{Reason: TooFewShards}, 0); !slices.Equal(got, []string{"processor"}) {
		t.Errorf("50 ms late: short of %v", got)
	}
}
