package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/lookup"
	"github.com/azureflow/azureflow/internal/region"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	planInterval       = time.Second // between two plans
	planRecordInterval = time.Minute // between two records of a plan that moves nothing
)

// topology keeps what the path of a request reads in step with the configuration, the VM list and the
// heartbeats. Its methods run on one goroutine.
type topology struct {
	self      Identity
	lags      *lags
	config    func() *steering.Configuration
	directory *vm.Directory
	pools     *pools
	domains   *domains
	links     *links
	book      *contract.SlotPool
	flows     *flows
	rooms     *rooms
	table     *region.Table
	lookups   *lookup.Table
	recorder  review.Recorder
	log       logrus.FieldLogger

	planner *region.Planner
	first   *firstPlans
	// recorded is when each service's plan was last recorded.
	recorded map[steering.ServiceName]time.Time
	changed  chan struct{}
	ready    atomic.Bool
}

// poke asks for a step soon.
func (t *topology) poke() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// run steps every planInterval and after each poke until ctx ends.
func (t *topology) run(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		t.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-t.changed:
		}
	}
}

// step brings everything in step with what is known at now.
func (t *topology) step(ctx context.Context, now time.Time) {
	cfg := t.config()
	view := t.directory.View()
	t.lookups.Update(lookupView(cfg, view, t.self.Name))
	t.lags.observe(view, t.self.Name, revisionOf(cfg), now)
	if cfg == nil {
		return
	}
	t.pools.update(view.Upstreams, now)
	t.domains.ensure(zonesOf(cfg, t.self.Region))
	t.domains.setCapacity(cfg, zoneSlots(view), now)
	t.links.update(cfg, now)
	if !t.first.ready(ctx, view, now) {
		return
	}
	t.plan(cfg, view, time.Now())
	if !t.ready.Swap(true) {
		t.log.WithFields(logrus.Fields{"revision": cfg.Revision}).Info("ready")
	}
}

// revisionOf returns the revision of cfg, 0 of nil.
func revisionOf(cfg *steering.Configuration) steering.Revision {
	if cfg == nil {
		return 0
	}
	return cfg.Revision
}

// plan puts the next plans in force. The first go on from those of peers.
func (t *topology) plan(cfg *steering.Configuration, view *vm.View, now time.Time) {
	seen := observe(cfg, view, t.links.observe(now))
	seen.PeerPlans = t.first.plans
	plans, inputs := t.planner.Step(now, seen)
	t.recordChanges(plans, inputs)
	t.table.ReplacePlans(plans)
	t.rooms.signalAll()
}

// noteWaiting counts what waits as wanted in every zone of this VM's region: a queue that keeps room
// for interactive work asks for no slot on behalf of the rest.
func (t *topology) noteWaiting(waiting func(steering.ServiceName) int) {
	cfg := t.config()
	if cfg == nil {
		return
	}
	zones := zonesOf(cfg, t.self.Region)
	for i := range cfg.Services {
		n := waiting(cfg.Services[i].Name)
		for _, zone := range zones {
			t.book.AddWaiting(cfg.Services[i].Name, zone, (n+len(zones)-1)/len(zones))
		}
	}
}

// recordChanges records, with its inputs, each plan that moved traffic, the first, and from time to time
// the one in force: a review looks back only so far.
func (t *topology) recordChanges(plans []region.Plan, inputs []region.Inputs) {
	known := make(map[steering.ServiceName]*region.Plan)
	old := t.table.Plans()
	for i := range old {
		known[old[i].Service] = &old[i]
	}
	for i := range plans {
		before := known[plans[i].Service]
		switch {
		case before != nil && changed(before, &plans[i]):
			t.recordPlan(&plans[i], &inputs[i], review.KindShift)
		case before == nil || plans[i].At.Sub(t.recorded[plans[i].Service]) >= planRecordInterval:
			t.recordPlan(&plans[i], &inputs[i], review.KindPlan)
		}
	}
}

// changed reports whether a plan gives some region another share than the one before.
func changed(before, after *region.Plan) bool {
	for i := range after.Origins {
		o := &after.Origins[i]
		was := before.Origin(o.Region)
		if was == nil || o.Moved > 0 || was.Refused != o.Refused {
			return true
		}
	}
	return false
}

