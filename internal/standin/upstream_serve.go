package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/clock"
	"github.com/azureflow/azureflow/internal/request"
)

// Headers that only the stand-in knows.
const (
	HeaderServiceMs   = "Standin-Service-Ms"   // from the caller: service time, milliseconds
	HeaderAnswerBytes = "Standin-Answer-Bytes" // from the caller: length of the answer's body
	HeaderServer      = "Standin-Server"       // to the caller: name of the server
	HeaderRun         = "Standin-Run"          // to the caller: number of the run in the ledger
	HeaderURI         = "Standin-Uri"          // to the caller: URI as the server saw it
)

// digestLength is the length of the line that an answer repeats: 16 hexadecimal digits, a newline.
const digestLength = 17

// maxAnswerBytes bounds what HeaderAnswerBytes may ask for.
const maxAnswerBytes = 256 << 20

// answer is what a finished run sends.
type answer struct {
	attempt string
	line    []byte
	length  int
}

// RequestDigest returns the digest that an answer's body is made of. It covers the method, the
// URI as the server sees it, the idempotency key and the body.
func RequestDigest(method, uri, key string, body []byte) uint64 {
	h := startDigest(method, uri, key)
	_, _ = h.Write(body)
	return h.Sum64()
}

// AnswerBody returns the body of length bytes that answers a request with digest: the digest as
// 16 hexadecimal digits and a newline, over and over.
func AnswerBody(digest uint64, length int) []byte {
	line := digestLine(digest)
	return bytes.Repeat(line, length/digestLength+1)[:length]
}

func startDigest(method, uri, key string) *xxhash.Digest {
	h := xxhash.New()
	_, _ = h.WriteString(method + "\n" + uri + "\n" + key + "\n")
	return h
}

func digestLine(digest uint64) []byte { return fmt.Appendf(nil, "%016x\n", digest) }

func (u *Upstream) serveRequest(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	u.conns.touch(r.RemoteAddr, now)
	u.ledger.received(u.drainedAt.Load(), now)
	fault := u.faults.pick(r.RemoteAddr, u.random(), now)
	if fault.Silent == SilentRequest {
		<-r.Context().Done()
		return
	}
	ctx, cancel := withTimeout(r)
	defer cancel()
	if fault.Shed || !u.acquire(ctx) {
		u.shed(w, r)
		return
	}
	u.run(ctx, w, r, fault)
}

// withTimeout bounds the context of r by the time left that its header gives.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(request.HeaderTimeout), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// shed refuses a request that did not run.
func (u *Upstream) shed(w http.ResponseWriter, r *http.Request) {
	u.ledger.refused()
	u.setHeaders(w, r.Header.Get(request.HeaderAttempt))
	w.Header().Set(request.HeaderNotRun, "1")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run holds a slot while the request runs. Its effect happens once its body is whole; ending it
// later frees the slot and does not undo the effect.
func (u *Upstream) run(ctx context.Context, w http.ResponseWriter, r *http.Request, fault UpstreamFaults) {
	defer u.release()
	factor := u.slowness(fault)
	digest := startDigest(r.Method, r.URL.RequestURI(), r.Header.Get(request.HeaderIdempotency))
	length, err := io.Copy(digest, r.Body)
	if err != nil {
		u.ledger.broken()
		return
	}
	id := u.ledger.start(r, u.drainedAt.Load(), time.Now())
	if clock.Sleep(ctx, u.serviceTime(r, length, factor)) != nil {
		u.ledger.end(id, EndCancelled, time.Now())
		u.timeout(w, r)
		return
	}
	u.ledger.end(id, EndFinished, time.Now())
	a := &answer{attempt: r.Header.Get(request.HeaderAttempt), line: digestLine(digest.Sum64()), length: u.answerBytes(r)}
	w.Header().Set(HeaderRun, strconv.FormatUint(id, 10))
	w.Header().Set(HeaderURI, r.URL.RequestURI())
	u.reply(ctx, w, r, fault, a)
}

// timeout tells a caller that still listens that its time ran out after the request had started.
func (u *Upstream) timeout(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		return
	}
	u.setHeaders(w, r.Header.Get(request.HeaderAttempt))
	w.WriteHeader(http.StatusGatewayTimeout)
}

// reply sends a, after the faults that spoil answers had their say.
func (u *Upstream) reply(ctx context.Context, w http.ResponseWriter, r *http.Request, fault UpstreamFaults, a *answer) {
	if fault.Silent == SilentAnswer {
		<-r.Context().Done()
		return
	}
	_ = clock.Sleep(r.Context(), time.Duration(fault.LateMs)*time.Millisecond)
	if previous := u.crossed.Swap(a); fault.Crossed && previous != nil {
		a = previous
	}
	if fault.Informational != 0 {
		w.WriteHeader(fault.Informational)
	}
	u.setHeaders(w, a.attempt)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(a.length))
	length := a.length
	if fault.CutOff || fault.Reset {
		length /= 2
	}
	writeAnswer(w, a.line, length)
	if fault.Reset {
		resetConnection(w)
	}
}

// writeAnswer writes length bytes; fewer than the Content-Length make net/http cut the connection.
func writeAnswer(w http.ResponseWriter, line []byte, length int) {
	const linesPerWrite = 1024
	chunk := bytes.Repeat(line, min(linesPerWrite, length/digestLength+1))
	for length > 0 {
		n, err := w.Write(chunk[:min(length, len(chunk))])
		if err != nil {
			return
		}
		length -= n
	}
}

// resetConnection closes the connection with a TCP reset where the server allows it.
func resetConnection(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	conn, _, err := controller.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (u *Upstream) setHeaders(w http.ResponseWriter, attempt string) {
	h := w.Header()
	h.Set(HeaderServer, u.options.Name)
	h.Set(request.HeaderLoad, formatLoad(u.report(time.Now())))
	if attempt != "" {
		h.Set(request.HeaderAttempt, attempt)
	}
}

func (u *Upstream) answerBytes(r *http.Request) int {
	length, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil {
		return u.options.AnswerBytes
	}
	return min(max(length, 0), maxAnswerBytes)
}

// serviceTime draws how long a request runs.
func (u *Upstream) serviceTime(r *http.Request, length int64, factor float64) time.Duration {
	if ms, err := strconv.ParseFloat(r.Header.Get(HeaderServiceMs), 64); err == nil && ms >= 0 {
		return time.Duration(ms * factor * float64(time.Millisecond))
	}
	median := u.options.StampTime
	switch {
	case r.Method == http.MethodGet || r.Method == http.MethodHead:
		median = u.options.LookupTime
	case length >= u.options.UploadBytes:
		median = u.options.UploadTime
	}
	return time.Duration(float64(median) * factor * math.Exp(u.options.Spread*u.normal()))
}

// slowness returns the factor on the service time: of the slow fault and of a cold start.
func (u *Upstream) slowness(fault UpstreamFaults) float64 {
	factor := 1.0
	if fault.SlowFactor > 0 {
		factor = fault.SlowFactor
	}
	served := u.served.Add(1) - 1
	warm := 1.0
	if n := u.options.ColdRequests; n > 0 {
		warm = float64(served) / float64(n)
	}
	if d := u.options.ColdFor; d > 0 {
		age := time.Duration(time.Now().UnixNano() - u.started.Load())
		warm = min(warm, float64(age)/float64(d))
	}
	if warm < 1 {
		factor *= 1 + (u.options.ColdFactor-1)*(1-warm)
	}
	return factor
}
