package kv

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
)

// RevisionHeader carries the revision of the entry in an answer.
const RevisionHeader = "Revision"

const (
	// defaultTimeout bounds one call of any kind but a watch.
	defaultTimeout = 2 * time.Second
	// defaultWait is how long a watch waits at the service.
	defaultWait = 25 * time.Second
	// defaultConnections is how many connections may be open.
	defaultConnections = 16
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
)

// Config is what a Client is made from.
type Config struct {
	// Addr is the IP and port of the service.
	Addr string
	// Timeout of one call; a watch's is this beyond its wait.
	Timeout time.Duration
	// Wait is how long one watch waits at the service.
	Wait time.Duration
	// Events takes 400 to 403; nil discards them.
	Events event.Sink
	// Budget bounds the calls of this node; zero fields are unbounded.
	Budget Budget
	// Seed drives the jitter.
	Seed uint64
}

// Client is a Store over HTTP.
type Client struct {
	config    Config
	transport *http.Transport

	mu     sync.Mutex
	random *rand.Rand

	budget budget
	outage outage
	counts counters
}

var _ Store = (*Client)(nil)

// New returns a client. It opens connections as they are needed.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Wait == 0 {
		c.Wait = defaultWait
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	d := net.Dialer{Timeout: connectTimeout, KeepAlive: 5 * time.Second}
	return &Client{
		config: c,
		transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: defaultConnections,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
		random: rand.New(rand.NewPCG(c.Seed, 2)),
		budget: newBudget(c.Budget),
	}
}

// Close drops the idle connections. Calls in progress end with their contexts.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, Status) {
	a := c.read(ctx, request{method: http.MethodGet, path: "/kv", query: url.Values{"key": {key}}})
	return Entry{Key: key, Value: a.body, Revision: a.revision}, a.status
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
	q := url.Values{"key": {key}, "expect": {strconv.FormatUint(expect, 10)}}
	if l.ID != "" {
		q.Set("lease", l.ID)
	}
	a := c.write(ctx, request{method: http.MethodPut, path: "/kv", query: q, body: value})
	switch {
	case a.status == Done && a.revision == 0:
		return Entry{}, Unknown
	case a.status == Done:
		return Entry{Key: key, Value: value, Revision: a.revision}, Done
	case a.status == Conflict:
		return Entry{Key: key, Value: a.body, Revision: a.revision}, Conflict
	default:
		return Entry{}, a.status
	}
}

// Delete removes a key if its revision is expect.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) Status {
	q := url.Values{"key": {key}, "expect": {strconv.FormatUint(expect, 10)}}
	return c.write(ctx, request{method: http.MethodDelete, path: "/kv", query: q}).status
}

// Watch waits for a revision above after, once and for at most the
// configured wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Entry, Status) {
	a := c.watch(ctx, request{method: http.MethodGet, path: "/watch", query: url.Values{
		"key":     {key},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(c.config.Wait.Milliseconds(), 10)},
	}})
	return Entry{Key: key, Value: a.body, Revision: a.revision}, a.status
}

// List returns the keys that begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Status) {
	a := c.read(ctx, request{method: http.MethodGet, path: "/list", query: url.Values{"prefix": {prefix}}})
	var es []Entry
	if a.status == Done && json.Unmarshal(a.body, &es) != nil {
		return nil, Down
	}
	return es, a.status
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttlMS int64) (Lease, Status) {
	q := url.Values{"ttl_ms": {strconv.FormatInt(ttlMS, 10)}}
	a := c.write(ctx, request{method: http.MethodPost, path: "/leases", query: q})
	var l Lease
	if a.status == Done && json.Unmarshal(a.body, &l) != nil {
		return Lease{}, Unknown
	}
	return l, a.status
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, l Lease) Status {
	return c.write(ctx, request{method: http.MethodPost, path: "/leases/" + url.PathEscape(l.ID)}).status
}
