package once

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"storj.io/drpc"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/world/vm"
)

// Members knows the live entry VMs, this one included.
type Members interface {
	Live() []vm.VM
}

// Dialer opens connections to other entry VMs. A connection takes any number
// of concurrent calls.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config is what a Store is made from. Zero values mean the defaults.
// Retention, Margin, Slice and Hashes have to be the same on all nodes, old
// and new, since they decide where a key is looked for and for how long: they
// are no settings of a VM.
type Config struct {
	// Store is the platform's key-value service.
	Store kv.Store
	// Self is the id of this VM.
	Self string
	// Members are the candidates for the ownership of buckets.
	Members Members
	// Dialer reaches them.
	Dialer Dialer
	// Events takes 703 and 705; nil discards them.
	Events event.Sink
	// Seed drives the jitter.
	Seed uint64

	// Retention is how long a key is remembered; older ones are refused.
	Retention time.Duration
	// Margin exceeds the difference between the wall clocks of two nodes.
	// Buckets are kept for it beyond Retention.
	Margin time.Duration
	// MaxAhead is how far in the future a key's time may lie.
	MaxAhead time.Duration
	// Slice is the span of key times that share a bucket.
	Slice time.Duration
	// Hashes is the number of buckets of one slice.
	Hashes int
	// MaxBucket is the largest size of a bucket, in bytes.
	MaxBucket int
	// Window is the least time between two commits of a bucket with claims.
	Window time.Duration
	// LateWindow is that time for a bucket whose slice is over or to come.
	LateWindow time.Duration
	// LateWrites bounds the commits a second of such buckets, by all nodes.
	LateWrites float64
	// RecordWindow is how long an outcome waits for claims to go with.
	RecordWindow time.Duration
	// SweepInterval is the time between two searches for expired buckets;
	// negative turns them off.
	SweepInterval time.Duration
}

// The defaults of a Config.
const (
	DefaultRetention     = 24 * time.Hour
	DefaultMargin        = 10 * time.Minute
	DefaultMaxAhead      = time.Minute
	DefaultSlice         = 2 * time.Second
	DefaultHashes        = 1
	DefaultMaxBucket     = kv.MaxValueBytes * 3 / 4
	DefaultWindow        = 25 * time.Millisecond
	DefaultLateWindow    = 150 * time.Millisecond
	DefaultLateWrites    = 150.0
	DefaultRecordWindow  = 250 * time.Millisecond
	DefaultSweepInterval = 10 * time.Minute
)

func (c Config) withDefaults() Config {
	c.Retention = or(c.Retention, DefaultRetention)
	c.Margin = or(c.Margin, DefaultMargin)
	c.MaxAhead = or(c.MaxAhead, DefaultMaxAhead)
	c.Slice = or(c.Slice, DefaultSlice)
	c.Hashes = or(c.Hashes, DefaultHashes)
	c.MaxBucket = or(c.MaxBucket, DefaultMaxBucket)
	c.Window = or(c.Window, DefaultWindow)
	c.LateWindow = or(c.LateWindow, DefaultLateWindow)
	c.LateWrites = or(c.LateWrites, DefaultLateWrites)
	c.RecordWindow = or(c.RecordWindow, DefaultRecordWindow)
	c.SweepInterval = or(c.SweepInterval, DefaultSweepInterval)
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return c
}

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Store claims keys and records outcomes. It serves other nodes as a
// claimrpc.DRPCClaimsServer.
type Store struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	counts counters
	owners *owners
	outbox *outbox
	pace   pace

	mu         sync.Mutex
	closed     bool
	committers map[place]*committer
	// downUntil is when the service is tried again after it was down.
	downUntil time.Time
	random    *rand.Rand
}

var _ claimrpc.DRPCClaimsServer = (*Store)(nil)

