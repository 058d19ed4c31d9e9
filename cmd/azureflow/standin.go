package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// standinCommand runs stand-ins of outside systems.
type standinCommand struct {
	Platform standinPlatform `cmd:"" help:"The platform's store and VM list over HTTP."`
	Upstream standinUpstream `cmd:"" help:"One server of a service."`
}

// standinPlatform runs the platform stand-in.
type standinPlatform struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:7400"`
	VMLag  time.Duration `help:"How old the VM list is." default:"1s"`
}

// Help implements kong.HelpProvider.
func (standinPlatform) Help() string {
	return "Example: azureflow standin platform --listen 127.0.0.1:7400"
}

// Run implements the command.
func (c *standinPlatform) Run(ctx context.Context) error {
	p := standin.NewPlatform(standin.PlatformOptions{VMListLag: c.VMLag})
	return serveHTTP(ctx, c.Listen, p.Handler())
}

// standinUpstream runs an upstream stand-in and registers it in the VM list.
type standinUpstream struct {
	Listen   string               `help:"Address to listen on." required:""`
	Name     string               `help:"Name of the VM." required:""`
	Service  steering.ServiceName `help:"Service it serves." required:""`
	Region   steering.RegionName  `help:"Its region." required:""`
	Zone     steering.ZoneName    `help:"Its availability zone." required:""`
	Slots    int                  `help:"Requests it serves at a time." default:"5"`
	Seed     uint64               `help:"Seed of its service times." default:"1"`
	Platform string               `help:"URL of the platform stand-in to register with; empty: none."`
}

// Help implements kong.HelpProvider.
func (standinUpstream) Help() string {
	return "Example: azureflow standin upstream --listen 127.0.2.1:8000 --name certdesk-1 --service certdesk" +
		" --region batinah --zone batinah-a --platform http://127.0.0.1:7400"
}

// Run implements the command.
func (c *standinUpstream) Run(ctx context.Context) error {
	if c.Platform != "" {
		if err := register(ctx, c.Platform, c.row()); err != nil {
			return err
		}
	}
	u := standin.NewUpstream(standin.UpstreamOptions{
		Name: c.Name, Service: c.Service, Region: c.Region, Zone: c.Zone, Slots: c.Slots, Seed: c.Seed,
	})
	return serveHTTP(ctx, c.Listen, u.Handler())
}

func (c *standinUpstream) row() vm.VM {
	return vm.VM{
		Name: vm.Name(c.Name), Kind: vm.KindUpstream, Region: c.Region, Zone: c.Zone,
		Address: c.Listen, Service: c.Service, Slots: c.Slots, State: vm.StateLive, Since: time.Now(),
	}
}

// register puts a row into the VM list of the platform stand-in.
func register(ctx context.Context, platform string, row vm.VM) error {
	body, err := json.Marshal(row)
	if err != nil {
		return err
	}
	url := platform + "/operator/vms/" + string(row.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return &unreachableError{what: "platform stand-in", cause: err}
	}
	_ = answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		return &inputError{reason: "platform stand-in refused the VM: " + answer.Status}
	}
	return nil
}

// serveHTTP serves handler on address until ctx ends, then lets requests in flight finish.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	const drain = 10 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: drain}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain)
		defer cancel()
		stopped <- server.Shutdown(bounded)
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return <-stopped
}
