package demo

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/standin"
)

// matrixStep names a moment: the first transfer, once the fault is armed, that matches.
type matrixStep struct {
	name string
	when func(t *transfer) bool
	// after is the time from that transfer to the fault.
	after time.Duration
	// prepare brings about what the step needs; it runs when the fault is armed. It may be nil.
	prepare func(c *cell)
}

func sends(text string) func(t *transfer) bool {
	return func(t *transfer) bool { return !t.answer && bytes.Contains(t.data, []byte(text)) }
}

// sendsDigest reports whether a transfer writes a digest of records to the store.
func sendsDigest(t *transfer) bool { return sends("PUT /v1/key?")(t) && sends("key=review%2F")(t) }

func between(from, to string, answer bool) func(t *transfer) bool {
	return func(t *transfer) bool {
		return t.answer == answer && strings.HasPrefix(t.from.host, from) && strings.HasPrefix(t.to.host, to) && !isReport(t)
	}
}

// isReport reports whether a transfer belongs to the polling of load and health.
func isReport(t *transfer) bool {
	return bytes.Contains(t.data, []byte("GET /load")) || bytes.Contains(t.data, []byte("GET /healthz")) ||
		bytes.Contains(t.data, []byte(`"in_flight"`))
}

// beginsRequest reports whether a transfer holds the begin of a request other than a poll.
func beginsRequest(t *transfer) bool {
	method, _, _ := bytes.Cut(t.data, []byte(" /"))
	return !t.answer && slices.Contains([]string{"GET", "POST", "PUT"}, string(method)) && !isReport(t)
}

func toUpstream(answer bool) func(t *transfer) bool {
	return func(t *transfer) bool {
		if answer {
			return between("stampbook", "entry", true)(t)
		}
		return between("entry", "stampbook", false)(t)
	}
}

var matrixSteps = []matrixStep{
	{name: "lookup", when: sends("GET /v1/lookup")},
	{name: "admission", when: between("caller", "entry", false)},
	{name: "request bytes", when: toUpstream(false)},
	{name: "waiting", when: toUpstream(false), after: 10 * time.Millisecond},
	{name: "answer bytes", when: toUpstream(true)},
	{name: "answer to the caller", when: between("entry", "caller", true)},
	{name: "retry", when: toUpstream(false), after: 5 * time.Millisecond, prepare: func(c *cell) {
		c.eachUpstream(standin.UpstreamFaults{Shed: true, Share: 0.4, ForMs: 3000})
	}},
	{name: "hedge", when: toUpstream(false), after: 60 * time.Millisecond, prepare: func(c *cell) {
		c.eachUpstream(standin.UpstreamFaults{SlowFactor: 8, Share: 0.3, ForMs: 3000})
	}},
	{name: "resubmission", when: sends("Peer/PromiseNotSent"), prepare: func(c *cell) { c.silenceCallers() }},
	{name: "grant asked", when: sends("Peer/AskGrant")},
	{name: "grant answered", when: sends("Peer/AskGrant"), after: 2 * time.Millisecond},
	{name: "grant returned", when: sends("Peer/ReturnGrant")},
	{name: "heartbeat", when: sends("Peer/Exchange")},
	{name: "leader renews", when: sends("POST /v1/lease?")},
	{name: "leader elected", when: sends("POST /v1/leases?"), prepare: func(c *cell) { c.loseLeader() }},
	{name: "publish chunk", when: sends("PUT /v1/key?"), prepare: func(c *cell) { c.publishSoon() }},
	{name: "publish head", when: sends("key=steering%2Fhead"), prepare: func(c *cell) { c.publishSoon() }},
	{name: "publish confirmed", when: sends("key=steering%2Fhead"), after: 5 * time.Millisecond, prepare: func(c *cell) { c.publishSoon() }},
	{name: "revision taken up", when: sends("Peer/FetchRevision"), prepare: func(c *cell) { c.publishSoon() }},
	{name: "records mirrored", when: sends("Peer/MirrorRecords")},
	{name: "digest written", when: sendsDigest},
	{name: "VM list read", when: sends("GET /v1/vms")},
	{name: "start", when: between("entry-8", "", false), prepare: func(c *cell) { c.startEntry() }},
	{name: "upstream leaves", when: between("entry", "platform", false), prepare: func(c *cell) { c.leaveUpstream() }},
	{name: "planned stop", when: between("caller", "entry", false), after: 50 * time.Millisecond, prepare: func(c *cell) { c.stopEntry() }},
}
