package request

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/vm"
)

func requestPromise(j *Journal, key string, incarnation uint64) peer.PromiseReply_Verdict {
	reply, _ := j.PromiseNotSent(context.Background(), &peer.PromiseRequest{Service: "kasse", Key: key, Incarnation: incarnation})
	return reply.Verdict
}

func TestJournalPromises(t *testing.T) {
	j := NewJournal(JournalOptions{Self: "entry-1", Incarnation: 7})
	if v := requestPromise(j, "never", 7); v != peer.PromiseReply_NOT_SENT {
		t.Errorf("a key never seen: %v, want NOT_SENT", v)
	}
	if v := j.PrepareKey("kasse", "never"); v != KeyPromised {
		t.Errorf("a promised key: prepared with %v, want promised", v)
	}
	if v := requestPromise(j, "never", 6); v != peer.PromiseReply_UNKNOWN {
		t.Errorf("a key of an earlier incarnation: %v, want UNKNOWN", v)
	}
	j.PrepareKey("kasse", "queued")
	if v := requestPromise(j, "queued", 7); v != peer.PromiseReply_NOT_SENT {
		t.Errorf("a queued key: %v, want NOT_SENT", v)
	}
	if j.MarkSent("kasse", "queued") || j.Release("kasse", "queued") {
		t.Error("a promised key was marked as sent, or released as proven not run")
	}
	j.PrepareKey("kasse", "sent")
	j.MarkSent("kasse", "sent")
	if v := requestPromise(j, "sent", 7); v != peer.PromiseReply_SENT {
		t.Errorf("a sent key: %v, want SENT", v)
	}
	j.MarkAnswered("kasse", "sent")
	if v := requestPromise(j, "sent", 7); v != peer.PromiseReply_ANSWERED {
		t.Errorf("a key with a response: %v, want ANSWERED", v)
	}
}

// TestEvictedKeyIsNotPromised: a sent key is not promised even after its eviction, and a key that was never seen
// still is.
func TestEvictedKeyIsNotPromised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := NewJournal(JournalOptions{Incarnation: 7, Age: time.Minute, PastAge: 10 * time.Minute})
		j.PrepareKey("kasse", "sent")
		j.MarkSent("kasse", "sent")
		j.MarkAnswered("kasse", "sent")
		j.PrepareKey("kasse", "waiting")
		time.Sleep(2 * time.Minute)
		if v := requestPromise(j, "sent", 7); v != peer.PromiseReply_UNKNOWN {
			t.Errorf("an evicted key: %v, want UNKNOWN", v)
		}
		if v := requestPromise(j, "other", 7); v != peer.PromiseReply_NOT_SENT {
			t.Errorf("a key never seen: %v, want NOT_SENT", v)
		}
		if !j.MarkSent("kasse", "waiting") {
			t.Error("a prepared key was evicted")
		}
	})
}

func TestJournalIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := NewJournal(JournalOptions{Incarnation: 7, Keys: 100, PastKeys: 200})
		for i := range 1000 {
			key := "k" + strconv.Itoa(i)
			time.Sleep(time.Millisecond)
			j.PrepareKey("kasse", key)
			j.MarkSent("kasse", key)
		}
		if len(j.keys) > 101 || len(j.past.current.hashes) > 200 {
			t.Fatalf("%d keys, %d hashes", len(j.keys), len(j.past.current.hashes))
		}
		if v := requestPromise(j, "k0", 7); v != peer.PromiseReply_UNKNOWN {
			t.Errorf("an evicted key: %v, want UNKNOWN", v)
		}
		if v := requestPromise(j, "never", 7); v != peer.PromiseReply_UNKNOWN {
			t.Errorf("a key never seen, after hashes were dropped: %v, want UNKNOWN", v)
		}
	})
}

