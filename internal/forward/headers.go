// Package forward sends a caller's request to a server and passes the complete response back. It handles the deadline,
// the attempts, which requests may be retried, and the connections to servers. Package placement chooses the servers.
package forward

import (
	"time"

	"github.com/azureflow/azureflow/internal/placement"
)

// Headers are the names and formats that callers and servers use on the wire.
type Headers struct {
	RequestID      string
	Deadline       string // milliseconds that the caller, or this entry VM, still waits
	AffinityCookie string // cookie that names the object of a request
	Signature      string // of the server, on every response that it generated
	ExpectServer   string // to a server: its ID; another server responds with 421 and does not run the request
	Load           string
	NotRun         string // on a response: the request did not run
	Server         string // ID of the server that responds
	Cold           string
	Leaving        string // on a server's response: the server is leaving
	Account        string // to a server: the name of the client account that the request's key belongs to
	ParseLoad      func(text string) (load placement.Load, ok bool)
	ParseCold      func(text string) (time.Duration, bool)
	ParseLeaving   func(text string) bool
}
