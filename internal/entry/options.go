// Package entry wires the daemon of an entry VM from the packages that decide, and runs it.
package entry

import (
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/upstream"
	"github.com/azureflow/azureflow/internal/vm"
)

// Dial opens a TCP connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Listeners are the open sockets of a daemon.
type Listeners struct {
	Requests net.Listener // callers
	Peer     net.Listener // other entry VMs
	Admin    net.Listener // operators
}

// Options configure a daemon beyond its settings.
type Options struct {
	Settings  *steering.Settings
	Listeners *Listeners // nil: opened from the settings
	Dial      Dial       // nil: TCP; used towards upstreams, peers and the platform
	LogTo     io.Writer  // nil: standard error
	Policies  Policies   // baselines of experiments; zero: the daemon's own
}

// Policies are the ways to decide that an experiment may replace by a baseline.
type Policies struct {
	Selection upstream.Policy     // choice of an upstream; "": PolicyLeastLoaded
	Admission request.QueuePolicy // order of admission; zero: PolicyClasses
}

// Identity says which life of which VM a daemon is.
type Identity struct {
	Name        vm.Name
	Incarnation vm.Incarnation
	Region      steering.RegionName
	Zone        steering.ZoneName
}

// String returns NAME/INCARNATION, as in the header Azureflow-Entry.
func (i Identity) String() string {
	return string(i.Name) + "/" + strconv.FormatUint(uint64(i.Incarnation), 10)
}

// newIdentity numbers a life by its start: a later start of the same VM has a higher incarnation.
func newIdentity(s *steering.Settings, start time.Time) Identity {
	return Identity{
		Name:        vm.Name(s.VM.Name),
		Incarnation: vm.Incarnation(start.UnixMilli()),
		Region:      s.VM.Region,
		Zone:        s.VM.Zone,
	}
}

// provideListeners returns the sockets given, or opens those of the settings.
func provideListeners(opts Options) (*Listeners, error) {
	if opts.Listeners != nil {
		return opts.Listeners, nil
	}
	return open(&opts.Settings.Listen)
}

// open opens the sockets that the settings name.
func open(s *steering.ListenSettings) (*Listeners, error) {
	var l Listeners
	for _, socket := range []struct {
		address string
		into    *net.Listener
	}{{s.Requests, &l.Requests}, {s.Peer, &l.Peer}, {s.Admin, &l.Admin}} {
		opened, err := net.Listen("tcp", socket.address)
		if err != nil {
			return nil, &ListenError{Address: socket.address, Cause: err}
		}
		*socket.into = opened
	}
	return &l, nil
}

// ListenError reports an address that could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
