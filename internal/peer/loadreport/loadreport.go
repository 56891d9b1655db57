// Package loadreport reports this VM's observations of searchers and its retry usage
// to the relay, the VM through which it follows the store, and receives the
// aggregate of all VMs of the failure domain.
//
// # Usage
//
//	r := loadreport.New(loadreport.Config{Dialer: dialer, HealthScores: scores, RelayAddr: relayAddr, ...})
//	r.Observe(searcher, 7.5, false)
//	r.Run(ctx)
package loadreport

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/retrypool"
)

const (
	// reportInterval determines how soon all VMs know of a slow searcher. A report
	// costs each VM about 0.1 ms.
	reportInterval = 250 * time.Millisecond
	// callTimeout limits the duration of one call.
	callTimeout = 400 * time.Millisecond
	// retryInterval is the wait after a failed call.
	retryInterval = 2 * time.Second
)

// Dialer opens connections to other VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Aggregate combines the reports of all VMs.
type Aggregate struct {
	// Scores holds the searchers that are slower or fail more often than usual.
	Scores []healthscore.Score
	// Levels is how much is left of the shared retry budget, by service; missing
	// services have retrypool.Plenty.
	Levels map[string]retrypool.Level
}

// Config configures a Reporter.
type Config struct {
	Dialer Dialer
	// HealthScores and RetryPool aggregate the reports of all VMs if this VM is the
	// relay.
	HealthScores *healthscore.Aggregator
	RetryPool    *retrypool.Pool
	// VM is the name of this VM.
	VM string
	// Usage returns the numbers of first and extra sends of this VM, by service.
	Usage func(now time.Time) []retrypool.Usage
	// RelayAddr returns the relay's address, empty if this VM is the relay. It reports
	// false while reporting is off; observations are then discarded.
	RelayAddr func() (addr string, ok bool)
	// OnAggregate is called with the aggregate after each successful report.
	OnAggregate func(now time.Time, a Aggregate)
	Events      event.Sink
}

// Reporter collects this VM's observations and reports them. It is safe for
// concurrent use.
type Reporter struct {
	c  Config
	mu sync.Mutex
	// pending holds the observations that have not been reported yet.
	pending map[healthscore.Process]*healthscore.Observation
}

// New returns a Reporter without observations.
func New(c Config) *Reporter {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Reporter{c: c, pending: map[healthscore.Process]*healthscore.Observation{}}
}

// Observe records that a request to a searcher took ratio times as long as usual,
// and whether it failed.
func (r *Reporter) Observe(searcher healthscore.Process, ratio float64, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.pending[searcher]
	if o == nil {
		o = &healthscore.Observation{Searcher: searcher}
		r.pending[searcher] = o
	}
	o.Requests++
	o.LatencyRatioSum += ratio
	if failed {
		o.Failures++
	}
}

// Run reports periodically until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := reportInterval
		if err := r.report(ctx); err != nil && ctx.Err() == nil {
			r.c.Events.Emit(event.SharingFailed, "", err.Error())
			d = retryInterval
		}
		pause.Sleep(ctx, d)
	}
}

// report sends the pending observations to the relay, or aggregates them if this VM
// is the relay, and passes the result to OnAggregate.
func (r *Reporter) report(ctx context.Context) error {
	addr, ok := r.c.RelayAddr()
	observations := r.takePending()
	if !ok {
		return nil
	}
	if addr == "" {
		now := time.Now()
		for _, o := range observations {
			r.c.HealthScores.Add(now, *o)
		}
		r.c.RetryPool.Report(now, r.c.VM, r.c.Usage(now))
		r.c.OnAggregate(now, Aggregate{Scores: r.c.HealthScores.Scores(now), Levels: r.c.RetryPool.Levels(now)})
		return nil
	}
	a, err := r.call(ctx, addr, observations)
	if err != nil {
		return errors.Annotatef(err, "reporting to the relay at %s", addr)
	}
	r.c.OnAggregate(time.Now(), a)
	return nil
}

// takePending returns and clears the pending observations.
func (r *Reporter) takePending() map[healthscore.Process]*healthscore.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	observations := r.pending
	r.pending = make(map[healthscore.Process]*healthscore.Observation, len(observations))
	return observations
}

// call reports to the relay at addr and returns the aggregate.
func (r *Reporter) call(ctx context.Context, addr string, observations map[healthscore.Process]*healthscore.Observation) (Aggregate, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := r.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return Aggregate{}, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	in := &relayrpc.ShareRequest{Vm: r.c.VM, Observations: make([]*relayrpc.Observation, 0, len(observations))}
	for _, u := range r.c.Usage(time.Now()) {
		in.Usage = append(in.Usage, &relayrpc.Usage{Service: u.Service, First: int64(u.First), Extra: int64(u.Extra)})
	}
	for searcher, o := range observations {
		in.Observations = append(in.Observations, &relayrpc.Observation{Searcher: searcher.ID, Born: searcher.StartedMs,
			Answers: int64(o.Requests), Failures: int64(o.Failures), Ratios: o.LatencyRatioSum})
	}
	out, err := relayrpc.NewDRPCRelayClient(c).Share(ctx, in)
	if err != nil {
		return Aggregate{}, errors.Trace(err)
	}
	scores := make([]healthscore.Score, 0, len(out.GetScores()))
	for _, score := range out.GetScores() {
		scores = append(scores, healthscore.Score{Searcher: healthscore.Process{ID: score.GetSearcher(), StartedMs: score.GetBorn()},
			SlowdownFactor: score.GetFactor(), FailureRate: score.GetFailures(), Age: time.Duration(score.GetAgeMs()) * time.Millisecond})
	}
	levels := map[string]retrypool.Level{}
	for _, service := range out.GetScarce() {
		levels[service] = retrypool.Scarce
	}
	for _, service := range out.GetSpent() {
		levels[service] = retrypool.Spent
	}
	return Aggregate{Scores: scores, Levels: levels}, nil
}
