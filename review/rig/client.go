package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is how one attempt of a client ended.
type answer struct {
	id        string
	gateway   *gateway
	sent      time.Time
	got       time.Time
	status    int  // 0: the connection ended without a complete answer
	signed    bool // it bears a server's signature
	isLeaving bool // the server said that it is leaving
	err       error
}

// request is one attempt of a client.
type request struct {
	id, host, path string
	object         int
	deadline       time.Duration
	body           []byte
}

// send sends one request on a new connection to g and reads the answer, as a client that does not retry.
func (w *world) send(g *gateway, r *request) *answer {
	a := &answer{id: r.id, gateway: g, sent: time.Now()}
	w.rec.printf("client sends %s to %s, %d bytes", r.id, g.name, len(r.body))
	a.status, a.signed, a.isLeaving, a.err = exchange(g.frontend, r)
	a.got = time.Now()
	w.rec.printf("client got %d for %s (signed %v, leaving %v, error %v)", a.status, r.id, a.signed, a.isLeaving, a.err)
	return a
}

func exchange(address string, r *request) (status int, signed, isLeaving bool, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false, false, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	head := fmt.Sprintf(
		"POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nCookie: X-Affinity-Key=%d\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		r.path, r.host, r.id, r.object, r.deadline.Milliseconds(), len(r.body))
	if _, err := c.Write(append([]byte(head), r.body...)); err != nil {
		return 0, false, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, false, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, false, err
	}
	return resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", resp.Header.Get("Server-Leaving") == "1", nil
}
