package request

import (
	"net/http"
	"strings"
	"testing"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestSpanForEachHop: the caller's trace continues through the request and attempt spans to the upstream.
func TestSpanForEachHop(t *testing.T) {
	const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	seen := make(chan string, 1)
	upstream := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Traceparent") })
	e := newTestEntry(t, func(o *HandlerOptions) { o.Tracer = provider.Tracer("test") }, addressOf(upstream))
	e.do(t, "GET", "/kasse/balances/1", nil, "Traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
	e.server.Close()
	ended := spans.Ended()
	if len(ended) != 2 || ended[0].Name() != "attempt" || ended[1].Name() != "request" {
		t.Fatalf("spans %v", ended)
	}
	attempt, request := ended[0], ended[1]
	if request.Parent().SpanID().String() != "00f067aa0ba902b7" || attempt.Parent().SpanID() != request.SpanContext().SpanID() {
		t.Error("the spans are not linked")
	}
	if got := <-seen; !strings.Contains(got, traceID) || !strings.Contains(got, attempt.SpanContext().SpanID().String()) {
		t.Errorf("upstream received Traceparent %q", got)
	}
	for _, r := range e.recorder.records {
		if r.TraceID != traceID {
			t.Errorf("record %s has trace %q", r.Kind, r.TraceID)
		}
	}
}
