package gateway

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/routing"
)

// Required bounds.
const (
	stableWindow     = 4 * time.Second         // without a fault, after which the bounds hold
	configApplyBound = 2500 * time.Millisecond // until a configuration is in force
)

// faultScenario publishes configurations while the store, the links to it and the entry VMs fail.
type faultScenario struct {
	ctx      context.Context
	fl       *fleet
	random   *rand.Rand
	version  int // of the newest valid configuration
	lastSeen map[string]routing.Version
}

// publishConfig writes the next valid configuration.
func (o *faultScenario) publishConfig() {
	o.version += 1 + o.random.IntN(5)
	o.fl.store.putJSON("operator/config", fakeConfig{Version: routingVersion(o.version)})
}

// injectFault does one of these at random: it starts a fault, ends one, or writes an entry that must not be applied.
func (o *faultScenario) injectFault(t *testing.T) {
	store, name := o.fl.store, o.randomVM()
	switch o.random.IntN(11) {
	case 0, 1:
		o.fl.links[name].isCut.Store(true)
	case 2:
		o.fl.links[name].isCut.Store(false)
	case 3:
		store.setError(&kv.UnavailableError{Op: "test", Cause: &unreadableEntryError{}})
	case 4:
		store.setError(nil)
	case 5:
		store.stallWatches()
	case 6:
		store.compactHistory()
	case 7:
		store.putJSON("operator/config", fakeConfig{Version: routingVersion(o.random.IntN(o.version))})
	case 8:
		store.writeEntry(kv.Entry{Key: "operator/config", Value: []byte("{")})
	case 9:
		if !o.fl.isDown(name) {
			o.fl.stopVM(name)
		}
	case 10:
		o.restartVM(t, name)
	}
}

// restartVM replaces the process of an entry VM, which may have stopped before, by one without state.
func (o *faultScenario) restartVM(t *testing.T, name string) {
	if !o.fl.isDown(name) {
		o.fl.stopVM(name)
	}
	o.fl.startVM(o.ctx, t, name)
	o.lastSeen[name] = 0
}

// clearFaults ends all faults and starts the entry VMs that are down.
func (o *faultScenario) clearFaults(t *testing.T) {
	for _, name := range o.fl.names {
		if o.fl.isDown(name) {
			o.restartVM(t, name)
		}
	}
	o.fl.store.setError(nil)
	o.fl.store.resumeWatches()
	for _, link := range o.fl.links {
		link.isCut.Store(false)
	}
}

func (o *faultScenario) randomVM() string {
	return "vm-" + string(rune('1'+o.random.IntN(len(o.fl.links))))
}

// checkVersions watches for span and fails if a configuration goes back or an invalid one is in force.
func (o *faultScenario) checkVersions(t *testing.T, span time.Duration) {
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
		for name, f := range o.fl.followers {
			table := f.Table()
			if table == nil {
				continue
			}
			version := table.Version()
			if version < o.lastSeen[name] {
				t.Errorf("%s: configuration went back from version %d to %d", name, o.lastSeen[name], version)
			}
			if version > routingVersion(o.version) {
				t.Errorf("%s: configuration version %d is in force, which is newer than any valid one", name, version)
			}
			o.lastSeen[name] = max(o.lastSeen[name], version)
		}
	}
}

// checkInForce fails if a running entry VM has another version than the newest in force.
func (o *faultScenario) checkInForce(t *testing.T, when string) {
	for name, f := range o.fl.followers {
		if o.fl.isDown(name) {
			continue
		}
		if table := f.Table(); table == nil || table.Version() != routingVersion(o.version) {
			t.Errorf("%s: %s has configuration %+v in force, want version %d", when, name, table, o.version)
		}
	}
}

// Checks the CONFIG requirement except for routes that are not served: a confirmed change is in force in time, no entry
// VM goes back to an older one, and no invalid one is applied.
func TestConfigurationsAreInForceInTimeAndNeverGoBackUnderFaults(t *testing.T) {
	const seeds, rounds, steps = 40, 4, 6
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
			o := &faultScenario{
				ctx: ctx,
				fl:  startFleet(ctx, t, Bounds{}, "vm-1", "vm-2", "vm-3", "vm-4"), random: rand.New(rand.NewPCG(seed, 1)), version: 1,
				lastSeen: make(map[string]routing.Version),
			}
			time.Sleep(3 * time.Second)
			for round := range rounds {
				for range steps {
					o.injectFault(t)
					o.checkVersions(t, time.Duration(o.random.IntN(int(3*time.Second))))
					if o.random.IntN(2) == 0 {
						o.publishConfig()
					}
				}
				o.clearFaults(t)
				o.checkVersions(t, stableWindow)
				o.publishConfig()
				if round == rounds-1 {
					o.fl.stopVM(o.randomVM()) // the loss of one entry VM excuses no other one
				}
				o.checkVersions(t, configApplyBound)
				o.checkInForce(t, "after the bound")
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		})
	}
}
