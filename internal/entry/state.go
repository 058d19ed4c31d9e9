package entry

import (
	"sync/atomic"
	"time"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/request"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// selfState says what this VM is and carries, for heartbeats.
type selfState struct {
	self      Identity
	follower  *steering.Follower
	directory *vm.Directory
	book      *contract.SlotPool
	flows     *flows
	handler   *request.Handler
	listeners *Listeners
	beats     atomic.Uint64
}

func provideSelfState(
	self Identity, f *steering.Follower, d *vm.Directory, book *contract.SlotPool, flows *flows, h *request.Handler, l *Listeners,
) *selfState {
	return &selfState{self: self, follower: f, directory: d, book: book, flows: flows, handler: h, listeners: l}
}

// next returns the state of the next heartbeat and notes it in the directory.
func (s *selfState) next() *peer.VMState {
	now := time.Now()
	state := &peer.VMState{
		Name:        string(s.self.Name),
		Incarnation: uint64(s.self.Incarnation),
		Region:      string(s.self.Region),
		Zone:        string(s.self.Zone),
		Address:     s.listeners.Requests.Addr().String(),
		PeerAddress: s.listeners.Peer.Addr().String(),
		Leaving:     s.handler.Leaving(),
		Revision:    uint64(s.follower.Revision()),
		Heartbeat:   s.beats.Add(1),
		Loads:       s.flows.selfLoads(s.book, zoneSlots(s.directory.View()), s.self.Zone, now),
		Origins:     s.flows.selfOrigins(s.self.Region, s.handler.Queue().Waiting),
	}
	s.directory.UpdateSelf(state, now)
	return state
}
