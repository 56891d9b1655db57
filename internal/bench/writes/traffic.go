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
	// requestTimeout is the time limit of one request.
	requestTimeout = 2 * time.Second
	maxServiceTime = 20 * time.Millisecond
	// duplicateFraction of the requests are sent twice.
	duplicateFraction = 0.03
	maxSends          = 3
	// maxResendDelay is the maximum delay before a resend.
	maxResendDelay = 300 * time.Millisecond
	fingerprint    = 1
	// settleTime is the wait for outcome writes before requests are resent.
	settleTime = time.Second
	// resendWorkers is the number of concurrent resends.
	resendWorkers = 64
	// maxLatencyMicros is the upper bound of the histograms, in microseconds.
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// traffic simulates the callers and records their claims.
type traffic struct {
	fleet  *fleet
	oracle *oracle
	plan   plan

	mu     sync.Mutex
	random *rand.Rand
	// claimLatency is in microseconds from the due time of a request.
	claimLatency *hdrhistogram.Histogram
	// unpausedLatency excludes nodes that were paused meanwhile.
	unpausedLatency *hdrhistogram.Histogram
	sends           int
	byStatus        map[idempotency.Status]int
	refusals        map[outcome.Reason]int
}

func newTraffic(f *fleet, p plan, r *rand.Rand) *traffic {
	return &traffic{
		fleet: f, oracle: newOracle(), plan: p, random: r,
		claimLatency:    hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		unpausedLatency: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		byStatus:        map[idempotency.Status]int{}, refusals: map[outcome.Reason]int{},
	}
}

// run sends rate requests per second for the duration d and returns the platform's
// statistics, including the last outcome writes.
func (t *traffic) run(ctx context.Context, rate float64, d time.Duration) platform.Stats {
	arrivals := rand.New(rand.NewPCG(t.newRand().Uint64(), 1))
	load.Run(ctx, load.Config{Rate: rate, Duration: d, Random: arrivals}, func(due time.Time) {
		t.sendWithRetries(ctx, due)
	})
	pause.Sleep(ctx, settleTime)
	return t.fleet.platform.Stats()
}

func (t *traffic) newRand() *rand.Rand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.New(rand.NewPCG(t.random.Uint64(), 2))
}

// sendWithRetries sends one request until it isn't refused, up to maxSends times.
func (t *traffic) sendWithRetries(ctx context.Context, due time.Time) {
	r := t.newRand()
	k := t.key(r)
	if r.Float64() < duplicateFraction {
		// Send a duplicate through a random node.
		var w sync.WaitGroup
		defer w.Wait()
		dup := t.newRand()
		w.Go(func() {
			pause.Sleep(ctx, time.Duration(dup.Int64N(int64(maxResendDelay))))
			t.send(ctx, dup, k, time.Now())
		})
	}
	for range maxSends {
		if t.send(ctx, r, k, due).Status != idempotency.Refused {
			return
		}
		pause.Sleep(ctx, time.Duration(r.Int64N(int64(maxResendDelay))))
		due = time.Now()
	}
}

// key returns a UUIDv7 with the time of a caller's clock.
func (t *traffic) key(r *rand.Rand) string {
	at := time.Now()
	if s := t.plan.maxSkew; s > 0 {
		at = at.Add(time.Duration(r.Int64N(int64(2*s))) - s)
	}
	if b := t.plan.maxKeyAge; b > 0 {
		at = at.Add(-time.Duration(r.Int64N(int64(b))))
	}
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16|r.Uint64()&0xffff)
	binary.BigEndian.PutUint64(u[8:], r.Uint64())
	u[6] = 0x70 | u[6]&0x0f
	u[8] = 0x80 | u[8]&0x3f
	return u.String()
}

