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

// bodySize is the size of a request's body, in bytes.
const bodySize = 200

// Shard is one range and the addresses of the searchers that hold it.
type Shard struct {
	Range keyrange.Range
	Addrs []string
}

// Config describes the calls.
type Config struct {
	// Shards that each fan-out calls once each, at a random replica.
	Shards  []Shard
	Version uint64
	// Text that is searched for.
	Text  string
	Limit int
	// DeadlineMS of each call, in milliseconds.
	DeadlineMS int64
}

// call is one prepared request and where it may go.
type call struct {
	addrs []string
	body  []byte
}

// prepare makes the calls of a fan-out, with bodies of bodySize or more.
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
		for len(b) < bodySize {
			b = append(b, ' ')
		}
		cs = append(cs, call{addrs: s.Addrs, body: b})
	}
	return cs, nil
}

// fan makes all calls at the same time and returns the first error.
func fan(ctx context.Context, cs []call, do func(ctx context.Context, addr string, body []byte) error) error {
	var wg sync.WaitGroup
	errs := make([]error, len(cs))
	for i, c := range cs {
		addr := c.addrs[rand.IntN(len(c.addrs))]
		wg.Go(func() { errs[i] = do(ctx, addr, c.body) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
