// Package gatewaymetric measures one gateway.
//
// # Usage
//
//	m, err := gatewaymetric.New(gatewaymetric.Config{Node: "sapporo-1", Domain: "sapporo"})
//	m.Request("claims", "", elapsed)
//	m.Gauge("egrethaven_searchers", "{searcher}", "known searchers", func() float64 { ... })
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

// bounds of the latency histogram, in seconds.
var bounds = []float64{.005, .01, .02, .035, .05, .075, .1, .15, .25, .4, .6, 1, 2, 4}

// Config sets up a Metrics; both fields label all figures.
type Config = meter.Config

// key is a set of attributes of a request.
type key struct{ route, reason string }

// Metrics holds the instruments of one gateway. It is an http.Handler. It is
// safe for concurrent use.
type Metrics struct {
	*meter.Meter
	requests metric.Float64Histogram
	attrs    sync.Map // of key to metric.MeasurementOption
}

// New returns the instruments of a process.
func New(c Config) (*Metrics, error) {
	p, err := meter.New(c)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m := &Metrics{Meter: p}
	m.requests, err = m.Float64Histogram("egrethaven_request_duration", metric.WithUnit("s"),
		metric.WithDescription("time from a request's header to its answer, by route and reason of failure"),
		metric.WithExplicitBucketBoundaries(bounds...))
	return m, errors.Annotate(err, "making the request histogram")
}

// Request counts one request; reason is empty if it was served.
func (m *Metrics) Request(route, reason string, elapsed time.Duration) {
	k := key{route, reason}
	o, ok := m.attrs.Load(k)
	if !ok {
		o, _ = m.attrs.LoadOrStore(k, metric.MeasurementOption(metric.WithAttributeSet(
			attribute.NewSet(attribute.String("route", route), attribute.String("reason", reason)))))
	}
	m.requests.Record(context.Background(), elapsed.Seconds(), o.(metric.MeasurementOption))
}

// Gauge shows a figure that is read when the page is asked for.
func (m *Metrics) Gauge(name, unit, help string, read func() float64) error {
	_, err := m.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotatef(err, "making the gauge %s", name)
}
