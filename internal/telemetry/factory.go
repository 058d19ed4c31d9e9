package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// namespace is the prefix of all metric names.
const namespace = "azureflow"

// factory creates and registers metrics under namespace.
type factory struct{ auto promauto.Factory }

func (f factory) counter(name, help string, labels ...string) *prometheus.CounterVec {
	return f.auto.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (f factory) counterWithoutLabels(name, help string) prometheus.Counter {
	return f.auto.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func (f factory) gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return f.auto.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func (f factory) gaugeWithoutLabels(name, help string) prometheus.Gauge {
	return f.auto.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func (f factory) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return f.auto.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
}

func (f factory) histogramWithoutLabels(name, help string, buckets []float64) prometheus.Histogram {
	return f.auto.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	})
}
