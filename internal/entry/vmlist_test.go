package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/vm"
)

// listWorld is a zone whose VMs poll a platform in virtual time.
type listWorld struct {
	mu    sync.Mutex
	rows  []vm.VM
	down  bool // the platform
	calls int  // to the platform
	bytes int  // between VMs, sent
	lists map[vm.Name]*zoneList
	dead  map[vm.Name]bool // answers nothing, but is still believed to live
	stop  map[vm.Name]context.CancelFunc
}

type platformDownError struct{}

func (*platformDownError) Error() string { return "platform down" }

// VMs implements platform.VMList.
func (w *listWorld) VMs(context.Context) ([]vm.VM, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if w.down {
		return nil, &platformDownError{}
	}
	return w.rows, nil
}

func (w *listWorld) ask(ctx context.Context, to vm.Name, req *peer.FetchVMsRequest) (*peer.FetchVMsReply, error) {
	w.mu.Lock()
	callee, dead := w.lists[to], w.dead[to]
	w.bytes += proto.Size(req)
	w.mu.Unlock()
	if dead {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := callee.FetchVMs(ctx, req)
	w.mu.Lock()
	w.bytes += proto.Size(reply)
	w.mu.Unlock()
	return reply, err
}

func listRow(i int) vm.VM {
	return vm.VM{Name: vm.Name(fmt.Sprintf("entry-%04d", i)), Kind: vm.KindEntry, Zone: "zone-000", State: vm.StateLive}
}

func newListWorld(vms int) *listWorld {
	w := &listWorld{lists: make(map[vm.Name]*zoneList), dead: make(map[vm.Name]bool), stop: make(map[vm.Name]context.CancelFunc)}
	for i := range vms {
		w.rows = append(w.rows, listRow(i))
	}
	return w
}

// start runs a new process on VM i, which believes that all VMs of the zone live.
func (w *listWorld) start(t *testing.T, i, vms int) {
	row := listRow(i)
	d := vm.NewDirectory(row, vm.DirectoryOptions{SuspectAfter: time.Hour, DeadAfter: time.Hour})
	var states []*peer.VMState
	for other := range vms {
		states = append(states, &peer.VMState{Name: string(listRow(other).Name), Zone: "zone-000", Incarnation: 1, Heartbeat: 1})
	}
	d.Merge(states, time.Now())
	z := &zoneList{
		self: Identity{Name: row.Name, Zone: row.Zone}, every: time.Second, platform: w, directory: d, ask: w.ask,
		log: vm.NewListLog(), skipped: make(map[vm.Name]time.Time),
	}
	ctx, cancel := context.WithCancel(t.Context())
	w.mu.Lock()
	w.lists[row.Name], w.stop[row.Name] = z, cancel
	w.dead[row.Name] = false
	w.mu.Unlock()
	go pollVMs(ctx, z, d, newLinks(z.self), time.Second, func() {})
}

func (w *listWorld) kill(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead[listRow(i).Name] = true
	w.stop[listRow(i).Name]()
}

// change puts VM i into a state and returns how long it takes until all VMs know.
func (w *listWorld) change(i int, state vm.State, limit time.Duration) time.Duration {
	w.mu.Lock()
	w.rows = slices.Clone(w.rows)
	w.rows[i].State = state
	w.mu.Unlock()
	began := time.Now()
	for !w.allKnow(i, state) && time.Since(began) < limit {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (w *listWorld) allKnow(i int, state vm.State) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, z := range w.lists {
		if rows, _ := z.log.Rows(); !w.dead[name] && (rows == nil || rows[i].State != state) {
			return false
		}
	}
	return true
}

// during returns the calls to the platform in a span of time, and the bytes between VMs.
func (w *listWorld) during(span time.Duration) (calls, bytes int) {
	w.mu.Lock()
	calls, bytes = w.calls, w.bytes
	w.mu.Unlock()
	time.Sleep(span)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls - calls, w.bytes - bytes
}

// TestZoneReadsListOnce holds that a zone of any size makes one call a second to the platform, that a change
// reaches all of it within the few seconds after which a leaving upstream receives no new work, and that this
// outlasts a reader that dies but seems to live, a restart, and an outage of the platform.
func TestZoneReadsListOnce(t *testing.T) {
	const few = 3 * time.Second
	for _, vms := range []int{2, 7, 20, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newListWorld(vms)
			for i := range vms {
				w.start(t, i, vms)
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(5007 * time.Millisecond)
			steady, bytes := w.during(20 * time.Second)
			took := w.change(vms-1, vm.StateLeaving, few)
			w.kill(0)
			died := w.change(vms-1, vm.StateLive, few)
			after, _ := w.during(20 * time.Second)
			w.start(t, 0, vms)
			w.start(t, vms-1, vms)
			time.Sleep(3 * time.Millisecond)
			restarted := w.change(vms-1, vm.StateLeaving, few)
			time.Sleep(40 * time.Second)
			w.mu.Lock()
			w.down = true
			w.mu.Unlock()
			time.Sleep(10 * time.Second)
			outage, _ := w.during(60 * time.Second)
			w.mu.Lock()
			w.down = false
			w.mu.Unlock()
			back := w.change(vms-1, vm.StateLive, few)
			herd, _ := w.during(5 * time.Second)
			t.Logf("%d VMs: %d calls in 20 s, %d B/s each; change %v, reader dead %v then %d calls, restarts %v, outage %d calls/min, back %v then %d in 5 s",
				vms, steady, bytes/20/vms, took, died, after, restarted, outage, back, herd)
			for _, took := range []time.Duration{took, died, restarted, back} {
				if took >= few {
					t.Errorf("%d VMs: a change took %v", vms, took)
				}
			}
			// Once a second the reader; in an outage each VM now and then as well.
			if steady > 21 || after > 21 || outage > 61+vms*60/5 || herd > 6+vms {
				t.Errorf("%d VMs: calls to the platform %d, %d, %d, %d", vms, steady, after, outage, herd)
			}
			for i := range vms {
				w.stop[listRow(i).Name]()
			}
			synctest.Wait()
		})
	}
}
