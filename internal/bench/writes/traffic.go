package writes

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/load"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/state/idempotency"
)

const (
	// deadline of one request.
	deadline = 2 * time.Second
	// serviceTime is the longest time that a request runs.
	serviceTime = 20 * time.Millisecond
	// repeatShare of the requests are sent a second time for no reason.
	repeatShare = 0.03
	// maxSends bounds how often a caller sends a request that was not run.
	maxSends = 3
	// resendPause is the longest wait before it does.
	resendPause = 300 * time.Millisecond
	// fingerprint of all requests.
	fingerprint = 1
	// settleTime lets outcomes be written before the repeats.
	settleTime = time.Second
	// repeaters is the number of repeats at a time after the run.
	repeaters = 64
	// longest is the largest time that the histogram holds, in microseconds.
	longest = int64(time.Minute / time.Microsecond)
	// digits is the histogram's number of significant digits.
	digits = 3
)

// traffic is the callers.
type traffic struct {
	fleet  *fleet
	oracle *oracle
	plan   plan

	mu     sync.Mutex
	random *rand.Rand
	claims *hdrhistogram.Histogram
	// running holds those of claims whose node was not paused meanwhile.
	running *hdrhistogram.Histogram
	// sends counts requests, answers count their claims by status.
	sends   int
	answers map[idempotency.Status]int
	reasons map[outcome.Reason]int
}

func newTraffic(f *fleet, p plan, r *rand.Rand) *traffic {
	return &traffic{
		fleet: f, oracle: newOracle(), plan: p, random: r,
		claims:  hdrhistogram.New(1, longest, digits),
		running: hdrhistogram.New(1, longest, digits),
		answers: map[idempotency.Status]int{}, reasons: map[outcome.Reason]int{},
	}
}

// play sends requests at a rate and returns the calls of the service that
// were counted until the last outcome had time to be written.
func (t *traffic) play(ctx context.Context, rate float64, d time.Duration) platform.Stats {
	arrivals := rand.New(rand.NewPCG(t.draw().Uint64(), 1))
	load.Run(ctx, load.Config{Rate: rate, Duration: d, Random: arrivals}, func(due time.Time) {
		t.caller(ctx, due)
	})
	pause.Sleep(ctx, settleTime)
	return t.fleet.platform.Stats()
}

// draw returns a random source for one caller.
func (t *traffic) draw() *rand.Rand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.New(rand.NewPCG(t.random.Uint64(), 2))
}

// caller sends one request until it is answered with more than not_run.
func (t *traffic) caller(ctx context.Context, due time.Time) {
	r := t.draw()
	k := t.key(r)
	if r.Float64() < repeatShare {
		// A second send of the same request, through another node.
		var w sync.WaitGroup
		defer w.Wait()
		q := t.draw()
		w.Go(func() {
			pause.Sleep(ctx, time.Duration(q.Int64N(int64(resendPause))))
			t.send(ctx, q, k, time.Now())
		})
	}
	for range maxSends {
		if t.send(ctx, r, k, due).Status != idempotency.Refused {
			return
		}
		pause.Sleep(ctx, time.Duration(r.Int64N(int64(resendPause))))
		due = time.Now()
	}
}

// key returns a UUIDv7 by the caller's clock.
func (t *traffic) key(r *rand.Rand) string {
	at := time.Now()
	if s := t.plan.skew; s > 0 {
		at = at.Add(time.Duration(r.Int64N(int64(2*s))) - s)
	}
	if b := t.plan.backlog; b > 0 {
		at = at.Add(-time.Duration(r.Int64N(int64(b))))
	}
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16|r.Uint64()&0xffff)
	binary.BigEndian.PutUint64(u[8:], r.Uint64())
	u[6] = 0x70 | u[6]&0x0f
	u[8] = 0x80 | u[8]&0x3f
	return u.String()
}

