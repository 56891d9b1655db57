package kv

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/follow"
)

// defaultWatchTimeout is the default of Config.WatchTimeout.
const defaultWatchTimeout = 25 * time.Second

// Transport makes single calls to the platform's store, without retries. It returns the
// errors of package follow; after any other error, the call may have taken effect.
type Transport interface {
	follow.Store
	// Get returns one entry.
	Get(ctx context.Context, key string) (follow.Change, error)
	// Swap writes or deletes an entry if its current position is expected.
	Swap(ctx context.Context, expected follow.Position, c follow.Change) (follow.Change, error)
	// Close closes idle connections.
	Close()
}

// Config configures a Client.
type Config struct {
	// Transport is the connection to the store. Client.Close closes it.
	Transport Transport
	// Addr is the subject of events about the store.
	Addr string
	// WatchTimeout is the maximum duration of a watch at the service. The default is 25 s.
	WatchTimeout time.Duration
	// Events receives the events 400 to 403. If nil, they are dropped.
	Events event.Sink
	// Budget limits the calls of this node.
	Budget Budget
	// Seed is the seed of the backoff jitter.
	Seed uint64
}

// Client is a Store that calls the platform's key-value service. It is safe for
// concurrent use.
type Client struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand
	// era is that of the last answer, and restoredAt when it rose.
	era        follow.Era
	restoredAt time.Time

	budget budget
	outage outage
	counts counters
}

var _ Store = (*Client)(nil)

// New returns a Client. Connections are opened when they are needed.
func New(c Config) *Client {
	if c.WatchTimeout == 0 {
		c.WatchTimeout = defaultWatchTimeout
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	return &Client{config: c, random: rand.New(rand.NewPCG(c.Seed, 2)), budget: newBudget(c.Budget)}
}

// Close closes idle connections. Calls in progress continue until their contexts end.
func (c *Client) Close() error {
	c.config.Transport.Close()
	return nil
}

// toEntry converts a change to an Entry.
func toEntry(c follow.Change) Entry {
	return Entry{Key: c.Key, Value: c.Value, Revision: encodePosition(follow.Position{Era: c.Era, Revision: c.Revision})}
}

// eraShift leaves 48 bits for the store's revision, which suffice for centuries, and 16
// for its era.
const eraShift = 48

// encodePosition returns the revision of an Entry, which orders positions of all eras; 0
// if the entry does not exist.
func encodePosition(p follow.Position) uint64 {
	if p.Revision == 0 {
		return 0
	}
	return uint64(p.Era)<<eraShift | uint64(p.Revision)
}

// decodePosition returns the position of the revision of an Entry.
func decodePosition(revision uint64) follow.Position {
	return follow.Position{Era: follow.Era(revision >> eraShift), Revision: follow.Revision(revision & (1<<eraShift - 1))}
}

// RestoredAt returns when this client learned that the service was restored from a
// backup; zero if it never did.
func (c *Client) RestoredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restoredAt
}

// recordEra records the era of an answer.
func (c *Client) recordEra(e follow.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.era != 0 && e > c.era {
		c.restoredAt = time.Now()
		c.config.Events.Emit(event.StoreRestored, c.config.Addr, fmt.Sprintf("era %d, before that era %d", e, c.era))
	}
	c.era = max(c.era, e)
}

// Get returns an entry. See Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, Status) {
	var e follow.Change
	s := c.read(ctx, func(ctx context.Context) (err error) {
		e, err = c.config.Transport.Get(ctx, key)
		c.recordEra(e.Era)
		return err
	})
	return toEntry(e), s
}

// Swap writes a key if its current revision is expect. See Store.
func (c *Client) Swap(ctx context.Context, key string, expect uint64, value []byte) (Entry, Status) {
	return c.SwapLeased(ctx, key, expect, value, Lease{})
}

// SwapLeased is like Swap, but the key is deleted when the lease expires. It returns
// NotFound if the lease has already expired.
func (c *Client) SwapLeased(ctx context.Context, key string, expect uint64, value []byte, l Lease) (Entry, Status) {
	if len(value) > MaxValueBytes {
		return Entry{}, TooLarge
	}
	id, err := l.parseID()
	if err != nil {
		return Entry{}, NotFound
	}
	var e follow.Change
	s := c.write(ctx, func(ctx context.Context) (err error) {
		e, err = c.config.Transport.Swap(ctx, decodePosition(expect), follow.Change{Key: key, Value: value, Lease: id})
		c.recordEra(e.Era)
		return err
	})
	if s != OK && s != Conflict {
		return Entry{}, s
	}
	return toEntry(e), s
}

// Delete removes a key if its current revision is expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) Status {
	var current follow.Change
	s := c.write(ctx, func(ctx context.Context) (err error) {
		current, err = c.config.Transport.Swap(ctx, decodePosition(expect), follow.Change{Key: key, Deleted: true})
		return err
	})
	if s == Conflict && current.Revision == 0 {
		return NotFound
	}
	return s
}

// Watch waits up to Config.WatchTimeout until the key's revision is higher than after. It
// makes a single attempt. See Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, Status) {
	var e follow.Change
	s := c.watch(ctx, func(ctx context.Context) (err error) {
		e, err = c.watchKey(ctx, key, decodePosition(after))
		return err
	})
	if s == OK && e.Revision == 0 {
		return Entry{}, NotFound
	}
	return toEntry(e), s
}

// watchKey watches a key and returns its last change. If the store has compacted the
// changes after a position, or was restored since, watchKey reads the key instead. It
// returns the zero Change if the key has not changed or was deleted.
func (c *Client) watchKey(ctx context.Context, key string, after follow.Position) (follow.Change, error) {
	cs, at, err := c.config.Transport.Watch(ctx, key, after, c.config.WatchTimeout)
	c.recordEra(at.Era)
	if err == nil {
		err = after.CheckNext(at)
	}
	if errors.Is(err, follow.ErrCompacted) || errors.Is(err, follow.ErrRestored) {
		cs, at, err = c.config.Transport.Range(ctx, key)
		if errors.Is(after.CheckNext(at), follow.ErrRestored) {
			// All revisions of a later era are newer.
			after = follow.Position{}
		}
	}
	var last follow.Change
	for _, e := range cs {
		if e.Key == key && e.Revision > max(after.Revision, last.Revision) {
			last = e
		}
	}
	if last.Deleted {
		last = follow.Change{}
	}
	return last, err
}

// List returns the keys that start with prefix, without values.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Status) {
	var cs []follow.Change
	s := c.read(ctx, func(ctx context.Context) (err error) {
		cs, _, err = c.config.Transport.Range(ctx, prefix)
		return err
	})
	es := make([]Entry, len(cs))
	for i, e := range cs {
		es[i] = Entry{Key: e.Key, Revision: toEntry(e).Revision}
	}
	return es, s
}

// Grant creates a lease with a time to live in milliseconds.
func (c *Client) Grant(ctx context.Context, ttlMS int64) (Lease, Status) {
	var l follow.Lease
	s := c.write(ctx, func(ctx context.Context) (err error) {
		l, err = c.config.Transport.Grant(ctx, time.Duration(ttlMS)*time.Millisecond)
		return err
	})
	if s != OK {
		return Lease{}, s
	}
	return Lease{ID: fmt.Sprintf(leaseFormat, l.Era, l.ID), TTLMS: ttlMS}, OK
}

// KeepAlive renews a lease. It returns NotFound if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, l Lease) Status {
	id, err := l.parseID()
	if err != nil {
		return NotFound
	}
	return c.write(ctx, func(ctx context.Context) error { return c.config.Transport.KeepAlive(ctx, id) })
}
