package telemetry

import (
	"context"
	"io"
	"os"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// Trace exporters allowed in settings.
const (
	exporterNone   = "none"
	exporterStdout = "stdout"
	exporterOTLP   = "otlp"
)

// Identity identifies the process that emits spans.
type Identity struct {
	Deployment  string
	VM          vm.Name
	Incarnation vm.Incarnation
	Region      steering.RegionName
	Zone        steering.ZoneName
	Version     string // of the binary
}

// Shutdown exports the remaining spans and releases the exporter.
type Shutdown func(ctx context.Context) error

// UnknownExporterError reports an unsupported trace exporter.
type UnknownExporterError struct{ Exporter string }

// Error implements error.
func (e *UnknownExporterError) Error() string {
	return "unknown trace exporter " + e.Exporter + ": allowed are none, stdout, otlp"
}

// ExporterError reports a trace exporter that could not be set up.
type ExporterError struct {
	Exporter string
	Cause    error
}

// Error implements error.
func (e *ExporterError) Error() string {
	return "set up trace exporter " + e.Exporter + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExporterError) Unwrap() error { return e.Cause }

// Propagator returns the propagator of W3C trace context in HTTP headers.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// NewTracerProvider returns the provider configured by settings and the function that shuts it down.
// With exporter "none" (or empty) spans are no-ops, and the trace context of the caller is still
// propagated to the upstream. Errors: *UnknownExporterError, *ExporterError.
func NewTracerProvider(
	ctx context.Context, settings steering.TelemetrySettings, identity Identity,
) (trace.TracerProvider, Shutdown, error) {
	exporter, err := newExporter(ctx, settings, os.Stdout)
	if err != nil {
		return nil, nil, err
	}
	if exporter == nil {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(identity.resource()),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.SampleShare))),
	)
	return provider, provider.Shutdown, nil
}

func newExporter(
	ctx context.Context, settings steering.TelemetrySettings, stdout io.Writer,
) (sdktrace.SpanExporter, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch settings.Traces {
	case "", exporterNone:
		return nil, nil
	case exporterStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case exporterOTLP:
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(settings.OTLPEndpoint))
	default:
		return nil, &UnknownExporterError{Exporter: settings.Traces}
	}
	if err != nil {
		return nil, &ExporterError{Exporter: settings.Traces, Cause: err}
	}
	return exporter, nil
}

func (i Identity) resource() *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "azureflow"),
		attribute.String("service.version", i.Version),
		attribute.String("service.instance.id", string(i.VM)+"."+strconv.FormatUint(uint64(i.Incarnation), 10)),
		attribute.String("deployment.environment.name", i.Deployment),
		attribute.String("cloud.region", string(i.Region)),
		attribute.String("cloud.availability_zone", string(i.Zone)),
	)
}
