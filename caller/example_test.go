package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/azureflow/azureflow/caller"
)

// newEntryVM starts a fake entry VM that serves lookups, echoes levies and refuses refunds.
func newEntryVM() *httptest.Server {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	mux.HandleFunc("GET /v1/lookup", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"entries":     []caller.EntryVM{{Name: "aare-a-1", Incarnation: 3, Address: server.Listener.Addr().String()}},
			"lifetime_ms": 5000,
		})
	})
	mux.HandleFunc("POST /kasse/levies/{id}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Azureflow-Outcome", "done")
		w.Header().Set("Azureflow-Entry", "aare-a-1/3")
		_, _ = io.Copy(w, r.Body)
	})
	mux.HandleFunc("POST /kasse/refunds/{id}", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Azureflow-Outcome", "not-run")
		w.Header().Set("Proxy-Status", `"aare-a-1"; error=connection_limit_reached`)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"type":"about:blank#contract","detail":"no room","retry_after_ms":50}`)
	})
	return server
}

func ExampleClient_Do() {
	entry := newEntryVM()
	defer entry.Close()
	client := caller.New(caller.Options{
		Entries: []string{entry.Listener.Addr().String()},
		Origin:  "aare",
		Block:   "bridge-3",
	})
	body := strings.NewReader("12.50")
	answer, err := client.Do(context.Background(), "kasse", "POST", "/levies/7", body, caller.CallOptions{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	fmt.Println(answer.Status, answer.Outcome, answer.Entry, string(text))
	// Output: 200 done aare-a-1/3 12.50
}

func ExampleNotRunError() {
	entry := newEntryVM()
	defer entry.Close()
	client := caller.New(caller.Options{Entries: []string{entry.Listener.Addr().String()}})
	_, err := client.Do(context.Background(), "kasse", "POST", "/refunds/7", nil, caller.CallOptions{})
	var notRun *caller.NotRunError
	if errors.As(err, &notRun) {
		fmt.Println("safe to retry after", notRun.Refusal.RetryAfter)
	}
	// Output: safe to retry after 50ms
}
