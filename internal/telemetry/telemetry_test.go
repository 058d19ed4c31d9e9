package telemetry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	collectorpb "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

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
			t.Fatalf("unexpected log line: %q", out.String())
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
		t.Fatalf("traceparent %q does not contain the incoming trace ID", out.Get("Traceparent"))
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
		t.Fatalf("span lacks the instance ID or its name: %s", out.String())
	}
}

// collector is an OTLP collector over HTTP that passes on the requests it receives.
type collector struct {
	requests chan *collectorpb.ExportTraceServiceRequest
}

func (c *collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := &collectorpb.ExportTraceServiceRequest{}
	if err := proto.Unmarshal(body, request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.requests <- request
	w.Header().Set("Content-Type", "application/x-protobuf")
}

// A collector receives the spans of a request in one trace, together with the VM that emitted them.
func TestOTLPExporterReachesACollector(t *testing.T) {
	sink := &collector{requests: make(chan *collectorpb.ExportTraceServiceRequest, 1)}
	server := httptest.NewServer(sink)
	defer server.Close()
	settings := steering.TelemetrySettings{Traces: "otlp", OTLPEndpoint: server.URL + "/v1/traces", SampleShare: 1}
	ctx := t.Context()
	provider, shutdown, err := NewTracerProvider(ctx, settings, Identity{VM: "e1", Incarnation: 7, Zone: "batinah-a"})
	if err != nil {
		t.Fatal(err)
	}
	tracer := provider.Tracer("test")
	outer, request := tracer.Start(ctx, "request")
	_, attempt := tracer.Start(outer, "attempt")
	attempt.End()
	request.End()
	if err := shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	got := (<-sink.requests).GetResourceSpans()[0]
	spans := got.GetScopeSpans()[0].GetSpans()
	if len(spans) != 2 || spans[0].GetName() != "attempt" || spans[1].GetName() != "request" {
		t.Fatalf("got spans %v, want attempt and request", spans)
	}
	if !bytes.Equal(spans[0].GetParentSpanId(), spans[1].GetSpanId()) ||
		!bytes.Equal(spans[0].GetTraceId(), spans[1].GetTraceId()) {
		t.Errorf("the attempt is not a child of the request: %v", spans)
	}
	if !strings.Contains(got.GetResource().String(), "e1.7") {
		t.Errorf("resource lacks the instance ID: %v", got.GetResource())
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
	m.GrantRequestDone("certdesk", "batinah-a", "granted")
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
		t.Fatalf("got %d metric families, want %d", len(families), want)
	}
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "azureflow_") {
			t.Errorf("metric name %s lacks the prefix azureflow_", family.GetName())
		}
	}
}
