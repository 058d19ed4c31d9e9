package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/vm"
)

func startPlatform(t *testing.T, o standin.PlatformOptions) (string, *refplatform.Client) {
	t.Helper()
	server := httptest.NewServer(standin.NewPlatform(o).Handler())
	t.Cleanup(server.Close)
	return server.URL, refplatform.NewClient(refplatform.ClientOptions{
		StoreURL: server.URL, VMListURL: server.URL, Name: "zone-a", Timeout: time.Minute,
	})
}

func operate(t *testing.T, method, url string, body any) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s", method, url, resp.Status)
	}
}

func TestStoreOverHTTP(t *testing.T) {
	_, c := startPlatform(t, standin.PlatformOptions{})
	ctx := t.Context()
	v1, err := c.CompareAndSwap(ctx, "a/b c", 0, []byte{0, 255, '\n'}, 0)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := c.Get(ctx, "a/b c")
	if err != nil || entry.Version != v1 || !bytes.Equal(entry.Value, []byte{0, 255, '\n'}) {
		t.Fatalf("got %v %v", entry, err)
	}
	var conflict *refplatform.ConflictError
	if _, err := c.CompareAndSwap(ctx, "a/b c", v1+1, nil, 0); !errors.As(err, &conflict) || conflict.Current != v1 {
		t.Fatalf("got %v", err)
	}
	var missing *refplatform.NotFoundError
	if _, err := c.Get(ctx, "none"); !errors.As(err, &missing) || missing.Key != "none" {
		t.Fatalf("got %v", err)
	}
	lease, err := c.Grant(ctx, time.Hour)
	if err != nil || lease.TTL != time.Hour {
		t.Fatalf("got %v %v", lease, err)
	}
	v2, err := c.CompareAndSwap(ctx, "a/lead", 0, []byte("x"), lease.ID)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(c.KeepAlive(ctx, lease.ID), c.Revoke(ctx, lease.ID)); err != nil {
		t.Fatal(err)
	}
	entries, _, err := c.Watch(ctx, "a/", v2)
	if err != nil || len(entries) != 1 || !entries[0].Deleted {
		t.Fatalf("got %v %v", entries, err)
	}
	var lapsed *refplatform.LeaseLapsedError
	if err := c.KeepAlive(ctx, lease.ID); !errors.As(err, &lapsed) || lapsed.ID != lease.ID {
		t.Fatalf("got %v", err)
	}
	if err := c.Delete(ctx, "a/b c", v1); err != nil {
		t.Fatal(err)
	}
	if entries, _, err := c.List(ctx, ""); err != nil || len(entries) != 0 {
		t.Fatalf("got %v %v", entries, err)
	}
	var large *refplatform.ValueTooLargeError
	if _, err := c.CompareAndSwap(ctx, "big", 0, make([]byte, 1_000_001), 0); !errors.As(err, &large) {
		t.Fatalf("got %v", err)
	}
}

func TestStoreFaultsOverHTTP(t *testing.T) {
	url, c := startPlatform(t, standin.PlatformOptions{})
	ctx := t.Context()
	var unavailable *refplatform.UnavailableError
	var unknown *refplatform.EffectUnknownError
	operate(t, http.MethodPut, url+"/faults?client=zone-a", standin.PlatformFaults{Down: true})
	if _, err := c.CompareAndSwap(ctx, "a", 0, []byte("1"), 0); !errors.As(err, &unavailable) {
		t.Fatalf("down: %v", err)
	}
	operate(t, http.MethodPut, url+"/faults?client=zone-a", standin.PlatformFaults{LoseAnswers: 1})
	if _, err := c.CompareAndSwap(ctx, "a", 0, []byte("1"), 0); !errors.As(err, &unknown) {
		t.Fatalf("lost answer: %v", err)
	}
	if entry, err := c.Get(ctx, "a"); err != nil || string(entry.Value) != "1" {
		t.Fatalf("effect: %v %v", entry, err)
	}
	operate(t, http.MethodPost, url+"/snapshots/old", nil)
	if _, err := c.CompareAndSwap(ctx, "b", 0, []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	operate(t, http.MethodPut, url+"/faults", standin.PlatformFaults{Stale: "old"})
	var missing *refplatform.NotFoundError
	if _, err := c.Get(ctx, "b"); !errors.As(err, &missing) {
		t.Fatalf("stale: %v", err)
	}
	operate(t, http.MethodPut, url+"/faults", standin.PlatformFaults{})
	operate(t, http.MethodPost, url+"/snapshots/old/restore", nil)
	if _, err := c.Get(ctx, "b"); !errors.As(err, &missing) {
		t.Fatalf("restored: %v", err)
	}
}

func TestClientTellsUnreachedFromUnknown(t *testing.T) {
	accept := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-accept }))
	defer silent.Close()
	defer close(accept)
	c := refplatform.NewClient(refplatform.ClientOptions{StoreURL: silent.URL})
	ctx, cancel := context.WithCancel(t.Context())
	reached := make(chan error)
	go func() {
		_, err := c.CompareAndSwap(ctx, "a", 0, nil, 0)
		reached <- err
	}()
	accept <- struct{}{}
	cancel()
	var unknown *refplatform.EffectUnknownError
	if err := <-reached; !errors.As(err, &unknown) {
		t.Errorf("cancelled after sending: %v", err)
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	c = refplatform.NewClient(refplatform.ClientOptions{StoreURL: gone.URL})
	var unavailable *refplatform.UnavailableError
	if _, err := c.CompareAndSwap(t.Context(), "a", 0, nil, 0); !errors.As(err, &unavailable) {
		t.Errorf("refused connection: %v", err)
	}
}

func TestVMListLags(t *testing.T) {
	url, c := startPlatform(t, standin.PlatformOptions{VMListLag: time.Hour, VMs: []vm.VM{{Name: "old"}}})
	operate(t, http.MethodPut, url+"/operator/vms/new", vm.VM{Kind: vm.KindEntry, Zone: "a"})
	vms, err := c.VMs(t.Context())
	if err != nil || len(vms) != 1 || vms[0].Name != "old" {
		t.Fatalf("got %v %v", vms, err)
	}
	operate(t, http.MethodPost, url+"/operator/vms/new/leaving", nil)
	none := int64(0)
	operate(t, http.MethodPut, url+"/faults", standin.PlatformFaults{VMListLagMs: &none})
	vms, err = c.VMs(t.Context())
	if err != nil || len(vms) != 2 || vms[0].State != vm.StateLeaving || vms[1].State != vm.StateLive {
		t.Fatalf("got %v %v", vms, err)
	}
}