// send claims a request on a random node and runs it if the claim is granted.
func (t *traffic) send(ctx context.Context, r *rand.Rand, key string, due time.Time) idempotency.Claim {
	n := t.fleet.nodes[r.IntN(len(t.fleet.nodes))]
	ctx, cancel := context.WithDeadline(ctx, due.Add(requestTimeout))
	defer cancel()
	pauses, running := n.gate.pauseCount()
	n.gate.wait()
	c := n.claims.Claim(ctx, idempotency.Request{Key: key, Fingerprint: fingerprint})
	t.record(c, time.Since(due), running && n.gate.unpausedSince(pauses))
	t.oracle.recordAnswer(key, c)
	if c.Status == idempotency.Claimed {
		n.gate.wait()
		t.oracle.recordRun(key)
		pause.Sleep(context.WithoutCancel(ctx), time.Duration(r.Int64N(int64(maxServiceTime))))
		n.gate.wait()
		n.claims.Record(c, idempotency.Record{Outcome: outcome.OK(), Revision: 1})
	}
	return c
}

// record counts a claim and its latency.
func (t *traffic) record(c idempotency.Claim, d time.Duration, unpaused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends++
	t.byStatus[c.Status]++
	if c.Status == idempotency.Refused {
		t.refusals[c.Reason]++
	}
	_ = t.claimLatency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
	if unpaused {
		_ = t.unpausedLatency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
	}
}

// resendAll claims the key of each request that ran again. No claim may be granted.
func (t *traffic) resendAll(ctx context.Context) {
	keys := make(chan string)
	var workers sync.WaitGroup
	for range resendWorkers {
		workers.Go(func() {
			r := t.newRand()
			for k := range keys {
				n := t.fleet.nodes[r.IntN(len(t.fleet.nodes))]
				c, cancel := context.WithTimeout(ctx, requestTimeout)
				if n.claims.Claim(c, idempotency.Request{Key: k, Fingerprint: fingerprint}).Status == idempotency.Claimed {
					t.oracle.recordRun(k)
				}
				cancel()
			}
		})
	}
	for _, k := range t.oracle.keys() {
		keys <- k
	}
	close(keys)
	workers.Wait()
}

// figures returns the figures of the arm. The baseline has no targets.
func (t *traffic) figures(s platform.Stats, d time.Duration, targets bool) []scenario.Figure {
	t.mu.Lock()
	defer t.mu.Unlock()
	sends := float64(t.sends)
	c := t.fleet.counts()
	perWrite := figure.Ratio(float64(s.Reads+s.Writes+s.Watches), sends)
	peak := float64(s.PeakWrites)
	calls := []scenario.Figure{figure.Of("kv_calls_per_write", perWrite), figure.Of("kv_writes_peak_per_second", peak)}
	if targets {
		calls = []scenario.Figure{figure.AtMost("kv_calls_per_write", perWrite, maxCallsPerWrite), figure.AtMost("kv_writes_peak_per_second", peak, maxWritesPerSecond)}
	}
	return append(calls,
		figure.Of("kv_writes_per_second", float64(s.Writes)/d.Seconds()),
		figure.Of("kv_reads_per_second", float64(s.Reads)/d.Seconds()),
		figure.Of("kv_written_kb_per_second", float64(t.fleet.swapBytes.Load())/1000/d.Seconds()),
		figure.Of("claim_p50_ms", quantileMS(t.claimLatency, 50)),
		figure.Of("claim_p99_ms", quantileMS(t.claimLatency, 99)),
		figure.Of("claim_max_ms", quantileMS(t.claimLatency, 100)),
		figure.Of("claim_running_p99_ms", quantileMS(t.unpausedLatency, 99)),
		figure.Of("requests", sends),
		figure.Of("claimed", float64(t.byStatus[idempotency.Claimed])),
		figure.Of("repeated", float64(t.byStatus[idempotency.Repeated])),
		figure.Of("in_progress", float64(t.byStatus[idempotency.InProgress])),
		figure.Of("refused_store_down", float64(t.refusals[outcome.StoreDown])),
		figure.Of("forwards", float64(c.Forwards)),
		figure.Of("forward_failures", float64(c.ForwardFailures)),
		figure.Of("kv_conflicts", float64(c.Conflicts)),
		figure.Of("unresolved", float64(c.Unresolved)),
		figure.Of("refused_shed", float64(t.refusals[outcome.Shed])),
	)
}

// quantileMS returns the value at percentile q, in milliseconds.
func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

func (t *traffic) latencyDistribution() []scenario.Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ps []scenario.Point
	for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100} {
		ps = append(ps, scenario.Point{X: q / 100, Y: quantileMS(t.claimLatency, q)})
	}
	return ps
}
