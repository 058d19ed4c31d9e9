package demo

import (
	"slices"
	"strings"
	"time"

	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// fault is something that breaks a third into the run; heal, if there is one, mends it two thirds in.
type fault struct {
	name  string
	about string
	begin func(w *world)
	heal  func(w *world)
}

// faults are all that can be broken.
var faults = []fault{
	{"vm-loss", "one entry VM is killed", func(w *world) { w.network.kill(string(w.victim().row.Name)) }, nil},
	{"region-loss", "the region that is not the store's and comes last is lost, entry VMs and upstreams", loseRegion, nil},
	{"store-down", "the platform's store and VM list do not answer",
		func(w *world) { w.platform.SetFaults("", standin.PlatformFaults{Down: true}) },
		func(w *world) { w.platform.SetFaults("", standin.PlatformFaults{}) }},
	{"zone-cut", "one availability zone is cut off from the others and the platform",
		func(w *world) { w.network.setCut(w.lastZone(), true) },
		func(w *world) { w.network.setCut(w.lastZone(), false) }},
	{"slow-upstream", "one server in four is 20 times slower", func(w *world) { w.slow(20) }, func(w *world) { w.slow(0) }},
	{"silent-connections", "every open connection goes silent for good, new ones work", func(w *world) { w.network.silence() }, nil},
	{"drain", "an entry VM stops as planned and two servers of each service leave", drainSome, nil},
}

// FaultNames returns the names of the faults and what each breaks.
func FaultNames() []string {
	names := make([]string, len(faults))
	for i, f := range faults {
		names[i] = f.name + ": " + f.about
	}
	return names
}

// UnknownFaultError reports a fault that does not exist.
type UnknownFaultError struct{ Name string }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	return "unknown fault " + e.Name + "; known are:\n  " + strings.Join(FaultNames(), "\n  ")
}

func findFaults(names []string) ([]fault, error) {
	var found []fault
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, &UnknownFaultError{Name: name}
		}
		found = append(found, faults[i])
	}
	return found, nil
}

// victim is the second entry VM of the first zone.
func (w *world) victim() *entryVM { return w.entries[len(w.entries)-1] }

func (w *world) lastZone() steering.ZoneName {
	return w.deployment.entries[len(w.deployment.entries)-2]
}

func loseRegion(w *world) {
	regions := w.deployment.config.Platform.Regions
	lost := regions[len(regions)-1].Name
	var hosts []string
	for _, e := range w.entries {
		if e.row.Region == lost {
			hosts = append(hosts, string(e.row.Name))
		}
	}
	for _, u := range w.upstreams {
		if u.row.Region == lost {
			hosts = append(hosts, string(u.row.Name))
		}
	}
	w.network.kill(hosts...)
}

// slow makes every fourth server slower by factor; 0 ends that.
func (w *world) slow(factor float64) {
	const every = 4
	for i, u := range w.upstreams {
		if i%every == 0 {
			u.standin.SetFaults(standin.UpstreamFaults{SlowFactor: factor})
		}
	}
}

func drainSome(w *world) {
	const perService = 2
	left := make(map[steering.ServiceName]int)
	for _, u := range w.upstreams {
		if left[u.row.Service] == perService {
			continue
		}
		left[u.row.Service]++
		row := u.row
		row.State = vm.StateLeaving
		row.Since = time.Now()
		w.platform.PutVM(row)
		u.standin.SetDraining(true)
	}
	w.noteDrain(w.drain(w.victim()))
}
