// Package sharing tells what this VM sees of searchers and sends to them to the
// VM through which it follows the store, and hears from there what all VMs of
// the failure domain have seen and sent together.
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

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/retrypool"
)

const (
	// interval is the time between two calls, by which a slow searcher is known
	// to all VMs: a call costs each of them about a tenth of a millisecond.
	interval = 250 * time.Millisecond
	// timeout bounds one call.
	timeout = 400 * time.Millisecond
	// pauseFailed is the wait after a call that failed.
	pauseFailed = 2 * time.Second
)

// Dialer reaches other VMs. A *rpc.Dialer is one.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// News is what all VMs together have seen and sent.
type News struct {
	// Scores tells how searchers do; those that are not named do as usual.
	Scores []healthscore.Score
	// Levels tells how much the VMs have left of their extra sends to services;
	// of those that are not named they have plenty.
	Levels map[string]retrypool.Level
}

// Config sets up a Sharing.
type Config struct {
	Dialer Dialer
	// Board is this VM's own, for what it and others see if it is the one that
	// gathers.
	Board *healthscore.Aggregator
	Pool  *retrypool.Pool
	// VM names this VM, and Used returns what it has sent.
	VM   string
	Used func(now time.Time) []retrypool.Usage
	// Relay returns the address of the VM to tell; empty if this one gathers.
	// It reports false while nothing is shared.
	Relay func() (addr string, ok bool)
	// Heard is told what all VMs have told.
	Heard  func(now time.Time, n News)
	Events event.Sink
}

// Sharing collects what this VM sees. It is safe for concurrent use.
type Sharing struct {
	c  Config
	mu sync.Mutex
	// seen is what was not told yet.
	seen map[healthscore.Process]*healthscore.Observation
}

// New returns a sharing without observations.
func New(c Config) *Sharing {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Sharing{c: c, seen: map[healthscore.Process]*healthscore.Observation{}}
}

// Observe notes that a request to a searcher took ratio times as long as usual,
// or failed.
func (s *Sharing) Observe(name healthscore.Process, ratio float64, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.seen[name]
	if o == nil {
		o = &healthscore.Observation{Searcher: name}
		s.seen[name] = o
	}
	o.Requests++
	o.LatencyRatioSum += ratio
	if failed {
		o.Failures++
	}
}

// Run shares until ctx ends.
func (s *Sharing) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d := interval
		if err := s.step(ctx); err != nil && ctx.Err() == nil {
			s.c.Events.Emit(event.SharingFailed, "", err.Error())
			d = pauseFailed
		}
		pause.Sleep(ctx, d)
	}
}

// step tells and hears once.
func (s *Sharing) step(ctx context.Context) error {
	addr, ok := s.c.Relay()
	seen := s.take()
	if !ok {
		return nil
	}
	if addr == "" {
		now := time.Now()
		for _, o := range seen {
			s.c.Board.Add(now, *o)
		}
		s.c.Pool.Report(now, s.c.VM, s.c.Used(now))
		s.c.Heard(now, News{Scores: s.c.Board.Scores(now), Levels: s.c.Pool.Levels(now)})
		return nil
	}
	n, err := s.call(ctx, addr, seen)
	if err != nil {
		return errors.Annotatef(err, "telling %s", addr)
	}
	s.c.Heard(time.Now(), n)
	return nil
}

// take returns what was not told yet.
func (s *Sharing) take() map[healthscore.Process]*healthscore.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.seen
	s.seen = make(map[healthscore.Process]*healthscore.Observation, len(seen))
	return seen
}

// call tells another VM and returns what it knows.
func (s *Sharing) call(ctx context.Context, addr string, seen map[healthscore.Process]*healthscore.Observation) (News, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := s.c.Dialer.Conn(ctx, addr)
	if err != nil {
		return News{}, errors.Trace(err)
	}
	defer func() { _ = c.Close() }()
	in := &relayrpc.ShareRequest{Vm: s.c.VM, Observations: make([]*relayrpc.Observation, 0, len(seen))}
	for _, u := range s.c.Used(time.Now()) {
		in.Usage = append(in.Usage, &relayrpc.Usage{Service: u.Service, First: int64(u.First), Extra: int64(u.Extra)})
	}
	for name, o := range seen {
		in.Observations = append(in.Observations, &relayrpc.Observation{Searcher: name.ID, Born: name.StartedMs,
			Answers: int64(o.Requests), Failures: int64(o.Failures), Ratios: o.LatencyRatioSum})
	}
	out, err := relayrpc.NewDRPCRelayClient(c).Share(ctx, in)
	if err != nil {
		return News{}, errors.Trace(err)
	}
	scores := make([]healthscore.Score, 0, len(out.GetScores()))
	for _, x := range out.GetScores() {
		scores = append(scores, healthscore.Score{Searcher: healthscore.Process{ID: x.GetSearcher(), StartedMs: x.GetBorn()},
			SlowdownFactor: x.GetFactor(), FailureRate: x.GetFailures(), Age: time.Duration(x.GetAgeMs()) * time.Millisecond})
	}
	levels := map[string]retrypool.Level{}
	for _, name := range out.GetScarce() {
		levels[name] = retrypool.Scarce
	}
	for _, name := range out.GetSpent() {
		levels[name] = retrypool.Spent
	}
	return News{Scores: scores, Levels: levels}, nil
}