// New returns a Store that works until Close.
func New(c Config) *Store {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		config:     c,
		ctx:        ctx,
		cancel:     cancel,
		owners:     newOwners(c.Self, c.Members),
		committers: map[place]*committer{},
		random:     rand.New(rand.NewPCG(c.Seed, 4)),
	}
	s.outbox = newOutbox(s)
	if c.SweepInterval > 0 {
		s.wait.Go(s.sweepLoop)
	}
	return s
}

// Close refuses new claims, tries for a while to write the outcomes that
// wait, and waits for every goroutine. Requests that were claimed here should
// have been recorded before.
func (s *Store) Close() error {
	s.mu.Lock()
	again := s.closed
	s.closed = true
	s.mu.Unlock()
	if !again {
		s.outbox.close()
	}
	s.cancel()
	s.wait.Wait()
	return nil
}

// Claim asks for the right to dispatch a request. It returns when the context
// ends at the latest.
func (s *Store) Claim(ctx context.Context, r Request) Claim {
	s.counts.claims.Add(1)
	c := Claim{Status: Refused, fingerprint: r.Fingerprint}
	k, err := parseKey(r.Key)
	if err != nil {
		return s.refuse(c, outcome.BadRequest)
	}
	c.key = k
	now := time.Now()
	if k.made().After(now.Add(s.config.MaxAhead)) {
		return s.refuse(c, outcome.BadRequest)
	}
	if s.expired(k, now) {
		return s.refuse(c, outcome.KeyExpired)
	}
	if s.isClosed() {
		return s.refuse(c, outcome.ShuttingDown)
	}
	c.attempt, err = uuid.NewRandom()
	if err != nil {
		return s.refuse(c, outcome.StoreDown)
	}
	c.place = locate(k, s.config.Slice, s.config.Hashes)
	return s.decide(ctx, c, r)
}

// decide asks the bucket for the key of c.
func (s *Store) decide(ctx context.Context, c Claim, r Request) Claim {
	o := c.op(claimrpc.Action_CLAIM, Record{})
	v := s.submit(ctx, c.place, []*claimrpc.Op{o})[0]
	c = c.settle(v)
	switch {
	case c.Status == Claimed && s.expired(c.key, time.Now()):
		// A pause between the first look at the clock and the swap may have
		// outlasted the retention: then the bucket that held an earlier claim
		// of the key may be gone, so this one proves nothing.
		s.Abandon(c)
		return s.refuse(c, outcome.KeyExpired)
	case c.Status == Claimed:
		s.counts.granted.Add(1)
	case c.Status == Repeated:
		s.counts.repeated.Add(1)
	case c.Status == InProgress:
		s.counts.inProgress.Add(1)
	case v.Unsure:
		// The attempt id was made by this call and is told to nobody as
		// claimed, so no dispatch can follow from it even if the swap took
		// effect or still will: that this request did not run is true. The
		// mark only frees the key for a repeat.
		s.counts.unresolved.Add(1)
		s.config.Events.Emit(event.WriteUnknown, r.Key, "claim not resolved")
		s.Abandon(c)
		return s.refuse(c, c.Reason)
	default:
		return s.refuse(c, c.Reason)
	}
	return c
}

// Record notes the outcome of a claimed request. It returns at once; the
// outcome is written with the next claims.
func (s *Store) Record(c Claim, r Record) {
	s.outbox.add(c.place, c.op(claimrpc.Action_RECORD, r))
}

// Abandon frees the key of a claimed request that did not run and will never
// be dispatched. Nobody but the claimer may say so.
func (s *Store) Abandon(c Claim) {
	s.outbox.add(c.place, c.op(claimrpc.Action_ABANDON, Record{}))
}

func (s *Store) refuse(c Claim, r outcome.Reason) Claim {
	s.counts.refused.Add(1)
	c.Status, c.Reason = Refused, r
	return c
}

func (s *Store) expired(k key, now time.Time) bool {
	return now.Sub(k.made()) > s.config.Retention
}

func (s *Store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// jitter draws a wait below d.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
