package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azureflow/azureflow/caller"
	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
)

const (
	callersPerRegion = 8
	shortBody        = 512 // bytes of a stamp or settlement
	answerBytes      = 512 // of every answer but a read of an upload
	serviceSpread    = 0.4 // sigma of the log-normal service times
)

// flow is the requests of one operation from one region.
type flow struct {
	service   *steering.Service
	operation *steering.Operation
	region    steering.RegionName
	perSecond float64
	callers   []*caller.Client
	seed      uint64
}

// tally counts what callers were told of one operation.
type tally struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // microseconds, of requests done
	requests int
	done     int
	unknown  int
	wrong    int
	notRun   []string       // keys
	refusals map[string]int // by reason
	sampled  []string       // decision ids of the first requests that were refused or ended unknown
}

func newTally() *tally {
	const maxLatency, digits = int64(120 * time.Second / time.Microsecond), 3
	return &tally{latency: hdrhistogram.New(1, maxLatency, digits), refusals: make(map[string]int)}
}

// flows returns the deployment's mix: every operation at a share of its peak, spread over the regions.
func (w *world) flows() []*flow {
	var out []*flow
	callers := w.callers()
	regions := w.deployment.config.Platform.Regions
	for i := range w.deployment.config.Services {
		s := &w.deployment.config.Services[i]
		for j := range s.Operations {
			if slices.Contains(w.opts.Without, s.Operations[j].Name) {
				continue
			}
			for k := range regions {
				out = append(out, &flow{
					service: s, operation: &s.Operations[j], region: regions[k].Name,
					perSecond: s.Operations[j].PeakRequests * w.opts.Load / float64(len(regions)),
					callers:   callers[regions[k].Name],
					seed:      w.opts.Seed<<16 + uint64(len(out)),
				})
			}
		}
	}
	return out
}

// callers returns the clients of each region. Each has its own connections, delayed like its place.
func (w *world) callers() map[steering.RegionName][]*caller.Client {
	out := make(map[steering.RegionName][]*caller.Client)
	for _, r := range w.deployment.config.Platform.Regions {
		for i := range callersPerRegion {
			at := place{region: r.Name, caller: true, host: fmt.Sprintf("caller-%s-%d", r.Name, i)}
			transport := &http.Transport{
				DialContext: w.network.dialer(at), MaxIdleConnsPerHost: callersPerRegion, IdleConnTimeout: time.Minute,
			}
			out[r.Name] = append(out[r.Name], caller.New(caller.Options{
				Entries: w.bootstrap(r.Name), Origin: string(r.Name), Block: strconv.Itoa(len(out)*callersPerRegion + i), HTTP: transport,
			}))
		}
	}
	return out
}

// bootstrap returns the addresses that callers of a region ask first: their own region's, then the others.
func (w *world) bootstrap(region steering.RegionName) []string {
	var near, far []string
	for _, e := range w.entries {
		if e.row.Region == region {
			near = append(near, e.row.Address)
			continue
		}
		far = append(far, e.row.Address)
	}
	return append(near, far...)
}

// run sends requests at random moments, whatever became of earlier ones, until ctx ends, and waits
// for the answers.
func (f *flow) run(ctx context.Context, t *tally) {
	random := newRandom(f.seed)
	var calls sync.WaitGroup
	defer calls.Wait()
	if f.perSecond <= 0 {
		return
	}
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / f.perSecond * float64(time.Second)))
		if clock.Sleep(ctx, time.Until(next)) != nil {
			return
		}
		c := f.newCall(n, random)
		calls.Go(func() { c.run(t) })
	}
}

// call is one request of a flow.
type call struct {
	flow   *flow
	client *caller.Client
	path   string
	key    string
	body   []byte
	length int // of the answer
	header http.Header
}

func (f *flow) newCall(n int, random *rand.Rand) *call {
	id := fmt.Sprintf("%s-%s-%d", f.region, f.operation.Name, n)
	c := &call{flow: f, client: f.callers[n%len(f.callers)], path: pathOf(f.operation.Path, id), length: answerBytes}
	switch f.operation.Method {
	case http.MethodPost:
		c.key = id
		c.body = bytes.Repeat([]byte("s"), shortBody)
	case http.MethodPut:
		c.body = bytes.Repeat([]byte("u"), int(f.operation.ExpectedBytes))
	default:
		c.length = max(answerBytes, int(f.operation.ExpectedBytes))
	}
	service := float64(f.operation.ServiceTime.Std()/time.Millisecond) * logNormal(random)
	c.header = http.Header{}
	c.header.Set(standin.HeaderServiceMs, strconv.Itoa(max(1, int(service))))
	c.header.Set(standin.HeaderAnswerBytes, strconv.Itoa(c.length))
	return c
}

// pathOf fills id into the variables of a path template.
func pathOf(template, id string) string {
	var b strings.Builder
	for part := range strings.SplitSeq(template, "/") {
		if part == "" {
			continue
		}
		b.WriteByte('/')
		if strings.HasPrefix(part, "{") {
			part = id
		}
		b.WriteString(part)
	}
	return b.String()
}

// run sends the call and counts what its caller is told.
func (c *call) run(t *tally) {
	op := c.flow.operation
	ctx, cancel := context.WithTimeout(context.Background(), op.Deadline.Std())
	defer cancel()
	began := time.Now()
	opts := caller.CallOptions{Idempotent: op.Idempotent, Key: c.key, First: c.key != "", Header: c.header}
	var body io.Reader
	if c.body != nil {
		body = bytes.NewReader(c.body)
	}
	answer, err := c.client.Do(ctx, string(c.flow.service.Name), op.Method, c.path, body, opts)
	if err != nil {
		t.failed(c, err)
		return
	}
	got, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		t.failed(c, err)
		return
	}
	t.answered(c, answer, got, time.Since(began))
}

func (t *tally) failed(c *call, err error) {
	var notRun *caller.NotRunError
	var unknown *caller.UnknownError
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	if errors.As(err, &unknown) {
		t.sample(unknown.Refusal.Decision)
	}
	if errors.As(err, &notRun) {
		t.sample(notRun.Refusal.Decision)
		t.notRun = append(t.notRun, c.key)
		t.refusals[notRun.Refusal.Kind]++
		return
	}
	t.unknown++
}

// sample keeps a decision id while there is room.
func (t *tally) sample(decision string) {
	const room = 2
	if decision != "" && len(t.sampled) < room {
		t.sampled = append(t.sampled, decision)
	}
}

func (t *tally) answered(c *call, answer *caller.Answer, got []byte, took time.Duration) {
	want := standin.AnswerBody(standin.RequestDigest(c.flow.operation.Method, c.path, c.key, c.body), c.length)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case answer.Outcome != "done" || answer.Status != http.StatusOK:
		t.unknown++
	case !bytes.Equal(got, want):
		t.wrong++
	default:
		t.done++
		_ = t.latency.RecordValue(took.Microseconds())
	}
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// logNormal returns a factor whose median is 1.
func logNormal(random *rand.Rand) float64 {
	return math.Exp(serviceSpread * random.NormFloat64())
}
