// Package meter creates the OpenTelemetry meter of a process and exports its metrics
// in the Prometheus text format.
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

// Config configures a Meter.
type Config struct {
	// Node and Domain are the values of the labels node and failure_domain of all
	// metrics.
	Node   string
	Domain string
}

// Meter creates instruments and is the http.Handler that exports their metrics.
type Meter struct {
	metric.Meter
	provider *sdk.MeterProvider
	handler  http.Handler
}

// New returns a Meter without instruments.
func New(c Config) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exp, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo(),
		exporter.WithResourceAsConstantLabels(attribute.NewAllowKeysFilter("node", "failure_domain")))
	if err != nil {
		return nil, errors.Annotate(err, "creating the Prometheus exporter")
	}
	res := resource.NewSchemaless(attribute.String("node", c.Node), attribute.String("failure_domain", c.Domain))
	p := sdk.NewMeterProvider(sdk.WithReader(exp), sdk.WithResource(res))
	return &Meter{Meter: p.Meter("egrethaven"), provider: p, handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{})}, nil
}

// ServeHTTP responds with the metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

// Close shuts down the instruments.
func (m *Meter) Close() error { return errors.Trace(m.provider.Shutdown(context.Background())) }
