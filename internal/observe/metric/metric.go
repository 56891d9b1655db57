// Package metric records the metrics of one process with OpenTelemetry and exports
// them in the Prometheus text format.
//
// The instruments for queries and writes are created once. Values that other packages
// keep are read by callbacks during an export.
//
// # Usage
//
//	m, err := metric.New(metric.Config{Node: "sapporo-entry-1", Domain: "sapporo"})
//	m.RecordQuery("warranty", answer, elapsed)
//	m.RegisterGauge("egrethaven_links", "{link}", "connections to searchers", func() float64 { ... })
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

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/meter"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
)

// latencyBuckets holds the bucket boundaries of the latency histograms, in seconds.
var latencyBuckets = []float64{.002, .005, .01, .02, .035, .05, .075, .1, .15, .2, .25, .35, .5, .75, 1, 2, 5, 10}

// Config configures a Metrics.
type Config struct {
	Node   string
	Domain failuredomain.Domain
}

// Metrics holds the instruments of one process and is the http.Handler that exports
// them. It is safe for concurrent use.
type Metrics struct {
	meter *meter.Meter

	queries  metric.Float64Histogram
	writes   metric.Float64Histogram
	calls    metric.Int64Counter
	coverage metric.Float64Counter
	requests metric.Int64Counter
	attrs    sync.Map // attributeKey to metric.MeasurementOption
}

// attributeKey identifies a set of attributes of a measurement.
type attributeKey struct {
	search  string
	outcome outcome.Outcome
	// complete is included in the attributes only if query is true.
	complete bool
	query    bool
	kind     string
}

// New creates the instruments of a process.
func New(c Config) (*Metrics, error) {
	mt, err := meter.New(meter.Config{Node: c.Node, Domain: string(c.Domain)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := &Metrics{meter: mt}
	return m, errors.Annotate(m.createInstruments(), "creating metric instruments")
}

// createInstruments creates the instruments for requests.
func (m *Metrics) createInstruments() error {
	var errs [5]error
	m.queries, errs[0] = m.meter.Float64Histogram("egrethaven_query_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a query to its answer"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	m.writes, errs[1] = m.meter.Float64Histogram("egrethaven_write_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a write to its result"), metric.WithExplicitBucketBoundaries(latencyBuckets...))
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

// RecordQuery records an answered query.
func (m *Metrics) RecordQuery(search string, a ask.Answer, elapsed time.Duration) {
	ctx := context.Background()
	o := m.attributes(attributeKey{search: search, outcome: a.Outcome, complete: a.Complete, query: true})
	m.queries.Record(ctx, elapsed.Seconds(), o)
	m.coverage.Add(ctx, a.Coverage.Fraction(), m.attributes(attributeKey{search: search}))
	m.addCalls(search, "primary", a.Cost.Primaries)
	m.addCalls(search, "hedge", a.Cost.Hedges)
	m.addCalls(search, "retry", a.Cost.Retries)
	m.addCalls(search, "restart", a.Cost.Restarts)
	m.addCalls(search, "dropped", a.Cost.Dropped)
}

// addCalls adds n calls of a kind.
func (m *Metrics) addCalls(search, kind string, n int) {
	if n > 0 {
		m.calls.Add(context.Background(), int64(n), m.attributes(attributeKey{search: search, kind: kind}))
	}
}

// RecordWrite records a write.
func (m *Metrics) RecordWrite(search string, r write.Result, elapsed time.Duration) {
	m.writes.Record(context.Background(), elapsed.Seconds(), m.attributes(attributeKey{search: search, outcome: r.Outcome}))
}

// RecordRequest records an HTTP request with its route and status.
func (m *Metrics) RecordRequest(route string, status int) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.Int("status", status)))
}

// attributes returns the cached attributes for k, which it creates if necessary.
func (m *Metrics) attributes(k attributeKey) metric.MeasurementOption {
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

// ServeHTTP responds with the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.meter.ServeHTTP(w, r)
}

// Close shuts down the instruments.
func (m *Metrics) Close() error {
	return errors.Trace(m.meter.Close())
}
