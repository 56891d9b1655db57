package metric

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// exportedUnit removes the unit "1", for which the exporter would append the suffix
// _ratio to the metric name.
func exportedUnit(unit string) string {
	if unit == "1" {
		return ""
	}
	return unit
}

// RegisterGauge registers a gauge whose value is returned by read.
func (m *Metrics) RegisterGauge(name, unit, help string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithUnit(exportedUnit(unit)), metric.WithDescription(help),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotatef(err, "registering gauge %s", name)
}

// RegisterCounter registers a counter whose value is returned by read. The value must not
// decrease.
func (m *Metrics) RegisterCounter(name, unit, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithUnit(exportedUnit(unit)), metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return errors.Annotatef(err, "registering counter %s", name)
}

// RegisterLabeledGauge registers a gauge with one value per value of label. read returns
// them by label value.
func (m *Metrics) RegisterLabeledGauge(name, unit, help, label string, read func() map[string]float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithUnit(exportedUnit(unit)), metric.WithDescription(help),
		metric.WithFloat64Callback(labeledCallback(label, read)))
	return errors.Annotatef(err, "registering gauge %s", name)
}

// RegisterLabeledCounter registers a counter with one value per value of label. read
// returns them by label value. They must not decrease.
func (m *Metrics) RegisterLabeledCounter(name, unit, help, label string, read func() map[string]float64) error {
	_, err := m.meter.Float64ObservableCounter(name, metric.WithUnit(exportedUnit(unit)), metric.WithDescription(help),
		metric.WithFloat64Callback(labeledCallback(label, read)))
	return errors.Annotatef(err, "registering counter %s", name)
}

// labeledCallback returns a callback that observes each value returned by read with
// its label.
func labeledCallback(label string, read func() map[string]float64) metric.Float64Callback {
	return func(_ context.Context, o metric.Float64Observer) error {
		for labelValue, v := range read() {
			o.Observe(v, metric.WithAttributes(attribute.String(label, labelValue)))
		}
		return nil
	}
}
