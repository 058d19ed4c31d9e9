package telemetry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
)

func TestLoggerWritesOneLineInStableOrder(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(steering.TelemetrySettings{}, &out)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		out.Reset()
		fields := logrus.Fields{"zone": "batinah-a", "vm": "e1", "detail": "two\nlines", "empty": ""}
		logger.WithFields(fields).Info("revision in force")
		want := regexp.MustCompile(`^time="?\S+Z"? level=info event="revision in force" detail="two\\nlines" empty="" vm=e1 zone=batinah-a\n$`)
		if !want.MatchString(out.String()) {
			t.Fatalf("line: %q", out.String())
		}
	}
}

func TestLoggerRefusesUnknownLevel(t *testing.T) {
	_, err := NewLogger(steering.TelemetrySettings{LogLevel: "loud"}, &bytes.Buffer{})
	var unknown *UnknownLevelError
	if !errors.As(err, &unknown) {
		t.Fatalf("error %v", err)
	}
}

func TestTracerProviderExporters(t *testing.T) {
	ctx := context.Background()
	for _, exporter := range []string{"", "none", "stdout", "otlp"} {
		settings := steering.TelemetrySettings{Traces: exporter, OTLPEndpoint: "http://127.0.0.1:9/v1/traces"}
		_, shutdown, err := NewTracerProvider(ctx, settings, Identity{VM: "e1"})
		if err != nil {
			t.Fatalf("%q: %v", exporter, err)
		}
		if err := shutdown(ctx); err != nil {
			t.Fatalf("%q: shutdown: %v", exporter, err)
		}
	}
	_, _, err := NewTracerProvider(ctx, steering.TelemetrySettings{Traces: "fax"}, Identity{})
	var unknown *UnknownExporterError
	if !errors.As(err, &unknown) {
		t.Fatalf("error %v", err)
	}
}

func TestTraceContextPassesWithoutExporter(t *testing.T) {
	provider, _, err := NewTracerProvider(context.Background(), steering.TelemetrySettings{}, Identity{})
	if err != nil {
		t.Fatal(err)
	}
	in := http.Header{}
	in.Set("Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	ctx := Propagator().Extract(context.Background(), propagation.HeaderCarrier(in))
	ctx, span := provider.Tracer("test").Start(ctx, "request")
	defer span.End()
	out := http.Header{}
	Propagator().Inject(ctx, propagation.HeaderCarrier(out))
	if !strings.Contains(out.Get("Traceparent"), "4bf92f3577b34da6a3ce929d0e0e4736") {
		t.Fatalf("traceparent %q", out.Get("Traceparent"))
	}
}

func TestStdoutExporterNamesTheVM(t *testing.T) {
	var out bytes.Buffer
	ctx := context.Background()
	exporter, err := newExporter(ctx, steering.TelemetrySettings{Traces: "stdout"}, &out)
	if err != nil {
		t.Fatal(err)
	}
	identity := Identity{VM: "e1", Incarnation: 7, Zone: "batinah-a"}
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter), sdktrace.WithResource(identity.resource()))
	_, span := provider.Tracer("test").Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	span.End()
	if !strings.Contains(out.String(), "e1.7") || !strings.Contains(out.String(), `"attempt"`) {
		t.Fatalf("span %s", out.String())
	}
}

func TestMetricNames(t *testing.T) {
	registry := prometheus.NewRegistry()
	m := NewMetrics(registry)
	m.RequestDone("certdesk", "lookup", "done", time.Millisecond)
	m.AttemptDone("certdesk", "answered", time.Millisecond)
	m.QueueDepth("certdesk", steering.ClassBulk, 3)
	m.QueueWaited("certdesk", steering.ClassBulk, time.Second)
	m.Refused("certdesk", review.ConstraintCap)
	m.LookupDone("certdesk", "nearest", time.Microsecond)
	m.GrantAnswered("certdesk", "batinah-a", "granted")
	m.GrantHeld("certdesk", "batinah-a", 5)
	m.RevisionInForce(8)
	m.RevisionDenied("older")
	m.RecordsKept(review.KindLookup, 2)
	m.RecordsDropped("mirror", 1)
	m.RecordsMirrored(2)
	m.DigestWritten(100)
	m.StoreCalled("get", "ok")
	m.LinkUsed("batinah", "muscat", 100, 126)
	m.ControlBytes("exchange", 10, 20)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if want := 21; len(families) != want {
		t.Fatalf("%d families, want %d", len(families), want)
	}
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "azureflow_") {
			t.Errorf("name %s", family.GetName())
		}
	}
}
