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

// Bounds of the users.
const (
	stableWindow = 4 * time.Second         // without a fault, after which bounds hold
	configApply  = 2500 * time.Millisecond // until a configuration is in force
)

// operatorUnderFaults publishes configurations while the store, the ways to it and the entry VMs fail.
type operatorUnderFaults struct {
	ctx     context.Context
	fl      *fleet
	random  *rand.Rand
	version int // of the newest valid configuration
	lowest  map[string]routing.Version
}

// publish writes the next valid configuration.
func (o *operatorUnderFaults) publish() {
	o.version += 1 + o.random.IntN(5)
	o.fl.store.put("operator/config", fakeConfig{Version: routingVersion(o.version)})
}

// disturb does one thing at random: a fault, its end, or an entry that must not be taken.
func (o *operatorUnderFaults) disturb(t *testing.T) {
	store, name := o.fl.store, o.anyVM()
	switch o.random.IntN(11) {
	case 0, 1:
		o.fl.gates[name].cut.Store(true)
	case 2:
		o.fl.gates[name].cut.Store(false)
	case 3:
		store.fail(&kv.UnavailableError{Op: "test", Cause: &brokenEntryError{}})
	case 4:
		store.fail(nil)
	case 5:
		store.forget()
	case 6:
		store.compact()
	case 7:
		store.put("operator/config", fakeConfig{Version: routingVersion(o.random.IntN(o.version))})
	case 8:
		store.write(kv.Entry{Key: "operator/config", Value: []byte("{")})
	case 9:
		if !o.fl.isDown(name) {
			o.fl.lose(name)
		}
	case 10:
		o.restart(t, name)
	}
}

// restart replaces the process of an entry VM, which may have died before, by one that knows nothing.
func (o *operatorUnderFaults) restart(t *testing.T, name string) {
	if !o.fl.isDown(name) {
		o.fl.lose(name)
	}
	o.fl.start(o.ctx, t, name)
	o.lowest[name] = 0
}

// calm ends all faults. Entry VMs that are down start again.
func (o *operatorUnderFaults) calm(t *testing.T) {
	for _, name := range o.fl.names {
		if o.fl.isDown(name) {
			o.restart(t, name)
		}
	}
	o.fl.store.fail(nil)
	o.fl.store.remember()
	for _, gate := range o.fl.gates {
		gate.cut.Store(false)
	}
}

func (o *operatorUnderFaults) anyVM() string {
	return "vm-" + string(rune('1'+o.random.IntN(len(o.fl.gates))))
}

// watch waits for span and fails if a configuration goes back or one is in force that is not valid.
func (o *operatorUnderFaults) watch(t *testing.T, span time.Duration) {
	const look = 50 * time.Millisecond
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(look) {
		for name, f := range o.fl.followers {
			table := f.Table()
			if table == nil {
				continue
			}
			version := table.Version()
			if version < o.lowest[name] {
				t.Errorf("%s went back from version %d to %d", name, o.lowest[name], version)
			}
			if version > routingVersion(o.version) {
				t.Errorf("%s has version %d, which is not valid", name, version)
			}
			o.lowest[name] = max(o.lowest[name], version)
		}
	}
}

// expectInForce fails if an entry VM that runs has another version than the newest.
func (o *operatorUnderFaults) expectInForce(t *testing.T, when string) {
	for name, f := range o.fl.followers {
		if o.fl.isDown(name) {
			continue
		}
		if table := f.Table(); table == nil || table.Version() != routingVersion(o.version) {
			t.Errorf("%s: %s has configuration %+v in force, want version %d", when, name, table, o.version)
		}
	}
}

// What the users' CONFIG names beside routes that are not served: a confirmed change is in force in time, none comes back
// older, none that is not valid is taken.
func TestConfigurationsAreInForceInTimeAndNeverGoBackUnderFaults(t *testing.T) {
	const seeds, rounds, steps = 40, 4, 6
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() { cancel(); time.Sleep(time.Minute); synctest.Wait() }()
			o := &operatorUnderFaults{
				ctx: ctx,
				fl:  startFleet(ctx, t, 0, "vm-1", "vm-2", "vm-3", "vm-4"), random: rand.New(rand.NewPCG(seed, 1)), version: 1,
				lowest: make(map[string]routing.Version),
			}
			time.Sleep(3 * time.Second)
			for round := range rounds {
				for range steps {
					o.disturb(t)
					o.watch(t, time.Duration(o.random.IntN(int(3*time.Second))))
					if o.random.IntN(2) == 0 {
						o.publish()
					}
				}
				o.calm(t)
				o.watch(t, stableWindow)
				o.publish()
				if round == rounds-1 {
					o.fl.lose(o.anyVM()) // an entry VM's death excuses no other one
				}
				o.watch(t, configApply)
				o.expectInForce(t, "after the bound")
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		})
	}
}
