// Package metric measures one process with OpenTelemetry and shows the
// figures as Prometheus text.
//
// Instruments on the path of a query are made once; what other packages count
// for themselves is read by callbacks when the figures are asked for.
//
// # Usage
//
//	m, err := metric.New(metric.Config{Node: "sapporo-entry-1", Domain: "sapporo"})
//	m.Query("warranty", answer, elapsed)
//	m.Gauge("egrethaven_links", "{link}", "connections to searchers", func() float64 { ... })
//	http.Handle("/metrics", m)
package metric

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"egrethaven/internal/observe/meter"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/world/zone"
)

// bounds of the latency histograms, in seconds.
var bounds = []float64{.002, .005, .01, .02, .035, .05, .075, .1, .15, .2, .25, .35, .5, .75, 1, 2, 5, 10}

// Config sets up a Metrics.
type Config struct {
	Node   string
	Domain zone.Domain
}

// Metrics holds the instruments of one process. It is an http.Handler. It is
// safe for concurrent use.
type Metrics struct {
	meter *meter.Meter

	queries  metric.Float64Histogram
	writes   metric.Float64Histogram
	calls    metric.Int64Counter
	coverage metric.Float64Counter
	requests metric.Int64Counter
	attrs    sync.Map // of key to metric.MeasurementOption
}

// key is a set of attributes of an instrument.
type key struct {
	search  string
	outcome outcome.Outcome
	// complete is set for queries only.
	complete bool
	query    bool
	kind     string
}

// New returns the instruments of a process.
func New(c Config) (*Metrics, error) {
	p, err := meter.New(meter.Config{Node: c.Node, Domain: string(c.Domain)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := &Metrics{meter: p}
	return m, errors.Annotate(m.instruments(), "making the instruments")
}

// instruments makes what the path of a request uses.
func (m *Metrics) instruments() error {
	var errs [5]error
	m.queries, errs[0] = m.meter.Float64Histogram("egrethaven_query_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a query to its answer"), metric.WithExplicitBucketBoundaries(bounds...))
	m.writes, errs[1] = m.meter.Float64Histogram("egrethaven_write_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a write to its result"), metric.WithExplicitBucketBoundaries(bounds...))
	m.calls, errs[2] = m.meter.Int64Counter("egrethaven_searcher_calls",
		metric.WithDescription("calls to searchers by kind: primary, hedge, retry; and restarts and dropped answers"))
	m.coverage, errs[3] = m.meter.Float64Counter("egrethaven_query_coverage",
		metric.WithDescription("sum of the covered fraction of the key space over all queries"))
	m.requests, errs[4] = m.meter.Int64Counter("egrethaven_http_requests",
		metric.WithDescription("requests to the caller API by status"))
	for _, err := range errs {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Query counts one answered query.
func (m *Metrics) Query(search string, a ask.Answer, elapsed time.Duration) {
	ctx := context.Background()
	o := m.attributes(key{search: search, outcome: a.Outcome, complete: a.Complete, query: true})
	m.queries.Record(ctx, elapsed.Seconds(), o)
	m.coverage.Add(ctx, a.Coverage.Fraction(), m.attributes(key{search: search}))
	m.call(search, "primary", a.Cost.Primaries)
	m.call(search, "hedge", a.Cost.Hedges)
	m.call(search, "retry", a.Cost.Retries)
	m.call(search, "restart", a.Cost.Restarts)
	m.call(search, "dropped", a.Cost.Dropped)
}

// call counts n calls of a kind.
func (m *Metrics) call(search, kind string, n int) {
	if n > 0 {
		m.calls.Add(context.Background(), int64(n), m.attributes(key{search: search, kind: kind}))
	}
}

// Write counts one write.
func (m *Metrics) Write(search string, r write.Result, elapsed time.Duration) {
	m.writes.Record(context.Background(), elapsed.Seconds(), m.attributes(key{search: search, outcome: r.Outcome}))
}

// Request counts one HTTP request by its status.
func (m *Metrics) Request(route string, status int) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.Int("status", status)))
}

// attributes returns the attributes of k, made once.
func (m *Metrics) attributes(k key) metric.MeasurementOption {
	if o, ok := m.attrs.Load(k); ok {
		return o.(metric.MeasurementOption)
	}
	as := []attribute.KeyValue{attribute.String("search", k.search)}
	if k.kind != "" {
		as = append(as, attribute.String("kind", k.kind))
	}
	if k.outcome.Kind != "" {
		as = append(as, attribute.String("outcome", string(k.outcome.Kind)), attribute.String("reason", string(k.outcome.Reason)))
	}
	if k.query {
		as = append(as, attribute.Bool("complete", k.complete))
	}
	o := metric.WithAttributeSet(attribute.NewSet(as...))
	m.attrs.Store(k, o)
	return o
}

// ServeHTTP answers with Prometheus text.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.meter.ServeHTTP(w, r)
}

// Close releases the instruments.
func (m *Metrics) Close() error {
	return errors.Trace(m.meter.Close())
}
