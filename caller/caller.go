package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/request"
)

// Defaults of Options.
const (
	defaultTimeout       = 10 * time.Second
	defaultLookupTimeout = 500 * time.Millisecond
	defaultSilentAfter   = time.Second
	defaultMaxSendings   = 3
	dialTimeout          = time.Second
	idleTimeout          = 30 * time.Second
	idlePerEntry         = 64
	resendBurst          = 4    // second sendings beside a silent one that may be saved up
	resendShare          = 0.05 // of the calls, once these are spent
	silentDeadlineParts  = 4    // a sending is silent after this part of the time left
	// An entry VM is told less time than there is, so that its refusal arrives before the deadline.
	answerMarginParts = 10
	maxAnswerMargin   = 250 * time.Millisecond

	callIDBase = 36 // in which a call's random name is written
)

// Options configure New. Entries is required.
type Options struct {
	Entries []string // bootstrap: host:port of entry VMs that answer lookups
	Origin  string   // the caller's region
	Block   string   // the caller's client block
	// Timeout is the deadline of a request whose context has none.
	Timeout       time.Duration
	LookupTimeout time.Duration // of one lookup at one entry VM
	// SilentAfter is how long an entry VM may stay silent before a request goes to another one too.
	SilentAfter time.Duration
	// MaxSendings bounds the entry VMs that one request is sent to.
	MaxSendings int
	// HTTP carries the requests; by default a new transport.
	HTTP http.RoundTripper
}

func (o *Options) setDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.LookupTimeout <= 0 {
		o.LookupTimeout = defaultLookupTimeout
	}
	if o.SilentAfter <= 0 {
		o.SilentAfter = defaultSilentAfter
	}
	if o.MaxSendings <= 0 {
		o.MaxSendings = defaultMaxSendings
	}
	if o.HTTP == nil {
		o.HTTP = newTransport(o.SilentAfter)
	}
}

func newTransport(silentAfter time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         request.NewDialer(dialTimeout, silentAfter).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idlePerEntry,
	}
}

// Client sends requests through entry VMs. It is safe for concurrent use.
type Client struct {
	opts        Options
	lookups     *lookups
	connections connections
	budget      *request.ExtraBudget
}

// New returns a Client.
func New(opts Options) *Client {
	opts.setDefaults()
	c := &Client{opts: opts, budget: request.NewExtraBudget(resendBurst)}
	c.connections.idle, _ = opts.HTTP.(idleCloser)
	c.lookups = &lookups{client: c, services: make(map[string]*serviceLookup)}
	return c
}

// CallOptions describe one request.
type CallOptions struct {
	// Idempotent says that the request may run more than once; GET, HEAD and OPTIONS always may.
	Idempotent bool
	// Key is the idempotency key of a request that may not. By default a new one is made.
	Key string
	// Previous names the entry VMs, as NAME/INCARNATION, that may have been sent Key before; take it
	// from an UnknownError. With a Key of your own and no Previous, the entry VM looks for an earlier
	// sending where it can; see docs/operators/callers.md for what that does not promise.
	Previous []string
	// First says that Key was never sent before, as with a key that was just made.
	First  bool
	Header http.Header // further headers
	// Size is the length of the body in bytes; 0: unknown, unless the body has a method Len.
	Size int64
}

// Answer is the upstream's answer. Close its Body.
type Answer struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser // a Read fails with *CutOffError if the answer is not whole
	Outcome  string        // "done", or "unknown" for a server error of a non-idempotent request
	Decision string        // decision id, for `azureflow explain`
	Entry    string        // NAME/INCARNATION that answered
}

// Do sends a request to path below service and returns the answer. body may be nil; it is sent to a
// second entry VM only if it is an io.ReaderAt of known size, such as *bytes.Reader. Errors:
// *NotRunError, *UnknownError, *LookupError (nothing was sent).
func (c *Client) Do(ctx context.Context, service, method, path string, body io.Reader, opts CallOptions) (*Answer, error) {
	req := &callRequest{service: service, method: method, path: path, body: newCallBody(body, opts.Size), opts: opts}
	entries, err := c.lookups.entries(ctx, service)
	if err != nil {
		return nil, err
	}
	answer, err := c.newCall(req).run(ctx, entries)
	if !reachedNone(err) || ctx.Err() != nil {
		return answer, err
	}
	fresh, lookupErr := c.lookups.entries(ctx, service)
	if lookupErr != nil || slices.Equal(fresh, entries) {
		return nil, err
	}
	return c.newCall(req).run(ctx, fresh)
}

// reachedNone reports that no entry VM was reached at all: the cached lookup is out of date.
func reachedNone(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun) && notRun.Refusal.Status == 0
}

func (c *Client) newCall(req *callRequest) *call {
	call := &call{
		callRequest: req,
		client:      c,
		key:         req.opts.Key,
		first:       req.opts.First && len(req.opts.Previous) == 0,
		previous:    slices.Clone(req.opts.Previous),
		safe:        req.opts.Idempotent || isSafe(req.method),
	}
	if call.safe {
		call.id = strconv.FormatUint(mathrand.Uint64(), callIDBase)
	}
	if call.key == "" && !call.safe {
		call.key = rand.Text()
		call.first = len(call.previous) == 0
	}
	return call
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