func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := NewJournal(JournalOptions{Incarnation: 7, ClaimAge: 30 * time.Second})
		claim := func(key, holder string) *peer.ClaimReply {
			reply, _ := j.ClaimKey(context.Background(), &peer.ClaimRequest{Service: "kasse", Key: key, Holder: holder, Incarnation: 1})
			return reply
		}
		if r := claim("young", "entry-2"); r.Verdict != peer.ClaimReply_UNKNOWN {
			t.Errorf("first claim before ClaimsCompleteFrom: %v, want UNKNOWN", r)
		}
		if r := claim("young", "entry-3"); r.Verdict != peer.ClaimReply_HELD || r.Holder != "entry-2/1" {
			t.Errorf("second claim: %v, want HELD by entry-2/1", r)
		}
		time.Sleep(31 * time.Second)
		if r := claim("old", "entry-2"); r.Verdict != peer.ClaimReply_GRANTED {
			t.Errorf("first claim: %v, want GRANTED", r)
		}
		if r := claim("old", "entry-2"); r.Verdict != peer.ClaimReply_GRANTED {
			t.Errorf("repeated claim of the holder: %v, want GRANTED", r)
		}
		if r := claim("old", "entry-3"); r.Holder != "entry-2/1" {
			t.Errorf("second claim: %v, want HELD by entry-2/1", r)
		}
		if r := claim("old", "entry-4"); r.Holder != "entry-2/1,entry-3/1" {
			t.Errorf("third claim: %v, want holders entry-2/1,entry-3/1", r)
		}
	})
}

// TestPromiseBindsQueuedRequest: a request whose key is promised to another entry VM while it is queued is never
// sent, and its outcome is not reported as not-run, because it may run through the other entry VM.
func TestPromiseBindsQueuedRequest(t *testing.T) {
	for _, full := range []bool{true, false} {
		var runs atomic.Int64
		upstream := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { runs.Add(1) })
		e := newTestEntry(t, nil, addressOf(upstream))
		e.placer.slots = 0
		responses := make(chan *http.Response)
		go func() {
			resp, _ := e.do(t, "POST", "/kasse/levies/1", strings.NewReader("x"), HeaderIdempotency, "k1", HeaderTimeout, "500")
			responses <- resp
		}()
		for e.handler.Queue().Waiting("kasse") == 0 {
			time.Sleep(time.Millisecond)
		}
		if v := requestPromise(e.handler.Journal(), "k1", 7); v != peer.PromiseReply_NOT_SENT {
			t.Fatalf("promise %v, want NOT_SENT", v)
		}
		if !full {
			e.placer.mu.Lock()
			e.placer.slots = 5
			e.placer.mu.Unlock()
		}
		if resp := <-responses; resp.Header.Get(HeaderOutcome) != "unknown" || runs.Load() != 0 {
			t.Fatalf("outcome %q, ran %d times", resp.Header.Get(HeaderOutcome), runs.Load())
		}
	}
}

func TestPreviousHeader(t *testing.T) {
	entries, err := parsePrevious("entry-1/7, entry-2/18446744073709551615")
	if err != nil || len(entries) != 2 || entries[0] != (previousEntry{"entry-1", 7}) || entries[1].name != "entry-2" {
		t.Fatalf("%v, %v", entries, err)
	}
	for _, bad := range []string{"entry-1", "entry-1/x", "/7", "a/1,", "a/1,a/1,a/1,a/1,a/1,a/1,a/1,a/1,a/1"} {
		if _, err := parsePrevious(bad); err == nil {
			t.Errorf("malformed header value %q was accepted", bad)
		}
	}
}

// TestHomesMoveLittle: when one entry VM is removed, every key keeps at least one of its owners.
func TestHomesMoveLittle(t *testing.T) {
	names := []vm.Name{"a", "b", "c", "d"}
	for i := range 1000 {
		key := strconv.Itoa(i)
		before := ownersOf("kasse", key, names)
		after := ownersOf("kasse", key, names[1:])
		kept := 0
		for _, x := range before {
			for _, y := range after {
				if x == y {
					kept++
				}
			}
		}
		if kept == 0 {
			t.Fatalf("key %s: owners changed from %v to %v without overlap", key, before, after)
		}
	}
}
