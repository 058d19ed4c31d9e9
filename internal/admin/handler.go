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

// Limits of requests.
const (
	maxQueryBytes             = 4096
	maxPathBytes              = 1024
	maxConcurrentExplanations = 4
)

// handler serves the API.
type handler struct {
	options      Options
	explainSlots chan struct{} // semaphore: one element for each explanation in progress
}

// NewHandler returns the administration API: /v1/..., /healthz, /readyz and /metrics.
func NewHandler(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	h := &handler{options: o, explainSlots: make(chan struct{}, maxConcurrentExplanations)}
	router := mux.NewRouter()
	router.HandleFunc("/healthz", h.handleHealthz)
	router.HandleFunc("/readyz", h.handleReadyz)
	if o.Gatherer != nil {
		router.Handle("/metrics", h.requireToken(promhttp.HandlerFor(o.Gatherer, promhttp.HandlerOpts{})))
	}
	h.registerRoutes(router.PathPrefix("/v1").Subrouter())
	router.NotFoundHandler = http.HandlerFunc(handleNotFound)
	return h.limitRequests(router)
}

func (h *handler) registerRoutes(v1 *mux.Router) {
	v1.Use(h.requireToken)
	v1.HandleFunc("/revision", h.jsonHandler(h.revision))
	v1.HandleFunc("/vms", h.jsonHandler(h.vms))
	v1.HandleFunc("/zones", h.jsonHandler(h.zones))
	v1.HandleFunc("/regions", h.jsonHandler(h.regions))
	v1.HandleFunc("/links", h.jsonHandler(h.links))
	v1.HandleFunc("/contracts", h.jsonHandler(h.contracts))
	v1.HandleFunc("/upstreams", h.jsonHandler(h.upstreams))
	v1.HandleFunc("/decisions", h.jsonHandler(h.decisions))
	v1.HandleFunc("/decisions/{id}", h.jsonHandler(h.decision))
	v1.HandleFunc("/explain", h.handleExplain)
	v1.NotFoundHandler = http.HandlerFunc(handleNotFound)
}

// limitRequests rejects requests that are not GET or HEAD, and those whose path or query is too long.
func (h *handler) limitRequests(next http.Handler) http.Handler {
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

// requireToken requires the bearer token, if one is set.
func (h *handler) requireToken(next http.Handler) http.Handler {
	if h.options.Token == "" {
		return next
	}
	want := sha256.Sum256([]byte(h.options.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(bearerToken(r)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
			w.Header().Set("WWW-Authenticate", `Bearer realm="azureflow"`)
			problem.Write(w, problem.New(problem.KindUnauthorized, http.StatusUnauthorized, "a valid bearer token is needed"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// jsonHandler returns a handler that writes the result of fn as JSON.
func (h *handler) jsonHandler(fn func(r *http.Request) (any, *problem.Problem)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, prob := fn(r)
		if prob != nil {
			problem.Write(w, prob)
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

func handleNotFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.New(problem.KindNotFound, http.StatusNotFound, "no such page; see docs/openapi.yaml"))
}

func (h *handler) handleHealthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, health{Status: "ok"})
}

func (h *handler) handleReadyz(w http.ResponseWriter, _ *http.Request) {
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
