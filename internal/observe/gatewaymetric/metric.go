// Package gatewaymetric provides the OpenTelemetry metrics of one gateway.
//
// # Usage
//
//	m, err := gatewaymetric.New(gatewaymetric.Config{Node: "sapporo-1", Domain: "sapporo"})
//	m.RecordRequest("claims", "", elapsed)
//	m.RegisterGauge("egrethaven_searchers", "{searcher}", "known searchers", func() float64 { ... })
//	http.Handle("/metrics", m)
package gatewaymetric

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"egrethaven/internal/observe/meter"
)

// latencyBuckets are the upper bounds of the request histogram's buckets, in seconds.
var latencyBuckets = []float64{.005, .01, .02, .035, .05, .075, .1, .15, .25, .4, .6, 1, 2, 4}

// Config configures a Metrics. Its fields are labels of all metrics.
type Config = meter.Config

// requestKey holds the labels of a request.
type requestKey struct{ route, reason string }

// Metrics holds the instruments of one gateway. It is an http.Handler. It is
// safe for concurrent use.
type Metrics struct {
	*meter.Meter
	requests  metric.Float64Histogram
	handovers metric.Int64Counter
	// quarantine counts the steps of requests that crash searchers.
	quarantine metric.Int64Counter
	accounts   accounts
	options    sync.Map // caches a metric.MeasurementOption for each requestKey
}

// New returns the instruments of a gateway.
func New(c Config) (*Metrics, error) {
	p, err := meter.New(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := &Metrics{Meter: p, accounts: accounts{byName: map[string]*accountCounts{}}}
	if err := m.accounts.register(p); err != nil {
		return nil, errors.Annotate(err, "creating the counter of accounts")
	}
	m.requests, err = m.Float64Histogram("egrethaven_request_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a request's header to its answer, by route and reason of failure"),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	if err != nil {
		return nil, errors.Annotate(err, "creating the request histogram")
	}
	m.handovers, err = m.Int64Counter("egrethaven_handovers", metric.WithUnit("{request}"),
		metric.WithDescription("tries to hand a request over to another VM, by outcome"))
	if err != nil {
		return nil, errors.Annotate(err, "creating the handover counter")
	}
	m.quarantine, err = m.Int64Counter("egrethaven_quarantine_steps", metric.WithUnit("{step}"),
		metric.WithDescription("steps of requests that are suspected of crashing searchers: suspected, heard, quarantined, refused, cleared, ended, forgotten"))
	return m, errors.Annotate(err, "creating the quarantine counter")
}

// RecordQuarantineStep records a step of a request that is suspected of crashing searchers.
func (m *Metrics) RecordQuarantineStep(step string) {
	m.quarantine.Add(context.Background(), 1, metric.WithAttributes(attribute.String("step", step)))
}

// RecordHandover records a try to hand a request over to another VM.
func (m *Metrics) RecordHandover(outcome string) {
	m.handovers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordRequest records a request; reason is empty if the request succeeded.
func (m *Metrics) RecordRequest(route, reason string, elapsed time.Duration) {
	k := requestKey{route, reason}
	o, ok := m.options.Load(k)
	if !ok {
		o, _ = m.options.LoadOrStore(k, metric.MeasurementOption(metric.WithAttributeSet(
			attribute.NewSet(attribute.String("route", route), attribute.String("reason", reason)))))
	}
	m.requests.Record(context.Background(), elapsed.Seconds(), o.(metric.MeasurementOption))
}

// RegisterGauge registers a gauge whose value is read whenever the metrics page is
// requested.
func (m *Metrics) RegisterGauge(name, unit, help string, read func() float64) error {
	_, err := m.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotatef(err, "registering the gauge %s", name)
}

// AccountValue is the value of a gauge for one client account.
type AccountValue struct {
	Account string
	Value   float64
}

// RegisterAccountGauge registers a gauge with a value for each of some accounts, which are read
// whenever the metrics page is requested.
func (m *Metrics) RegisterAccountGauge(name, unit, help string, read func() []AccountValue) error {
	_, err := m.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, v := range read() {
				o.Observe(v.Value, metric.WithAttributes(attribute.String("account", v.Account)))
			}
			return nil
		}))
	return errors.Annotatef(err, "registering the gauge %s", name)
}
