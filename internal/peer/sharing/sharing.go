// Package sharing reports this VM's observations of searchers and its retry usage
// to the relay, the VM through which it follows the store, and receives the
// aggregate of all VMs of the failure domain.
//
// # Usage
//
//	s := sharing.New(sharing.Config{Dialer: dialer, Board: board, Relay: relay, Heard: heard})
//	s.Observe(searcher, 7.5, false)
//	s.Run(ctx)
package sharing

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/back/scoreboard"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/retrypool"
)

const (
	// reportInterval is the time between two reports. It determines how soon all VMs
	// know of a slow searcher. A call takes about 0.1 ms of each VM's time.
	reportInterval = 250 * time.Millisecond
	// callTimeout limits the duration of one call.
	callTimeout = 400 * time.Millisecond
	// retryInterval is the time until the next call after a failed one.
	retryInterval = 2 * time.Second
)

// Dialer opens connections to other VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// News is the aggregate of the reports of all VMs.
type News struct {
	// Scores holds the searchers that are slower or fail more often than usual.
	Scores []scoreboard.Score
	// Levels is how much is left of the retry budget that the VMs share, by service;
	// the level of services that are missing is retrypool.Plenty.
	Levels map[string]retrypool.Level
}

// Config configures a Sharing.
type Config struct {
	Dialer Dialer
	// Board and Pool aggregate the reports of all VMs if this VM is the relay.
	Board *scoreboard.Board
	Pool  *retrypool.Pool
	// VM is the name of this VM, and Used returns its retry usage.
	VM   string
	Used func(now time.Time) []retrypool.Usage
	// Relay returns the address of the relay, or an empty string if this VM is the
	// relay itself. It reports false while reporting is off; observations are then
	// discarded.
	Relay func() (addr string, ok bool)
	// Heard is called with the aggregate after each successful report.
	Heard  func(now time.Time, n News)
	Events event.Sink
}

// Sharing collects this VM's observations and reports them. It is safe for
// concurrent use.
type Sharing struct {
	c  Config
	mu sync.Mutex
	// pending holds the observations that have not been reported yet.
	pending map[scoreboard.Searcher]*scoreboard.Observation
}

// New returns a Sharing without observations.
func New(c Config) *Sharing {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Sharing{c: c, pending: map[scoreboard.Searcher]*scoreboard.Observation{}}
}

// Observe records that a request to a searcher took ratio times as long as usual,
// and whether it failed.
func (s *Sharing) Observe(searcher scoreboard.Searcher, ratio float64, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.pending[searcher]
	if o == nil {
		o = &scoreboard.Observation{Searcher: searcher}
		s.pending[searcher] = o
	}
	o.Answers++
	o.Ratios += ratio
	if failed {
		o.Failures++
	}
}

// Run reports periodically until ctx ends.
func (s *Sharing) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := reportInterval
		if err := s.report(ctx); err != nil && ctx.Err() == nil {
			s.c.Events.Emit(event.SharingFailed, "", err.Error())
			d = retryInterval
		}
		pause.Sleep(ctx, d)
	}
}

// report reports the pending observations and passes the aggregate on, once. If
// this VM is the relay, it does so without a call.
func (s *Sharing) report(ctx context.Context) error {
	addr, ok := s.c.Relay()
	observations := s.takePending()
	if !ok {
		return nil
	}
	if addr == "" {
		now := time.Now()
		for _, o := range observations {
			s.c.Board.Add(now, *o)
		}
		s.c.Pool.Report(now, s.c.VM, s.c.Used(now))
		s.c.Heard(now, News{Scores: s.c.Board.Scores(now), Levels: s.c.Pool.Levels(now)})
		return nil
	}
	n, err := s.call(ctx, addr, observations)
	if err != nil {
		return errors.Annotatef(err, "reporting to the relay at %s", addr)
	}
	s.c.Heard(time.Now(), n)
	return nil
}

// takePending returns and clears the pending observations.
func (s *Sharing) takePending() map[scoreboard.Searcher]*scoreboard.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	observations := s.pending
	s.pending = make(map[scoreboard.Searcher]*scoreboard.Observation, len(observations))
	return observations
}

// call reports to the relay at addr and returns the aggregate.
func (s *Sharing) call(ctx context.Context, addr string, observations map[scoreboard.Searcher]*scoreboard.Observation) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := s.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return News{}, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	in := &relayrpc.ShareRequest{Vm: s.c.VM, Observations: make([]*relayrpc.Observation, 0, len(observations))}
	for _, u := range s.c.Used(time.Now()) {
		in.Usage = append(in.Usage, &relayrpc.Usage{Service: u.Service, First: int64(u.First), Extra: int64(u.Extra)})
	}
	for searcher, o := range observations {
		in.Observations = append(in.Observations, &relayrpc.Observation{Searcher: searcher.ID, Born: searcher.Born,
			Answers: int64(o.Answers), Failures: int64(o.Failures), Ratios: o.Ratios})
	}
	out, err := relayrpc.NewDRPCRelayClient(c).Share(ctx, in)
	if err != nil {
		return News{}, errors.Trace(err)
	}
	scores := make([]scoreboard.Score, 0, len(out.GetScores()))
	for _, score := range out.GetScores() {
		scores = append(scores, scoreboard.Score{Searcher: scoreboard.Searcher{ID: score.GetSearcher(), Born: score.GetBorn()},
			Factor: score.GetFactor(), Failures: score.GetFailures(), Age: time.Duration(score.GetAgeMs()) * time.Millisecond})
	}
	levels := map[string]retrypool.Level{}
	for _, service := range out.GetScarce() {
		levels[service] = retrypool.Scarce
	}
	for _, service := range out.GetSpent() {
		levels[service] = retrypool.Spent
	}
	return News{Scores: scores, Levels: levels}, nil
}