func (t *topology) recordPlan(p *region.Plan, in *region.Inputs, kind review.Kind) {
	t.recorded[p.Service] = p.At
	t.recorder.Record(&review.Record{
		Kind:       kind,
		At:         p.At,
		Service:    p.Service,
		Revision:   p.Revision,
		PlanEpoch:  p.Epoch,
		Constraint: boundBy(p),
		Result:     planText(p),
		Inputs:     []review.Input{jsonInput(inputPlanInputs, in), jsonInput(inputPlan, p)},
	})
}

// Names of the inputs of a plan's record.
const (
	inputPlanInputs = "plan_inputs"
	inputPlan       = "plan"
)

func jsonInput(name string, v any) review.Input {
	text, err := json.Marshal(v)
	if err != nil {
		text = []byte("null")
	}
	return review.Input{Name: name, Value: string(text)}
}

// recompute computes a recorded plan again; see review.Sources.
func recompute(r *review.Record) (agrees bool, detail string) {
	var in region.Inputs
	var recorded region.Plan
	for _, input := range r.Inputs {
		var err error
		switch input.Name {
		case inputPlanInputs:
			err = json.Unmarshal([]byte(input.Value), &in)
		case inputPlan:
			err = json.Unmarshal([]byte(input.Value), &recorded)
		}
		if err != nil {
			return false, "the record cannot be read: " + err.Error()
		}
	}
	if in.Service == "" {
		return false, "the record holds no inputs"
	}
	again := region.ComputePlan(in)
	if !again.Equal(&recorded) {
		return false, "computed again: " + planText(&again)
	}
	return true, "the same inputs give the same plan"
}

// boundBy returns the first constraint that bound a plan.
func boundBy(p *region.Plan) review.Constraint {
	for i := range p.Origins {
		if c := p.Origins[i].Constraint; c != review.ConstraintNone && c != "" {
			return c
		}
	}
	return review.ConstraintNone
}

// planText writes a plan for people: origin to region share, ...
func planText(p *region.Plan) string {
	text := ""
	for i := range p.Origins {
		o := &p.Origins[i]
		for _, s := range o.Shares {
			text += fmt.Sprintf("%s>%s %.3f ", o.Region, s.Region, s.Share)
		}
		if o.Refused > 0 {
			text += fmt.Sprintf("%s refused %.3f ", o.Region, o.Refused)
		}
	}
	return text
}

func zonesOf(cfg *steering.Configuration, name steering.RegionName) []steering.ZoneName {
	for i := range cfg.Platform.Regions {
		if cfg.Platform.Regions[i].Name == name {
			return cfg.Platform.Regions[i].Zones
		}
	}
	return nil
}

// lookupView is what lookups are answered from. Before a configuration is in force only the VMs
// themselves are known.
func lookupView(cfg *steering.Configuration, view *vm.View, self vm.Name) lookup.View {
	out := lookup.View{LearnedAt: view.ListAt}
	if cfg != nil {
		out.Revision = cfg.Revision
		out.Platform = cfg.Platform
	}
	for i := range view.Entries {
		e := view.Entries[i]
		if e.VM.Name != self && e.LastContact.After(out.LearnedAt) {
			out.LearnedAt = e.LastContact
		}
		out.VMs = append(out.VMs, lookup.VMView{
			Name:         e.VM.Name,
			Incarnation:  e.Incarnation,
			Zone:         e.VM.Zone,
			Address:      e.VM.Address,
			Leaving:      e.Liveness == vm.Leaving,
			Unresponsive: e.Liveness == vm.Dead || e.Liveness == vm.Suspect,
			Utilization:  utilization(e),
			RequestRate:  carried(e),
		})
	}
	return out
}

// utilization returns the share of the slots a VM holds that are in use.
func utilization(e *vm.Entry) float64 {
	inFlight, held := 0.0, 0.0
	for _, l := range e.Loads {
		inFlight += float64(l.GetInFlight())
		held += float64(l.GetHeldSlots())
	}
	if held == 0 {
		return 0
	}
	return inFlight / held
}

func carried(e *vm.Entry) float64 {
	sum := 0.0
	for _, l := range e.Loads {
		sum += float64(l.GetCarriedPerS())
	}
	return sum
}

// pollVMs reads the VM list until ctx ends and tells when it changed. While the list cannot be read the
// last one stays.
func pollVMs(ctx context.Context, list *zoneList, d *vm.Directory, l *links, every time.Duration, onChange func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	var last []vm.VM
	for {
		if rows, err := list.VMs(ctx); err == nil {
			now := time.Now()
			d.UpdateList(rows, now)
			l.observeList(rows, list.askedAt(), now)
			if last == nil || !slices.Equal(rows, last) {
				onChange()
			}
			last = rows
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
