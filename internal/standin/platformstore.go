package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/refplatform"
)

func (p *Platform) getKey(w http.ResponseWriter, r *http.Request) {
	entry, err := p.client(r).Get(r.Context(), r.URL.Query().Get("key"))
	answerPlatform(w, entry, err)
}

func (p *Platform) listKeys(w http.ResponseWriter, r *http.Request) {
	entries, version, err := p.client(r).List(r.Context(), r.URL.Query().Get("prefix"))
	answerPlatform(w, refplatform.EntriesAnswer{Entries: entries, Version: version}, err)
}

func (p *Platform) putKey(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	expect, expectErr := strconv.ParseUint(query.Get("expect"), 10, 64)
	lease, leaseErr := strconv.ParseUint(query.Get("lease"), 10, 64)
	value, bodyErr := io.ReadAll(io.LimitReader(r.Body, kv.MaxValueBytes+1))
	if err := errors.Join(expectErr, leaseErr, bodyErr); err != nil || query.Get("key") == "" {
		writePlatformProblem(w, http.StatusBadRequest, refplatform.Problem{Code: refplatform.CodeInvalid})
		return
	}
	version, err := p.client(r).CompareAndSwap(r.Context(), query.Get("key"), kv.Version(expect), value, kv.LeaseID(lease))
	answerPlatform(w, refplatform.VersionAnswer{Version: version}, err)
}

func (p *Platform) deleteKey(w http.ResponseWriter, r *http.Request) {
	expect, ok := queryNumber(w, r, "expect")
	if !ok {
		return
	}
	err := p.client(r).Delete(r.Context(), r.URL.Query().Get("key"), kv.Version(expect))
	answerPlatform(w, refplatform.VersionAnswer{}, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	after, ok := queryNumber(w, r, "after")
	if !ok {
		return
	}
	entries, version, err := p.client(r).Watch(r.Context(), r.URL.Query().Get("prefix"), kv.Version(after))
	answerPlatform(w, refplatform.EntriesAnswer{Entries: entries, Version: version}, err)
}

func (p *Platform) grantLease(w http.ResponseWriter, r *http.Request) {
	ttl, ok := queryNumber(w, r, "ttl_ms")
	if !ok {
		return
	}
	lease, err := p.client(r).Grant(r.Context(), time.Duration(ttl)*time.Millisecond)
	answerPlatform(w, refplatform.LeaseAnswer{ID: lease.ID, TTLMs: lease.TTL.Milliseconds(), Epoch: lease.Epoch}, err)
}

func (p *Platform) renewLease(w http.ResponseWriter, r *http.Request) {
	id, ok := queryNumber(w, r, "id")
	if !ok {
		return
	}
	answerPlatform(w, refplatform.VersionAnswer{}, p.client(r).KeepAlive(r.Context(), kv.LeaseID(id)))
}

func (p *Platform) endLease(w http.ResponseWriter, r *http.Request) {
	id, ok := queryNumber(w, r, "id")
	if !ok {
		return
	}
	answerPlatform(w, refplatform.VersionAnswer{}, p.client(r).Revoke(r.Context(), kv.LeaseID(id)))
}

// queryNumber returns a number of the query, or answers that it is missing.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		writePlatformProblem(w, http.StatusBadRequest, refplatform.Problem{Code: refplatform.CodeInvalid, Detail: name})
		return 0, false
	}
	return n, true
}

// answerPlatform writes value or the error of a call; a lost call is answered by closing the connection.
func answerPlatform(w http.ResponseWriter, value any, err error) {
	var unknown *kv.EffectUnknownError
	if errors.As(err, &unknown) {
		dropConnection(w)
		return
	}
	if err != nil {
		status, problem := problemOf(err)
		writePlatformProblem(w, status, problem)
		return
	}
	writePlatformJSON(w, http.StatusOK, value)
}

func problemOf(err error) (int, refplatform.Problem) {
	var missing *kv.NotFoundError
	var conflict *kv.ConflictError
	var lapsed *kv.LeaseExpiredError
	var large *kv.ValueTooLargeError
	switch {
	case errors.As(err, &missing):
		return http.StatusNotFound, refplatform.Problem{Code: refplatform.CodeNotFound, Key: missing.Key}
	case errors.As(err, &conflict):
		return http.StatusConflict, refplatform.Problem{
			Code: refplatform.CodeConflict, Key: conflict.Key,
			Expected: conflict.Expected, Current: conflict.Current,
		}
	case errors.As(err, &lapsed):
		return http.StatusGone, refplatform.Problem{Code: refplatform.CodeLapsed, Lease: lapsed.ID}
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, refplatform.Problem{
			Code: refplatform.CodeTooLarge, Key: large.Key, Bytes: large.Bytes, Limit: large.Limit,
		}
	}
	return http.StatusServiceUnavailable, refplatform.Problem{Code: refplatform.CodeUnavailable, Detail: err.Error()}
}

func writePlatformProblem(w http.ResponseWriter, status int, problem refplatform.Problem) {
	writePlatformJSON(w, status, problem)
}

func writePlatformJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	_ = conn.Close()
}
