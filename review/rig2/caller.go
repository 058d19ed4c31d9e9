package rig2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Load sends requests at a steady rate and waits for all answers.
type Load struct {
	Record    *Record
	Frontends []string
	Method    string
	Path      string
	PerSecond float64
	Deadline  time.Duration
	Body      []byte
	Prefix    string // of the requests' ids
	Objects   int    // that the requests concern, in turn; 0: none
}

// Run sends until ctx ends, in turn to each gateway.
func (l *Load) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / l.PerSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return
		case <-tick.C:
		}
		id, frontend := fmt.Sprintf("%s%05d", l.Prefix, n), l.Frontends[n%len(l.Frontends)]
		object := ""
		if l.Objects > 0 {
			object = fmt.Sprint(n / len(l.Frontends) % l.Objects)
		}
		calls.Go(func() { l.call(client, id, frontend, object) })
	}
}

func (l *Load) call(client *http.Client, id, frontend, object string) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, l.Method, "http://"+frontend+l.Path, bytes.NewReader(l.Body))
	if err != nil {
		panic(err) // the address is our own
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(l.Deadline.Milliseconds()))
	if object != "" {
		req.AddCookie(&http.Cookie{Name: "X-Affinity-Key", Value: object})
	}
	l.Record.Sent(id, l.Path, frontend)
	resp, err := client.Do(req)
	if err != nil {
		l.Record.Answered(id, 0, false)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		l.Record.Answered(id, 0, false)
		return
	}
	l.Record.Answered(id, resp.StatusCode, resp.Header.Get("Server-Leaving") != "")
}
