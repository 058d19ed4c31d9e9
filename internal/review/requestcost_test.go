package review_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// discardRecorder allocates ids and discards records.
type discardRecorder struct{ next atomic.Uint64 }

func (r *discardRecorder) NextID() review.ID {
	return review.ID("e1.1." + strconv.FormatUint(r.next.Add(1), 10))
}
func (r *discardRecorder) Record(*review.Record) {}

// lossMetrics counts the records that were not mirrored.
type lossMetrics struct{ lost *atomic.Int64 }

func (m *lossMetrics) RecordsKept(review.Kind, int) {}
func (m *lossMetrics) RecordsMirrored(int)          {}
func (m *lossMetrics) DigestWritten(int)            {}
func (m *lossMetrics) RecordsDropped(stage string, n int) {
	if stage == "mirror" {
		m.lost.Add(int64(n))
	}
}

// singleServerPlacer places all requests on one server and reports two candidates, as a pool does.
type singleServerPlacer struct{ server vm.VM }

func (p *singleServerPlacer) Place(*request.PlacementQuery) (*request.Placement, error) {
	return &request.Placement{
		Server: p.server, Revision: 12, PlanEpoch: 88, Constraint: review.ConstraintNone,
		Candidates: []review.Candidate{
			{Name: string(p.server.Name), Taken: true, Reason: "least busy", Score: 0.41},
			{Name: "certdesk-7", Reason: "busier", Score: 0.77},
		},
		Release: func(request.AttemptResult) {},
	}, nil
}

func (p *singleServerPlacer) CapacityFreed(steering.ServiceName) <-chan struct{} { return nil }

func newEntry(recorder review.Recorder, upstream string) (url string, stop func()) {
	configuration := &steering.Configuration{Revision: 12, Services: []steering.Service{{
		Name: "certdesk",
		Operations: []steering.Operation{{
			Name: "lookup", Method: "GET", Path: "/certificates/{id}", Idempotent: true,
			Deadline: steering.Duration(10 * time.Second),
		}},
	}}}
	h := request.NewHandler(request.HandlerOptions{
		Config:   func() *steering.Configuration { return configuration },
		Placer:   &singleServerPlacer{server: vm.VM{Name: "certdesk-1", Address: upstream, Region: "batinah"}},
		Recorder: recorder,
		Self:     request.Identity{Name: "e1", Incarnation: 1, Region: "batinah", Zone: "batinah-a"},
	})
	s := httptest.NewServer(h)
	return s.URL, s.Close
}

// startRecording runs all processing of records in a daemon: log lines, mirror, digests, and storing the records that
// another VM mirrors, which are as many as it sends itself.
func startRecording(mirrored, lost *atomic.Int64) (l *review.Log, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l = review.NewLog(review.LogOptions{Self: "e1", Incarnation: 1, Logger: logger, Metrics: &lossMetrics{lost: lost}})
	peerLog := review.NewLog(review.LogOptions{Self: "e2", Incarnation: 1})
	mirror := review.NewMirror(review.MirrorOptions{Log: l, Send: func(ctx context.Context, r *peer.MirrorRequest) error {
		mirrored.Add(int64(len(r.GetRecords())))
		_, err := peerLog.MirrorRecords(ctx, r)
		return err
	}})
	store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
	digester := review.NewDigester(review.DigesterOptions{Log: l, Store: store, Zone: "batinah-a"})
	var wait sync.WaitGroup
	for _, run := range []func(context.Context) error{l.Run, mirror.Run, digester.Run} {
		wait.Go(func() { _ = run(ctx) })
	}
	return l, func() { cancel(); wait.Wait() }
}

// sendBurst sends n requests from concurrent callers and returns the processor time that the process used.
func sendBurst(b *testing.B, client *http.Client, url string, n int) time.Duration {
	const callers = 8
	start := processorTime(b)
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range n / callers {
				response, err := client.Do(newTracedRequest(url + "/certdesk/certificates/4711"))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Errorf("status %d", response.StatusCode)
					return
				}
			}
		})
	}
	wait.Wait()
	return processorTime(b) - start
}

// newTracedRequest returns a request with a new trace id.
func newTracedRequest(url string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, url, nil)
	r.RequestURI = ""
	r.Header.Set("Traceparent", fmt.Sprintf("00-%016x%016x-%016x-01", rand.Uint64(), rand.Uint64()|1, rand.Uint64()|1))
	return r
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequestWithRecords compares the processor time of an entry VM for a request without and with records, in
// alternating bursts of one run. The processor time of caller and upstream is measured by direct calls and subtracted.
// Each burst has its own entry VM, warmed up until the log is full, so that no burst pays for the memory of another.
func BenchmarkRequestWithRecords(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(request.HeaderAttempt, r.Header.Get(request.HeaderAttempt))
		_, _ = io.WriteString(w, `{"certificate":"4711","valid":true}`)
	}))
	b.Cleanup(upstream.Close)
	address := upstream.Listener.Addr().String()
	var mirrored, recorded, lost atomic.Int64
	var without, with, added []float64
	measureWithout := func() float64 {
		url, stop := newEntry(&discardRecorder{}, address)
		defer stop()
		return measurePhase(b, url)
	}
	measureWith := func() float64 {
		log, stopLog := startRecording(&mirrored, &lost)
		defer stopLog()
		url, stop := newEntry(log, address)
		defer stop()
		recorded.Add(warmUp + perBurst)
		return measurePhase(b, url)
	}
	for i := 0; b.Loop(); i++ {
		direct := measurePhase(b, upstream.URL)
		var bare, full float64
		if i%2 == 0 {
			bare, full = measureWithout()-direct, measureWith()-direct
		} else {
			full, bare = measureWith()-direct, measureWithout()-direct
		}
		without, with = append(without, bare), append(with, full)
		added = append(added, 100*(full-bare)/bare)
	}
	b.ReportMetric(100*float64(lost.Load())/float64(2*recorded.Load()), "%lost-to-mirror")
	b.ReportMetric(median(without), "us/request-without")
	b.ReportMetric(median(with), "us/request-with")
	b.ReportMetric(median(added), "%added")
	b.ReportMetric(float64(mirrored.Load())/float64(recorded.Load()), "mirrored-bytes/request")
}

// Number of requests of a phase.
const (
	warmUp   = 4000
	perBurst = 8000
)

// measurePhase warms up the server at url and returns the processor time of a request in microseconds.
func measurePhase(b *testing.B, url string) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	sendBurst(b, client, url, warmUp)
	runtime.GC()
	return float64(sendBurst(b, client, url, perBurst).Microseconds()) / perBurst
}

func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}
