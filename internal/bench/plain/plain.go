package plain

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	back "egrethaven/internal/back/searcher"
	"egrethaven/internal/query/keyrange"

	"github.com/juju/errors"
)

// minBodyBytes is the size that shorter request bodies are padded to.
const minBodyBytes = 200

// Shard is a key range and the addresses of the searchers that hold it.
type Shard struct {
	Range keyrange.Range
	Addrs []string
}

// Config configures the calls of a client.
type Config struct {
	// Shards are called once per fan-out, each at a random replica.
	Shards  []Shard
	Version uint64
	// Text is the query text.
	Text  string
	Limit int
	// DeadlineMS is the deadline sent with each call, in milliseconds.
	DeadlineMS int64
}

// call is a prepared request and the addresses of its replicas.
type call struct {
	addrs []string
	body  []byte
}

// prepare returns the calls of a fan-out, with bodies of at least minBodyBytes.
func prepare(c Config) ([]call, error) {
	var cs []call
	for _, s := range c.Shards {
		q := back.Query{
			QueryID: "plain", AttemptID: "plain", Version: c.Version, Range: s.Range,
			SchemaVersions: []int{2}, Text: c.Text, Limit: c.Limit, DeadlineMS: c.DeadlineMS,
		}
		b, err := json.Marshal(q)
		if err != nil {
			return nil, errors.Trace(err)
		}
		for len(b) < minBodyBytes {
			b = append(b, ' ')
		}
		cs = append(cs, call{addrs: s.Addrs, body: b})
	}
	return cs, nil
}

// fanOut makes all calls in parallel and returns the first error.
func fanOut(ctx context.Context, cs []call, send func(ctx context.Context, addr string, body []byte) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(cs))
	for i, c := range cs {
		addr := c.addrs[rand.IntN(len(c.addrs))]
		wg.Go(func() { errs[i] = send(ctx, addr, c.body) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
