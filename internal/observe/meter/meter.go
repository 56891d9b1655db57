// Package meter makes the OpenTelemetry meter of a process and shows its
// figures as Prometheus text.
//
// # Usage
//
//	m, err := meter.New(meter.Config{Node: "sapporo-1", Domain: "sapporo"})
//	h, err := m.Float64Histogram("egrethaven_request_duration")
//	http.Handle("/metrics", m)
//	m.Close()
package meter

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Config sets up a Meter.
type Config struct {
	// Node and Domain label all figures.
	Node   string
	Domain string
}

// Meter makes instruments. It is an http.Handler that shows their figures.
type Meter struct {
	metric.Meter
	provider *sdk.MeterProvider
	handler  http.Handler
}

// New returns a meter without instruments.
func New(c Config) (*Meter, error) {
	reg := prometheus.NewRegistry()
	exp, err := exporter.New(exporter.WithRegisterer(reg), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo(),
		exporter.WithResourceAsConstantLabels(attribute.NewAllowKeysFilter("node", "failure_domain")))
	if err != nil {
		return nil, errors.Annotate(err, "making the metrics exporter")
	}
	res := resource.NewSchemaless(attribute.String("node", c.Node), attribute.String("failure_domain", c.Domain))
	p := sdk.NewMeterProvider(sdk.WithReader(exp), sdk.WithResource(res))
	return &Meter{Meter: p.Meter("egrethaven"), provider: p, handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{})}, nil
}

// ServeHTTP answers with Prometheus text.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close releases the instruments.
func (m *Meter) Close() error { return errors.Trace(m.provider.Shutdown(context.Background())) }
