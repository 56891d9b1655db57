package metric

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// plain drops the unit of a bare count, which the exporter would show as the
// suffix _ratio.
func plain(unit string) string {
	if unit == "1" {
		return ""
	}
	return unit
}

// Gauge shows what read returns at the time.
func (m *Metrics) Gauge(name, unit, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithUnit(plain(unit)), metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotatef(err, "gauge %s", name)
}

// Counter shows what read returns, which never goes down.
func (m *Metrics) Counter(name, unit, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithUnit(plain(unit)), metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotatef(err, "counter %s", name)
}

// Labeled shows a gauge with one value for each label.
func (m *Metrics) Labeled(name, unit, help, label string, read func() map[string]float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithUnit(plain(unit)), metric.WithDescription(help),
		metric.WithFloat64Callback(each(label, read)))
	return errors.Annotatef(err, "gauge %s", name)
}

// LabeledCounter shows a counter with one value for each label.
func (m *Metrics) LabeledCounter(name, unit, help, label string, read func() map[string]float64) error {
	_, err := m.meter.Float64ObservableCounter(name, metric.WithUnit(plain(unit)), metric.WithDescription(help),
		metric.WithFloat64Callback(each(label, read)))
	return errors.Annotatef(err, "counter %s", name)
}

// each observes one value for each label.
func each(label string, read func() map[string]float64) metric.Float64Callback {
	return func(_ context.Context, o metric.Float64Observer) error {
		for l, v := range read() {
			o.Observe(v, metric.WithAttributes(attribute.String(label, l)))
		}
		return nil
	}
}
