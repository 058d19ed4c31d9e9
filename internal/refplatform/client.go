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
	maxResponseBytes    = 64 << 20
	maxProblemBytes     = 64 << 10
)

// ClientOptions configure a Client. Only the URLs have no default.
type ClientOptions struct {
	StoreURL     string        // of the store, for example http://10.0.0.1:8090
	VMListURL    string        // of the VM list
	Name         string        // name of this client for the platform; may be empty
	Timeout      time.Duration // of a call, default 2 s
	WatchTimeout time.Duration // of a watch, longer than the store holds one open; default 40 s
	// Transport makes the calls; by default a new http.Transport with a dial timeout of 1 s.
	Transport http.RoundTripper
}

// Client calls the platform over HTTP. It implements Store and VMList and is safe for concurrent use.
type Client struct {
	options ClientOptions
	http    *http.Client
	list    atomic.Pointer[cachedList] // nil until the VM list is first read
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
	err := c.callStore(ctx, http.MethodGet, PathKey, url.Values{"key": {key}}, nil, &entry)
	return entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, Version, error) {
	var response EntriesResponse
	err := c.callStore(ctx, http.MethodGet, PathKeys, url.Values{"prefix": {prefix}}, nil, &response)
	return response.Entries, response.Version, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, &ValueTooLargeError{Key: key, Bytes: len(value), Limit: kv.MaxValueBytes}
	}
	query := url.Values{"key": {key}, "expect": {formatNumber(expect)}, "lease": {formatNumber(lease)}}
	var response VersionResponse
	err := c.callStore(ctx, http.MethodPut, PathKey, query, value, &response)
	return response.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	query := url.Values{"key": {key}, "expect": {formatNumber(expect)}}
	return c.callStore(ctx, http.MethodDelete, PathKey, query, nil, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) ([]Entry, Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}, "after": {formatNumber(after)}}
	var response EntriesResponse
	err := c.call(ctx, request{method: http.MethodGet, url: c.options.StoreURL + PathWatch, query: query}, &response)
	return response.Entries, response.Version, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	var response LeaseResponse
	if err := c.callStore(ctx, http.MethodPost, PathLeases, query, nil, &response); err != nil {
		return Lease{}, err
	}
	return Lease{ID: response.ID, TTL: time.Duration(response.TTLMs) * time.Millisecond, Epoch: response.Epoch}, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	return c.callStore(ctx, http.MethodPost, PathLease, url.Values{"id": {formatNumber(id)}}, nil, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	return c.callStore(ctx, http.MethodDelete, PathLease, url.Values{"id": {formatNumber(id)}}, nil, nil)
}

func formatNumber[T Version | LeaseID](n T) string { return strconv.FormatUint(uint64(n), 10) }

// request is one HTTP call.
type request struct {
	method string
	url    string
	query  url.Values
	body   []byte

	ifNoneMatch string            // entity tag of the response that the caller has
	onHeader    func(http.Header) // receives the header of a response with status 200
}

func (r *request) op() string { return strings.ToLower(r.method) + " " + r.query.Encode() }

func (c *Client) callStore(ctx context.Context, method, path string, query url.Values, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	return c.call(ctx, request{method: method, url: c.options.StoreURL + path, query: query, body: body}, response)
}

// call makes one call and decodes its response. Errors are those of package kv.
func (c *Client) call(ctx context.Context, r request, response any) error {
	sent := false // whether a connection was available, so that bytes may have been sent
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
		c.closeIdleAfterTimeout(err)
		return r.noResponseError(sent, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && r.ifNoneMatch != "" {
		return &notModifiedError{}
	}
	if resp.StatusCode != http.StatusOK {
		return r.responseError(resp)
	}
	if r.onHeader != nil {
		r.onHeader(resp.Header)
	}
	if response == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(response); err != nil {
		c.closeIdleAfterTimeout(err)
		return r.noResponseError(true, err)
	}
	return nil
}

// closeIdleAfterTimeout closes the idle connections after a timeout: something between the two ends may have
// lost the state of all open connections, and each of them would cost another timeout.
func (c *Client) closeIdleAfterTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// noResponseError returns the error of a call without a response.
func (r *request) noResponseError(sent bool, cause error) error {
	if sent && r.method != http.MethodGet {
		return &EffectUnknownError{Op: r.op(), Cause: cause}
	}
	return &UnavailableError{Op: r.op(), Cause: cause}
}

// responseError converts a response whose status is not 200 into an error.
func (r *request) responseError(resp *http.Response) error {
	var p Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(&p)
	if err != nil || p.Code == "" {
		return r.noResponseError(true, &StatusError{Status: resp.StatusCode})
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
	return r.noResponseError(true, &StatusError{Status: resp.StatusCode, Detail: p.Code})
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
