package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// earlyServer responds as soon as it has read the header of a request, and never reads the body.
type earlyServer struct {
	mu    sync.Mutex
	count int
}

func (s *earlyServer) dialCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

func (s *earlyServer) dial(context.Context, string) (net.Conn, error) {
	s.mu.Lock()
	s.count++
	s.mu.Unlock()
	clientSide, serverSide := net.Pipe()
	go func() {
		r, err := http.ReadRequest(bufio.NewReader(serverSide))
		if err != nil {
			return
		}
		io.WriteString(serverSide, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+
			"\r\nTest-Signature: s\r\nContent-Length: 4\r\n\r\nbody")
	}()
	return clientSide, nil
}
