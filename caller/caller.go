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
	defaultTimeout              = 10 * time.Second
	defaultLookupTimeout        = 500 * time.Millisecond
	defaultSilentAfter          = time.Second
	defaultMaxAttempts          = 3
	dialTimeout                 = time.Second
	idleTimeout                 = 30 * time.Second
	idlePerEntry                = 64
	extraAttemptBurst           = 4    // accumulated extra attempts in parallel to unresponsive ones
	extraAttemptShare           = 0.05 // extra attempts per call once the burst is used up
	unresponsiveDeadlineDivisor = 4    // an attempt is unresponsive after 1/4 of the time left
	// The timeout sent to an entry VM is shorter than the time left by at most 1/10 of it, so that a refusal arrives
	// before the deadline.
	responseMarginDivisor = 10
	maxResponseMargin     = 250 * time.Millisecond

	callIDBase = 36 // number base of random call IDs
)

// Options configure New. Entries is required.
type Options struct {
	Entries []string // bootstrap addresses, host:port, of entry VMs that serve lookups
	Origin  string   // region of the caller
	Block   string   // client block of the caller
	// Timeout limits a request whose context has no deadline.
	Timeout       time.Duration
	LookupTimeout time.Duration // per lookup at one entry VM
	// SilentAfter is how long a request waits for an unresponsive entry VM before it is also sent to another one.
	SilentAfter time.Duration
	// MaxSendings bounds the number of attempts per request.
	MaxSendings int
	// HTTP is the transport of all requests; by default a new one is created.
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
		o.MaxSendings = defaultMaxAttempts
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
	c := &Client{opts: opts, budget: request.NewExtraBudget(extraAttemptBurst)}
	c.connections.idle, _ = opts.HTTP.(idleCloser)
	c.lookups = &lookups{client: c, services: make(map[string]*serviceLookup)}
	return c
}

// CallOptions describe one request.
type CallOptions struct {
	// Idempotent allows the request to run more than once; GET, HEAD and OPTIONS always may.
	Idempotent bool
	// Key is the idempotency key of a request that must not run twice. By default a new one is generated.
	Key string
	// Previous lists the entry VMs, as NAME/INCARNATION, that may have received Key before; copy it
	// from an UnknownError. With a Key of your own and no Previous, the entry VM searches for an earlier
	// attempt where it can; see docs/operators/callers.md for the limits of that search.
	Previous []string
	// First states that Key has never been sent before, for example because it was just generated.
	First  bool
	Header http.Header // additional headers
	// Size is the length of the body in bytes; 0: unknown, unless the body has a method Len.
	Size int64
}

// Answer is the response of the upstream. The caller must close Body.
type Answer struct {
	Status   int
	Header   http.Header
	Body     io.ReadCloser // Read returns *CutOffError if the response is truncated
	Outcome  string        // "done", or "unknown" for a server error of a non-idempotent request
	Decision string        // decision ID, for `azureflow explain`
	Entry    string        // NAME/INCARNATION of the entry VM that responded
}

// Do sends a request to path below service and returns the response. body may be nil; a request with a
// body is sent a second time only if body is an io.ReaderAt of known size, such as *bytes.Reader. Errors:
// *NotRunError, *UnknownError, *LookupError (nothing was sent).
func (c *Client) Do(ctx context.Context, service, method, path string, body io.Reader, opts CallOptions) (*Answer, error) {
	req := &callRequest{service: service, method: method, path: path, body: newCallBody(body, opts.Size), opts: opts}
	entries, err := c.lookups.entries(ctx, service)
	if err != nil {
		return nil, err
	}
	answer, err := c.newCall(req).run(ctx, entries)
	if !isUnreachable(err) || ctx.Err() != nil {
		return answer, err
	}
	refreshed, lookupErr := c.lookups.entries(ctx, service)
	if lookupErr != nil || slices.Equal(refreshed, entries) {
		return nil, err
	}
	return c.newCall(req).run(ctx, refreshed)
}

// isUnreachable reports whether err says that no entry VM could be reached: the cached lookup is outdated.
func isUnreachable(err error) bool {
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
