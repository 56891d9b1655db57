package kv

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/follow"
)

// defaultWait is how long a watch waits at the service.
const defaultWait = 25 * time.Second

// Wire makes single calls of the platform's store. The errors are those of
// package follow; any other one tells that a call may have taken effect.
type Wire interface {
	follow.Store
	// Get reads one entry.
	Get(ctx context.Context, key string) (follow.Change, error)
	// Swap writes or removes an entry whose revision is as expected.
	Swap(ctx context.Context, expected follow.Revision, c follow.Change) (follow.Change, error)
	// Close drops the idle connections.
	Close()
}

// Config is what a Client is made from.
type Config struct {
	// Wire reaches the store. The client closes it.
	Wire Wire
	// Addr names the store in events.
	Addr string
	// Wait is how long one watch waits at the service.
	Wait time.Duration
	// Events takes 400 to 403; nil discards them.
	Events event.Sink
	// Budget bounds the calls of this node; zero fields are unbounded.
	Budget Budget
	// Seed drives the jitter.
	Seed uint64
}

// Client is a Store over the platform's.
type Client struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand

	budget budget
	outage outage
	counts counters
}

var _ Store = (*Client)(nil)

// New returns a client. It opens connections as they are needed.
func New(c Config) *Client {
	if c.Wait == 0 {
		c.Wait = defaultWait
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Client{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), budget: newBudget(c.Budget)}
}

// Close drops the idle connections. Calls in progress end with their contexts.
func (c *Client) Close() error {
	c.config.Wire.Close()
	return nil
}

// entry returns an entry of the store as this package's type.
func entry(c follow.Change) Entry {
	return Entry{Key: c.Key, Value: c.Value, Revision: uint64(c.Revision)}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, Status) {
	var e follow.Change
	s := c.read(ctx, func(ctx context.Context) (err error) {
		e, err = c.config.Wire.Get(ctx, key)
		return err
	})
	return entry(e), s
}

// Swap writes a key if its revision is expect.
func (c *Client) Swap(ctx context.Context, key string, expect uint64, value []byte) (Entry, Status) {
	return c.SwapLeased(ctx, key, expect, value, Lease{})
}

// SwapLeased is Swap of a key that vanishes when the lease lapses; Absent
// tells that it has lapsed already.
func (c *Client) SwapLeased(ctx context.Context, key string, expect uint64, value []byte, l Lease) (Entry, Status) {
	if len(value) > MaxValue {
		return Entry{}, TooLarge
	}
	id, err := l.number()
	if err != nil {
		return Entry{}, Absent
	}
	var e follow.Change
	s := c.write(ctx, func(ctx context.Context) (err error) {
		e, err = c.config.Wire.Swap(ctx, follow.Revision(expect), follow.Change{Key: key, Value: value, Lease: id})
		return err
	})
	if s != Done && s != Conflict {
		return Entry{}, s
	}
	return entry(e), s
}

// Delete removes a key if its revision is expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) Status {
	var now follow.Change
	s := c.write(ctx, func(ctx context.Context) (err error) {
		now, err = c.config.Wire.Swap(ctx, follow.Revision(expect), follow.Change{Key: key, Deleted: true})
		return err
	})
	if s == Conflict && now.Revision == 0 {
		return Absent
	}
	return s
}

// Watch waits for a revision above after, once and for at most the
// configured wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, Status) {
	var e follow.Change
	s := c.watch(ctx, func(ctx context.Context) (err error) {
		e, err = c.await(ctx, key, follow.Revision(after))
		return err
	})
	if s == Done && e.Revision == 0 {
		return Entry{}, Absent
	}
	return entry(e), s
}

// await makes a watch, or reads the key where the store no longer knows the
// changes since. The zero entry tells that the key has not changed.
func (c *Client) await(ctx context.Context, key string, after follow.Revision) (follow.Change, error) {
	cs, _, err := c.config.Wire.Watch(ctx, key, after, c.config.Wait)
	if errors.Is(err, follow.ErrCompacted) {
		cs, _, err = c.config.Wire.Range(ctx, key)
	}
	var last follow.Change
	for _, e := range cs {
		if e.Key == key && e.Revision > max(after, last.Revision) {
			last = e
		}
	}
	if last.Deleted {
		last = follow.Change{}
	}
	return last, err
}

// List returns the keys that begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Status) {
	var cs []follow.Change
	s := c.read(ctx, func(ctx context.Context) (err error) {
		cs, _, err = c.config.Wire.Range(ctx, prefix)
		return err
	})
	es := make([]Entry, len(cs))
	for i, e := range cs {
		es[i] = Entry{Key: e.Key, Revision: uint64(e.Revision)}
	}
	return es, s
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttlMS int64) (Lease, Status) {
	var l follow.Lease
	s := c.write(ctx, func(ctx context.Context) (err error) {
		l, err = c.config.Wire.Grant(ctx, time.Duration(ttlMS)*time.Millisecond)
		return err
	})
	if s != Done {
		return Lease{}, s
	}
	return Lease{ID: strconv.FormatInt(int64(l), 10), TTLMS: ttlMS}, Done
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, l Lease) Status {
	id, err := l.number()
	if err != nil {
		return Absent
	}
	return c.write(ctx, func(ctx context.Context) error { return c.config.Wire.KeepAlive(ctx, id) })
}