// send sends a request to a random node, which runs it if it may.
func (t *traffic) send(ctx context.Context, r *rand.Rand, key string, due time.Time) idempotency.Claim {
	n := t.fleet.nodes[r.IntN(len(t.fleet.nodes))]
	ctx, cancel := context.WithDeadline(ctx, due.Add(deadline))
	defer cancel()
	pauses, up := n.gate.pauses()
	n.gate.pass()
	c := n.claims.Claim(ctx, idempotency.Request{Key: key, Fingerprint: fingerprint})
	t.note(c, time.Since(due), up && n.gate.ran(pauses))
	t.oracle.tell(key, c)
	if c.Status == idempotency.Claimed {
		n.gate.pass()
		t.oracle.run(key)
		pause.Sleep(context.WithoutCancel(ctx), time.Duration(r.Int64N(int64(serviceTime))))
		n.gate.pass()
		n.claims.Record(c, idempotency.Record{Outcome: outcome.OK(), Revision: 1})
	}
	return c
}

// note counts an answer; ran tells that its node was not paused.
func (t *traffic) note(c idempotency.Claim, d time.Duration, ran bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends++
	t.answers[c.Status]++
	if c.Status == idempotency.Refused {
		t.reasons[c.Reason]++
	}
	_ = t.claims.RecordValue(min(d.Microseconds(), longest))
	if ran {
		_ = t.running.RecordValue(min(d.Microseconds(), longest))
	}
}

// repeatAll sends every key that ran once more; none may run again.
func (t *traffic) repeatAll(ctx context.Context) {
	keys := make(chan string)
	var w sync.WaitGroup
	for range repeaters {
		w.Go(func() {
			r := t.draw()
			for k := range keys {
				n := t.fleet.nodes[r.IntN(len(t.fleet.nodes))]
				c, cancel := context.WithTimeout(ctx, deadline)
				if n.claims.Claim(c, idempotency.Request{Key: k, Fingerprint: fingerprint}).Status == idempotency.Claimed {
					t.oracle.run(k)
				}
				cancel()
			}
		})
	}
	for _, k := range t.oracle.keys() {
		keys <- k
	}
	close(keys)
	w.Wait()
}

// figures are what the arm measured. The baseline has no targets.
func (t *traffic) figures(s platform.Stats, d time.Duration, targets bool) []scenario.Figure {
	t.mu.Lock()
	defer t.mu.Unlock()
	sends := float64(t.sends)
	c := t.fleet.counts()
	perWrite := figure.Ratio(float64(s.Reads+s.Writes+s.Watches), sends)
	peak := float64(s.PeakWrites)
	calls := []scenario.Figure{figure.Of("kv_calls_per_write", perWrite), figure.Of("kv_writes_peak_per_second", peak)}
	if targets {
		calls = []scenario.Figure{figure.AtMost("kv_calls_per_write", perWrite, callsTarget), figure.AtMost("kv_writes_peak_per_second", peak, writesTarget)}
	}
	return append(calls,
		figure.Of("kv_writes_per_second", float64(s.Writes)/d.Seconds()),
		figure.Of("kv_reads_per_second", float64(s.Reads)/d.Seconds()),
		figure.Of("kv_written_kb_per_second", float64(t.fleet.bytes.Load())/1000/d.Seconds()),
		figure.Of("claim_p50_ms", quantile(t.claims, 50)),
		figure.Of("claim_p99_ms", quantile(t.claims, 99)),
		figure.Of("claim_max_ms", quantile(t.claims, 100)),
		figure.Of("claim_running_p99_ms", quantile(t.running, 99)),
		figure.Of("requests", sends),
		figure.Of("claimed", float64(t.answers[idempotency.Claimed])),
		figure.Of("repeated", float64(t.answers[idempotency.Repeated])),
		figure.Of("in_progress", float64(t.answers[idempotency.InProgress])),
		figure.Of("refused_store_down", float64(t.reasons[outcome.StoreDown])),
		figure.Of("forwards", float64(c.Forwards)),
		figure.Of("forward_failures", float64(c.ForwardFailures)),
		figure.Of("kv_conflicts", float64(c.Conflicts)),
		figure.Of("unresolved", float64(c.Unresolved)),
		figure.Of("refused_shed", float64(t.reasons[outcome.Shed])),
	)
}

// quantile of the claims, in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func (t *traffic) distribution() []scenario.Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ps []scenario.Point
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100} {
		ps = append(ps, scenario.Point{X: q / 100, Y: quantile(t.claims, q)})
	}
	return ps
}
