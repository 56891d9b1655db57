package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"storj.io/drpc"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/query/outcome"
)

// Members lists the live entry VMs, including this one.
type Members interface {
	Live() []vm.VM
}

// Dialer opens connections to other entry VMs. A connection supports any number
// of concurrent calls.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures a Store. Zero values mean the defaults. Retention,
// ClockMargin, SliceDuration and BucketsPerSlice determine where and how long a
// key is stored. They must be the same on all nodes of all versions, so they
// are not settings of a VM.
type Config struct {
	// Store is the platform's key-value service.
	Store kv.Store
	// Self is the ID of this VM.
	Self string
	// Members are the candidates for owning buckets.
	Members Members
	// Dialer connects to the members.
	Dialer Dialer
	// RestoredAt returns when this VM learned that the key-value service was restored from
	// a backup, zero if it never did. Nil means never.
	RestoredAt func() time.Time
	// Events receives events 107, 703 and 705; nil discards them.
	Events event.Sink
	// Seed is the random seed of the jitter.
	Seed uint64

	// Retention is how long a key is remembered; older keys are refused.
	Retention time.Duration
	// ClockMargin is how long buckets are kept beyond Retention. It must exceed
	// the difference between the wall clocks of any two nodes.
	ClockMargin time.Duration
	// MaxFutureOffset is how far in the future the timestamp of a key may be.
	MaxFutureOffset time.Duration
	// SliceDuration is the length of a time slice: keys share a bucket only if
	// their timestamps are in the same slice.
	SliceDuration time.Duration
	// BucketsPerSlice is the number of buckets per time slice.
	BucketsPerSlice int
	// MaxBucketBytes is the maximum size of a bucket, in bytes.
	MaxBucketBytes int
	// CommitInterval is the minimum time between two commits of claims to a
	// bucket.
	CommitInterval time.Duration
	// BacklogCommitInterval is the same for a backlog bucket: one whose time
	// slice is past or in the future.
	BacklogCommitInterval time.Duration
	// BacklogCommitsPerSecond bounds the rate of commits to backlog buckets, of
	// all nodes together.
	BacklogCommitsPerSecond float64
	// RecordDelay is how long an outcome waits to be written together with
	// claims.
	RecordDelay time.Duration
	// SweepInterval is the mean time between two sweeps of expired buckets. A
	// negative value disables them.
	SweepInterval time.Duration
}

// The defaults of a Config.
const (
	DefaultRetention               = 24 * time.Hour
	DefaultClockMargin             = 10 * time.Minute
	DefaultMaxFutureOffset         = time.Minute
	DefaultSliceDuration           = 2 * time.Second
	DefaultBucketsPerSlice         = 1
	DefaultMaxBucketBytes          = kv.MaxValueBytes * 3 / 4
	DefaultCommitInterval          = 25 * time.Millisecond
	DefaultBacklogCommitInterval   = 150 * time.Millisecond
	DefaultBacklogCommitsPerSecond = 150.0
	DefaultRecordDelay             = 250 * time.Millisecond
	DefaultSweepInterval           = 10 * time.Minute
)

func (c Config) withDefaults() Config {
	c.Retention = orDefault(c.Retention, DefaultRetention)
	c.ClockMargin = orDefault(c.ClockMargin, DefaultClockMargin)
	c.MaxFutureOffset = orDefault(c.MaxFutureOffset, DefaultMaxFutureOffset)
	c.SliceDuration = orDefault(c.SliceDuration, DefaultSliceDuration)
	c.BucketsPerSlice = orDefault(c.BucketsPerSlice, DefaultBucketsPerSlice)
	c.MaxBucketBytes = orDefault(c.MaxBucketBytes, DefaultMaxBucketBytes)
	c.CommitInterval = orDefault(c.CommitInterval, DefaultCommitInterval)
	c.BacklogCommitInterval = orDefault(c.BacklogCommitInterval, DefaultBacklogCommitInterval)
	c.BacklogCommitsPerSecond = orDefault(c.BacklogCommitsPerSecond, DefaultBacklogCommitsPerSecond)
	c.RecordDelay = orDefault(c.RecordDelay, DefaultRecordDelay)
	c.SweepInterval = orDefault(c.SweepInterval, DefaultSweepInterval)
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return c
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Store claims keys and records outcomes. It implements
// claimrpc.DRPCClaimsServer to serve other nodes.
type Store struct {
	config         Config
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	counters       counters
	owners         *owners
	outbox         *outbox
	backlogLimiter backlogLimiter

	mu         sync.Mutex
	closed     bool
	committers map[bucketID]*committer
	// cooldownUntil is until when ops are refused after the key-value service
	// refused a commit.
	cooldownUntil time.Time
	random        *rand.Rand
}

var _ claimrpc.DRPCClaimsServer = (*Store)(nil)

// New starts a Store, which runs until Close.
func New(c Config) *Store {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		config:     c,
		ctx:        ctx,
		cancel:     cancel,
		owners:     newOwners(c.Self, c.Members),
		committers: map[bucketID]*committer{},
		random:     rand.New(rand.NewPCG(c.Seed, 4)),
	}
	s.outbox = newOutbox(s)
	if c.SweepInterval > 0 {
		s.wg.Go(s.sweepLoop)
	}
	return s
}

