package httpserver

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// BenchmarkRequest measures a request on a kept connection without pipelining, beside net/http:
// go test ./internal/httpserver -run XXX -bench Request -count 5
func BenchmarkRequest(b *testing.B) {
	for name, serve := range map[string]func(net.Listener, http.Handler) func(){"here": serveThis, "net-http": serveNetHTTP} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			stop := serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header()["Content-Length"] = []string{"4"}
				w.WriteHeader(http.StatusOK)
				_, _ = w.Write([]byte("body"))
			}))
			defer stop()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write([]byte(validGet)); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
