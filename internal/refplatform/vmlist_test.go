package refplatform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// directTransport serves requests without a connection and counts the bytes of the response bodies.
type directTransport struct {
	handler  http.Handler
	omitETag bool // responses have no entity tag
	bytes    int  // of the last response body
	status   int  // of the last response
}

func (d *directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	d.bytes, d.status = w.Body.Len(), w.Code
	resp := w.Result()
	if d.omitETag {
		resp.Header.Del("ETag")
	}
	return resp, nil
}

func listClient(vms int, lag time.Duration) (*directTransport, *standin.Platform, *refplatform.Client) {
	o := standin.PlatformOptions{VMListLag: lag}
	for i := range vms {
		o.VMs = append(o.VMs, listedVM(i))
	}
	p := standin.NewPlatform(o)
	d := &directTransport{handler: p.Handler()}
	return d, p, refplatform.NewClient(refplatform.ClientOptions{VMListURL: "http://list", Transport: d})
}

func listedVM(i int) vm.VM {
	return vm.VM{
		Name: vm.Name(fmt.Sprintf("entry-%04d", i)), Kind: vm.KindEntry, State: vm.StateLive,
		Region: steering.RegionName(fmt.Sprintf("region-%02d", i%47)), Zone: steering.ZoneName(fmt.Sprintf("zone-%03d", i%107)),
		Address: fmt.Sprintf("10.%d.%d.%d:8080", i%107, i/250, i%250), PeerAddress: fmt.Sprintf("10.%d.%d.%d:8081", i%107, i/250, i%250),
		Since: time.Unix(1_764_844_800+int64(i*977%86_400), 0).UTC(),
	}
}

// TestUnchangedListIsNotSent: an unchanged list is read without its rows. Every change is seen, also one that a
// lagging list shows late, and with a platform that sends no entity tags.
func TestUnchangedListIsNotSent(t *testing.T) {
	for _, omitETag := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d, p, c := listClient(40, time.Second)
			d.omitETag = omitETag
			read := func(rows int, modified bool) {
				t.Helper()
				got, err := c.VMs(t.Context())
				if err != nil || len(got) != rows {
					t.Fatalf("%d rows, %v; want %d", len(got), err, rows)
				}
				if sent := d.status == http.StatusOK; sent != (modified || omitETag) {
					t.Errorf("status %d, modified %v, tags %v", d.status, modified, !omitETag)
				}
			}
			read(40, true)
			read(40, false)
			p.PutVM(listedVM(40))
			read(40, false)
			time.Sleep(1500 * time.Millisecond)
			read(41, true)
			p.RemoveVM(listedVM(3).Name)
			time.Sleep(1500 * time.Millisecond)
			read(40, true)
			read(40, false)
		})
	}
}

// TestListAnswerBytes logs the body size of a VM list response, complete, compressed and unchanged, and checks
// that an unchanged list has an empty body.
func TestListAnswerBytes(t *testing.T) {
	for _, n := range []int{7, 40, 400, 4300} {
		d, _, c := listClient(n, 0)
		get := func(encoding string) int {
			r, _ := http.NewRequest(http.MethodGet, "http://list"+refplatform.PathVMs, http.NoBody)
			r.Header.Set("Accept-Encoding", encoding)
			resp, _ := d.RoundTrip(r)
			_ = resp.Body.Close()
			return d.bytes
		}
		identity, gzipped := get("identity"), get("gzip")
		for range 2 {
			if _, err := c.VMs(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("%d rows: %d B, compressed %d B, unchanged %d B", n, identity, gzipped, d.bytes)
		if d.bytes != 0 {
			t.Errorf("%d rows: %d bytes although nothing changed", n, d.bytes)
		}
	}
}
