package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/azureflow/azureflow/internal/admin/problem"
)

// Bounds of a request.
const (
	maxQueryBytes       = 4096
	maxPathBytes        = 1024
	parallelExplanation = 4
)

// handler answers the API.
type handler struct {
	options Options
	explain chan struct{} // one place for each explanation under way
}

// NewHandler returns the administration API: /v1/..., /healthz, /readyz and /metrics.
func NewHandler(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	h := &handler{options: o, explain: make(chan struct{}, parallelExplanation)}
	router := mux.NewRouter()
	router.HandleFunc("/healthz", h.healthy)
	router.HandleFunc("/readyz", h.ready)
	if o.Gatherer != nil {
		router.Handle("/metrics", h.guard(promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{})))
	}
	h.routes(router.PathPrefix("/v1").Subrouter())
	router.NotFoundHandler = http.HandlerFunc(notFound)
	return h.bound(router)
}

func (h *handler) routes(v1 *mux.Router) {
	v1.Use(h.guard)
	v1.HandleFunc("/revision", h.answer(h.revision))
	v1.HandleFunc("/vms", h.answer(h.vms))
	v1.HandleFunc("/zones", h.answer(h.zones))
	v1.HandleFunc("/regions", h.answer(h.regions))
	v1.HandleFunc("/links", h.answer(h.links))
	v1.HandleFunc("/contracts", h.answer(h.contracts))
	v1.HandleFunc("/upstreams", h.answer(h.upstreams))
	v1.HandleFunc("/decisions", h.answer(h.decisions))
	v1.HandleFunc("/decisions/{id}", h.answer(h.decision))
	v1.HandleFunc("/explain", h.explanation)
	v1.NotFoundHandler = http.HandlerFunc(notFound)
}

// bound refuses whatever is not a short read.
func (h *handler) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method != http.MethodGet && r.Method != http.MethodHead:
			w.Header().Set("Allow", "GET, HEAD")
			problem.Write(w, problem.New(problem.KindMethod, http.StatusMethodNotAllowed,
				"the API is read-only; publish steering files to change something"))
		case len(r.URL.Path) > maxPathBytes || len(r.URL.RawQuery) > maxQueryBytes:
			problem.Write(w, problem.New(problem.KindTooLong, http.StatusRequestURITooLong,
				"path or query is longer than "+strconv.Itoa(maxQueryBytes)+" bytes"))
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// guard asks for the bearer token, if one is set.
func (h *handler) guard(next http.Handler) http.Handler {
	if h.options.Token == "" {
		return next
	}
	want := sha256.Sum256([]byte(h.options.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(bearer(r)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			w.Header().Set("WWW-Authenticate", `Bearer realm="azureflow"`)
			problem.Write(w, problem.New(problem.KindUnauthorized, http.StatusUnauthorized, "a valid bearer token is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// answer returns a handler that writes what fn returns as JSON.
func (h *handler) answer(fn func(r *http.Request) (any, *problem.Problem)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, wrong := fn(r)
		if wrong != nil {
			problem.Write(w, wrong)
			return
		}
		writeJSON(w, body)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(body)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.New(problem.KindNotFound, http.StatusNotFound, "no such page; see docs/openapi.yaml"))
}

func (h *handler) healthy(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, health{Status: "ok"})
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.options.Ready != nil {
		if err := h.options.Ready(); err != nil {
			problem.Write(w, problem.New(problem.KindNotReady, http.StatusServiceUnavailable, err.Error()))
			return
		}
	}
	writeJSON(w, health{Status: "ready"})
}

// health is the body of /healthz and /readyz.
type health struct {
	Status string `json:"status"`
}
