package refplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
)

const (
	defaultTimeout      = 2 * time.Second
	defaultWatchTimeout = 40 * time.Second
	defaultDialTimeout  = time.Second
	maxAnswerBytes      = 64 << 20
	maxProblemBytes     = 64 << 10
)

// ClientOptions configure a Client. Only the URLs have no default.
type ClientOptions struct {
	StoreURL     string        // of the store, for example http://10.0.0.1:8090
	VMListURL    string        // of the VM list
	Name         string        // names this client to the platform; may be empty
	Timeout      time.Duration // of a call, default 2 s
	WatchTimeout time.Duration // of a watch, longer than the store lets one wait; default 40 s
	// Transport makes the calls; by default a new http.Transport with a dial timeout of 1 s.
	Transport http.RoundTripper
}

// Client calls the platform over HTTP. It implements Store and VMList and is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
	list    atomic.Pointer[readList] // nil before the VM list was read
}

var (
	_ Store  = (*Client)(nil)
	_ VMList = (*Client)(nil)
)

// NewClient returns a Client. It makes no call.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = defaultWatchTimeout
	}
	if o.Transport == nil {
		dialer := &net.Dialer{Timeout: defaultDialTimeout}
		o.Transport = &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4}
	}
	o.StoreURL = strings.TrimSuffix(o.StoreURL, "/")
	o.VMListURL = strings.TrimSuffix(o.VMListURL, "/")
	return &Client{options: o, http: &http.Client{Transport: o.Transport}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.store(ctx, http.MethodGet, PathKey, url.Values{"key": {key}}, nil, &entry)
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Version, error) {
	var answer EntriesResponse
	err := c.store(ctx, http.MethodGet, PathKeys, url.Values{"prefix": {prefix}}, nil, &answer)
	return answer.Entries, answer.Version, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, &ValueTooLargeError{Key: key, Bytes: len(value), Limit: kv.MaxValueBytes}
	}
	query := url.Values{"key": {key}, "expect": {number(expect)}, "lease": {number(lease)}}
	var answer VersionResponse
	err := c.store(ctx, http.MethodPut, PathKey, query, value, &answer)
	return answer.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	query := url.Values{"key": {key}, "expect": {number(expect)}}
	return c.store(ctx, http.MethodDelete, PathKey, query, nil, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) ([]Entry, Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}, "after": {number(after)}}
	var answer EntriesResponse
	err := c.call(ctx, request{method: http.MethodGet, url: c.options.StoreURL + PathWatch, query: query}, &answer)
	return answer.Entries, answer.Version, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	var answer LeaseResponse
	if err := c.store(ctx, http.MethodPost, PathLeases, query, nil, &answer); err != nil {
		return Lease{}, err
	}
	return Lease{ID: answer.ID, TTL: time.Duration(answer.TTLMs) * time.Millisecond, Epoch: answer.Epoch}, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.store(ctx, http.MethodPost, PathLease, url.Values{"id": {number(id)}}, nil, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.store(ctx, http.MethodDelete, PathLease, url.Values{"id": {number(id)}}, nil, nil)
}

func number[T Version | LeaseID](n T) string { return strconv.FormatUint(uint64(n), 10) }

// request is one HTTP call.
type request struct {
	method string
	url    string
	query  url.Values
	body   []byte

	ifNoneMatch string            // entity tag of the answer that the caller has
	onHeader    func(http.Header) // takes the header of an answer with status 200
}

func (r *request) op() string { return strings.ToLower(r.method) + " " + r.query.Encode() }

func (c *Client) store(ctx context.Context, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.call(ctx, request{method: method, url: c.options.StoreURL + path, query: query, body: body}, answer)
}

// call makes one call and decodes its answer. Errors are those of package kv.
func (c *Client) call(ctx context.Context, r request, answer any) error {
	sent := false // whether a connection was there, so that bytes may have left
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, r.url, strings.NewReader(string(r.body)))
	if err != nil {
		return &UnavailableError{Op: r.op(), Cause: err}
	}
	req.URL.RawQuery = r.query.Encode()
	if c.options.Name != "" {
		req.Header.Set(HeaderClient, c.options.Name)
	}
	if r.ifNoneMatch != "" {
		req.Header.Set("If-None-Match", r.ifNoneMatch)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.dropSilent(err)
		return r.lost(sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && r.ifNoneMatch != "" {
		return &notModifiedError{}
	}
	if resp.StatusCode != http.StatusOK {
		return r.problem(resp)
	}
	if r.onHeader != nil {
		r.onHeader(resp.Header)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer); err != nil {
		c.dropSilent(err)
		return r.lost(true, err)
	}
	return nil
}

// dropSilent closes the idle connections after a timeout: something between the two ends may have
// lost track of all that are open, and each would cost a timeout of its own.
func (c *Client) dropSilent(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// lost is the error of a call without an answer.
func (r *request) lost(sent bool, cause error) error {
	if sent && r.method != http.MethodGet {
		return &EffectUnknownError{Op: r.op(), Cause: cause}
	}
	return &UnavailableError{Op: r.op(), Cause: cause}
}

// problem turns an answer that is not 200 into an error.
func (r *request) problem(resp *http.Response) error {
	var p Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p)
	if err != nil || p.Code == "" {
		return r.lost(true, &StatusError{Status: resp.StatusCode})
	}
	switch p.Code {
	case CodeNotFound:
		return &NotFoundError{Key: p.Key}
	case CodeConflict:
		return &ConflictError{Key: p.Key, Expected: p.Expected, Current: p.Current}
	case CodeLeaseExpired:
		return &LeaseLapsedError{ID: p.Lease}
	case CodeTooLarge:
		return &ValueTooLargeError{Key: p.Key, Bytes: p.Bytes, Limit: p.Limit}
	case CodeUnavailable, CodeInvalid:
		return &UnavailableError{Op: r.op(), Cause: &StatusError{Status: resp.StatusCode, Detail: p.Detail}}
	}
	return r.lost(true, &StatusError{Status: resp.StatusCode, Detail: p.Code})
}

// StatusError reports an HTTP status that the client does not expect.
type StatusError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d %s %s", e.Status, http.StatusText(e.Status), e.Detail)
}