// Close refuses new claims, flushes the queued outcomes within two seconds, and
// waits for all goroutines. Outcomes of requests claimed here should be
// recorded before.
func (s *Store) Close() error {
	s.mu.Lock()
	alreadyClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !alreadyClosed {
		s.outbox.close()
	}
	s.cancel()
	s.wg.Wait()
	return nil
}

// Claim claims the key of a request. It returns when ctx ends at the latest.
func (s *Store) Claim(ctx context.Context, r Request) Claim {
	s.counters.claims.Add(1)
	c := Claim{Status: Refused, fingerprint: r.Fingerprint}
	k, err := parseKey(r.Key)
	if err != nil {
		return s.refuse(c, outcome.BadRequest)
	}
	c.key = k
	now := time.Now()
	if k.timestamp().After(now.Add(s.config.MaxFutureOffset)) {
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
	c.bucket = bucketOf(k, s.config.SliceDuration, s.config.BucketsPerSlice)
	return s.submitClaim(ctx, c, r)
}

// submitClaim sends the claim to its bucket and returns c with the result.
func (s *Store) submitClaim(ctx context.Context, c Claim, r Request) Claim {
	o := c.newOp(claimrpc.Action_CLAIM, Record{})
	result := s.submit(ctx, c.bucket, []*claimrpc.Op{o})[0]
	c = c.withResult(result)
	switch {
	case c.Status == Claimed && s.expired(c.key, time.Now()):
		// This node may have paused for longer than the retention since the first
		// expiry check. A bucket with an earlier claim of the key may have been
		// deleted meanwhile, so this grant is void.
		s.Abandon(c)
		return s.refuse(c, outcome.KeyExpired)
	case c.Status == Claimed:
		s.counters.granted.Add(1)
	case c.Status == Repeated:
		s.counters.repeated.Add(1)
	case c.Status == InProgress:
		s.counters.inProgress.Add(1)
	case result.Unsure:
		// Only this call knows the attempt ID, and it does not report the claim
		// as granted. So the request is never dispatched, even if the swap takes
		// effect, and not_run is true. Abandoning only frees the key for a
		// repeat.
		s.counters.unresolved.Add(1)
		s.config.Events.Emit(event.WriteUnknown, r.Key, "claim unresolved: its swap may have taken effect")
		s.Abandon(c)
		return s.refuse(c, c.Reason)
	default:
		return s.refuse(c, c.Reason)
	}
	return c
}

// Record queues the outcome of a claimed request and returns at once. The
// outcome is written in the background.
func (s *Store) Record(c Claim, r Record) {
	s.outbox.add(c.bucket, c.newOp(claimrpc.Action_RECORD, r))
}

// Abandon frees the key of a claimed request that did not run and will never be
// dispatched. Only the claimer may call it.
func (s *Store) Abandon(c Claim) {
	s.outbox.add(c.bucket, c.newOp(claimrpc.Action_ABANDON, Record{}))
}

func (s *Store) refuse(c Claim, r outcome.Reason) Claim {
	s.counters.refused.Add(1)
	c.Status, c.Reason = Refused, r
	return c
}

func (s *Store) expired(k key, now time.Time) bool {
	return now.Sub(k.timestamp()) > s.config.Retention
}

// mayBeForgotten reports whether a claim of the key may have been granted before the
// key-value service was restored, and lost.
func (s *Store) mayBeForgotten(k key) bool {
	if s.config.RestoredAt == nil {
		return false
	}
	at := s.config.RestoredAt()
	return !at.IsZero() && !k.timestamp().After(at.Add(s.config.MaxFutureOffset))
}

func (s *Store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// jitter returns a random duration from 0 to d.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(d) + 1))
}
