package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azureflow/azureflow/platform/platformtest"
)

// The tests of this file send what callers beyond our control may send, and check what does not depend on the speed of
// the machine: the process lives, its memory and descriptors stay within its limits, an ordinary request is answered
// while the crowd stays and after it has left. They run one at a time. Crowds and bounds are fixed.
const (
	memoryLimitMB   = 136  // of the smallest VM
	descriptorLimit = 2870 // of the smallest VM
	fewDescriptors  = 600  // where a small crowd has to reach the limit
	fileDescriptors = 200  // part of the limit that sockets may not use

	crowdBodyBytes   = 1 << 20
	missingBytes     = 16 // at the end of a body that stops short
	largeAnswerBytes = 4 << 20
	answerBytes      = 250_000

	crowdStay = 2 * time.Second // in which the process takes in what was sent; a longer one shows no more
)

const limitedSettings = `
[self.limits]
memory_mb = %d
max_fds = %d
`

// limitedConfig has a route for requests that run once and one for requests that may be repeated, whose time is longer
// than a test takes.
const limitedConfig = `{"version":"r3","routes":{"columns":["name","host","prefix","route_type","timeout_ms",
"target_latency_ms","priority","service","max_attempts"],"rows":[["once","desk.example","/","unsafe",120000,60000,1,"one",1],
["safe","desk.example","/safe/","safe",120000,60000,1,"one",1]]},"services":{"columns":["name"],"rows":[["one"]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// crowdedSystem is one entry VM with limits and a server before it.
type crowdedSystem struct {
	*gatewaySystem
	entry       *process
	descriptors int
	mu          sync.Mutex
	members     []net.Conn
	left        chan struct{} // closed when the crowd leaves
	peak        footprint
	watched     sync.WaitGroup
}

// footprint is what a process uses.
type footprint struct {
	memory      int64 // bytes, with those that its sockets hold unread
	descriptors int
}

func startCrowded(t *testing.T, descriptors int) *crowdedSystem {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes and sends hundreds of megabytes")
	}
	s := &crowdedSystem{
		gatewaySystem: &gatewaySystem{system: newSystem(t), store: platformtest.NewStore()},
		descriptors:   descriptors, left: make(chan struct{}),
	}
	s.address = s.net + ".9.100:8384"
	s.listen(s.address, s.store.Handler())
	server := s.net + ".9.50:80"
	s.listen(server, http.HandlerFunc(answerBySize))
	s.store.Put("servers/i-one", fmt.Appendf(nil,
		`{"service":"one","address":%q,"zone":"north-a","slots":2000,"state":"ready","cold_remaining_ms":0,"version":"v1","seq":1,"born":1}`, server))
	s.store.Put("op/config", []byte(limitedConfig))
	ip, path := s.net+".9.1", filepath.Join(s.dir, "entry.toml")
	settings := fmt.Sprintf(gatewaySettings, "entry", ip, s.address) + fmt.Sprintf(limitedSettings, memoryLimitMB, descriptors)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	s.entry = s.start("entry", ip, "gateway", "--settings", path)
	s.await("entry", func() error { return s.ready(s.entry) })
	s.awaitAnswer(s.entry, "/before", "one")
	s.watched.Go(s.watch)
	return s
}

// answerBySize is a server whose answers are as large as their path says.
func answerBySize(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "sig")
	size := 0
	switch {
	case strings.HasSuffix(r.URL.Path, "/large"):
		size = largeAnswerBytes
	case strings.HasSuffix(r.URL.Path, "/answer"):
		size = answerBytes
	}
	if size == 0 {
		_, _ = io.WriteString(w, "one")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// watch notes the most that the entry VM uses until the crowd leaves.
func (s *crowdedSystem) watch() {
	for {
		now := s.footprint()
		s.peak.memory = max(s.peak.memory, now.memory)
		s.peak.descriptors = max(s.peak.descriptors, now.descriptors)
		select {
		case <-s.left:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// footprint returns what the entry VM uses now; zeros if it has ended.
func (s *crowdedSystem) footprint() footprint {
	proc := fmt.Sprintf("/proc/%d/", s.entry.cmd.Process.Pid)
	open, _ := os.ReadDir(proc + "fd")
	return footprint{memory: s.status("VmRSS:") + s.unread(), descriptors: len(open)}
}

// status returns a size in bytes from the status file of the entry VM.
func (s *crowdedSystem) status(field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.entry.cmd.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == field {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unread returns how many bytes wait unread in the sockets of the entry VM.
func (s *crowdedSystem) unread() int64 {
	ip := net.ParseIP(s.entry.address).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	data, _ := os.ReadFile("/proc/net/tcp")
	total := int64(0)
	const localColumn, queuesColumn, stateColumn, listening = 1, 4, 3, "0A"
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= queuesColumn || !strings.HasPrefix(fields[localColumn], local) || fields[stateColumn] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[queuesColumn], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}

// gather opens count connections to each address. It returns once every member has sent what it wants to, or can send no
// more; connections stay open.
func (s *crowdedSystem) gather(count int, addresses []string, send func(c net.Conn)) {
	var members sync.WaitGroup
	for _, address := range addresses {
		for range count {
			members.Go(func() {
				c, err := net.DialTimeout("tcp", address, patience)
				if err != nil {
					return
				}
				s.mu.Lock()
				s.members = append(s.members, c)
				s.mu.Unlock()
				send(c)
			})
		}
	}
	members.Wait()
}

// check checks the entry VM while the crowd stays, and after it has left.
func (s *crowdedSystem) check() {
	s.t.Helper()
	time.Sleep(crowdStay)
	s.awaitAnswer(s.entry, "/during", "one")
	s.await("ready", func() error { return s.ready(s.entry) })
	close(s.left)
	s.watched.Wait()
	for _, c := range s.members {
		_ = c.Close()
	}
	s.awaitAnswer(s.entry, "/after", "one")
	select {
	case <-s.entry.exited:
		s.t.Error("the process has ended")
	default:
	}
	const mb = 1_000_000
	peak := max(s.peak.memory, s.status("VmHWM:"))
	s.t.Logf("at most %.1f MB (%.1f MB resident) and %d descriptors", float64(peak)/mb, float64(s.status("VmHWM:"))/mb, s.peak.descriptors)
	if peak > memoryLimitMB*mb {
		s.t.Errorf("%.1f MB, the VM has %d MB", float64(peak)/mb, memoryLimitMB)
	}
	if limit := s.descriptors - fileDescriptors; s.peak.descriptors > limit {
		s.t.Errorf("%d descriptors, want at most %d", s.peak.descriptors, limit)
	}
}

func (s *crowdedSystem) requests() []string { return []string{s.entry.address + ":8381"} }

// sendPieces sends data in pieces until the other side takes no more.
func sendPieces(c net.Conn, data []byte, piece int) bool {
	const takesNoMore = 3 * time.Second
	for len(data) > 0 {
		n := min(piece, len(data))
		_ = c.SetWriteDeadline(time.Now().Add(takesNoMore))
		if _, err := c.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
	}
	return true
}

// crowdHead returns the head of a request with more lines, each with its line end.
func crowdHead(method, path, lines string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: c\r\nX-Deadline-Ms: 120000\r\n" + lines + "\r\n"
}

func shortBody(path string) string {
	return crowdHead("POST", path, fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes)) +
		strings.Repeat("x", crowdBodyBytes-missingBytes)
}

// chunks returns size bytes of a body in chunks, without the last one.
func chunks(size int) string {
	const chunk = 1 << 10
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk)), size/chunk)
}

func TestBodiesInOnePieceThatStopShort(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	body := []byte(shortBody("/upload"))
	s.gather(200, s.requests(), func(c net.Conn) { sendPieces(c, body, len(body)) })
	s.check()
}

func TestBodiesInSmallPiecesThatStopShort(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	body := []byte(shortBody("/upload"))
	s.gather(200, s.requests(), func(c net.Conn) { sendPieces(c, body, 2<<10) })
	s.check()
}

func TestBodiesInChunksThatStopShort(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	body := []byte(crowdHead("POST", "/upload", "Transfer-Encoding: chunked\r\n") + chunks(crowdBodyBytes-2<<10))
	s.gather(200, s.requests(), func(c net.Conn) { sendPieces(c, body, 8<<10) })
	s.check()
}

// Half of the crowd says how long its bodies are, half sends more than is allowed in chunks.
func TestBodiesOverTheLimit(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	const overLimit = 8 << 20
	declared := []byte(crowdHead("POST", "/upload", "Content-Length: 1000000000\r\n") + strings.Repeat("x", overLimit))
	chunked := []byte(crowdHead("POST", "/upload", "Transfer-Encoding: chunked\r\n") + chunks(overLimit))
	s.gather(100, s.requests(), func(c net.Conn) { sendPieces(c, declared, 64<<10) })
	s.gather(100, s.requests(), func(c net.Conn) { sendPieces(c, chunked, 64<<10) })
	s.check()
}

// Each head has about the size that the operator allows. The bodies stop short so that the requests stay.
func TestHeadsOfManyShortFields(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	var lines strings.Builder
	const headBytes = 16_000 // with the other lines within max_header_bytes
	for i := 0; lines.Len() < headBytes-200; i++ {
		fmt.Fprintf(&lines, "%s:\r\n", strconv.FormatInt(int64(i)+36*36, 36))
	}
	head := []byte(crowdHead("POST", "/upload", lines.String()+"Content-Length: 100\r\n") + "x")
	s.gather(400, s.requests(), func(c net.Conn) { sendPieces(c, head, len(head)) })
	s.check()
}

func TestRequestsSentAheadWithoutReading(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	requests := []byte(strings.Repeat(crowdHead("GET", "/safe/answer", ""), 200))
	s.gather(250, s.requests(), func(c net.Conn) { sendPieces(c, requests, len(requests)) })
	s.check()
}

// Callers read the beginning of a large answer, then stop.
func TestCallersThatStopReading(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	request := []byte(crowdHead("GET", "/safe/large", ""))
	s.gather(400, s.requests(), func(c net.Conn) {
		if sendPieces(c, request, len(request)) {
			_, _ = bufio.NewReader(c).Peek(100)
		}
	})
	s.check()
}

// Callers stop before the head, within it and within the body, or go on byte by byte.
func TestCallersThatSendSlowly(t *testing.T) {
	s := startCrowded(t, fewDescriptors)
	head := crowdHead("POST", "/upload", "Content-Length: 1000\r\n")
	for _, begin := range []string{"", head[:len(head)/2], head + "xx"} {
		s.gather(100, s.requests(), func(c net.Conn) { sendPieces(c, []byte(begin), 10) })
		s.gather(100, s.requests(), func(c net.Conn) { s.drip(c, begin, bytes.Repeat([]byte("x"), 1000)) })
	}
	s.check()
}

// drip sends begin, then rest byte by byte while the crowd stays.
func (s *crowdedSystem) drip(c net.Conn, begin string, rest []byte) {
	if !sendPieces(c, []byte(begin), len(begin)) {
		return
	}
	go func() {
		for i := range rest {
			select {
			case <-s.left:
				return
			case <-time.After(100 * time.Millisecond):
			}
			if !sendPieces(c, rest[i:i+1], 1) {
				return
			}
		}
	}()
}

// Bodies that stop short come where no request with a body belongs, and at the listener for other entry VMs.
func TestBodiesAtEveryListener(t *testing.T) {
	s := startCrowded(t, fewDescriptors)
	ip := s.entry.address
	for _, to := range []struct{ address, path string }{
		{ip + ":8381", "/azureflow/ready"},
		{ip + ":8388", "/azureflow/ready"}, {ip + ":8388", "/none"},
		{ip + ":8383", "/azureflow/resolve?name=desk.example&region=north&zone=north-a"},
		{ip + ":9464", "/metrics"}, {ip + ":7200", "/"},
	} {
		head := crowdHead("POST", to.path, fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes/8))
		body := []byte(head + strings.Repeat("x", crowdBodyBytes/8-missingBytes))
		s.gather(100, []string{to.address}, func(c net.Conn) { sendPieces(c, body, len(body)) })
	}
	s.check()
}

func TestBodiesWithoutARoute(t *testing.T) {
	s := startCrowded(t, descriptorLimit)
	body := []byte(strings.Replace(shortBody("/upload"), "desk.example", "none.example", 1))
	s.gather(200, s.requests(), func(c net.Conn) { sendPieces(c, body, len(body)) })
	s.check()
}
