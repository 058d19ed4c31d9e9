package steering

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Difference is what a publication changes.
type Difference struct {
	From    Revision      `json:"from"` // in force before; 0: none
	Changes []ItemChange  `json:"changes"`
	Shares  []ShareChange `json:"shares"`
}

// ItemChange is a change of the platform file or of a service.
type ItemChange struct {
	Service ServiceName   `json:"service,omitempty"` // empty: the platform file
	Kind    ChangeKind    `json:"kind"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// ChangeKind is what happens to the platform file or to a service.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeChanged ChangeKind = "changed"
	ChangeRemoved ChangeKind = "removed"
)

// FieldChange is a value that differs; "" stands for none.
type FieldChange struct {
	Path string `json:"path"`
	From string `json:"from"`
	To   string `json:"to"`
}

// ShareChange is a change of a region's share of a service, and the traffic that it moves.
type ShareChange struct {
	Service ServiceName `json:"service"`
	Region  RegionName  `json:"region"`
	From    float64     `json:"from"` // share, 0 to 1
	To      float64     `json:"to"`
	Mbit    float64     `json:"mbit_s"`  // Mbit/s that the region gains, negative if it loses; by the expected load
	Windows int         `json:"windows"` // of the shift cap that the change takes
}

// Diff returns what changes from the configuration in force, which may be nil, to next.
func Diff(inForce, next *Configuration) *Difference {
	if inForce == nil {
		inForce = &Configuration{}
	}
	d := &Difference{From: inForce.Revision, Changes: []ItemChange{}, Shares: []ShareChange{}}
	d.platform(&inForce.Platform, &next.Platform)
	for _, name := range serviceNames(inForce, next) {
		d.service(name, inForce.ServiceByName(name), next.ServiceByName(name))
	}
	return d
}

func serviceNames(configurations ...*Configuration) []ServiceName {
	var names []ServiceName
	for _, c := range configurations {
		for i := range c.Services {
			names = append(names, c.Services[i].Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (d *Difference) platform(from, to *Platform) {
	switch fields := fieldChanges(from, to); {
	case len(fields) == 0:
	case from.Deployment == "":
		d.Changes = append(d.Changes, ItemChange{Kind: ChangeAdded})
	default:
		d.Changes = append(d.Changes, ItemChange{Kind: ChangeChanged, Fields: fields})
	}
}

func (d *Difference) service(name ServiceName, from, to *Service) {
	change := ItemChange{Service: name}
	switch {
	case from == nil:
		change.Kind = ChangeAdded
	case to == nil:
		change.Kind = ChangeRemoved
	default:
		change.Kind = ChangeChanged
		change.Fields = fieldChanges(from, to)
		if len(change.Fields) == 0 {
			return
		}
	}
	d.Changes = append(d.Changes, change)
	if from != nil && to != nil {
		d.Shares = append(d.Shares, shareChanges(from, to)...)
	}
}

func shareChanges(from, to *Service) []ShareChange {
	before, after := shares(from), shares(to)
	all := maps.Clone(before)
	maps.Copy(all, after)
	var changes []ShareChange
	for _, region := range slices.Sorted(maps.Keys(all)) {
		moved := after[region] - before[region]
		if math.Abs(moved) < 1e-9 {
			continue
		}
		changes = append(changes, ShareChange{
			Service: to.Name, Region: region, From: before[region], To: after[region],
			Mbit:    shiftedMbit(to, moved),
			Windows: int(math.Ceil(math.Abs(moved)/to.ShiftCap.Share - 1e-9)),
		})
	}
	return changes
}

// shares returns each region's fraction of the sum of the weights.
func shares(s *Service) map[RegionName]float64 {
	sum := 0.0
	for _, w := range s.Weights {
		sum += w.Weight
	}
	out := make(map[RegionName]float64, len(s.Weights))
	for _, w := range s.Weights {
		if sum > 0 {
			out[w.Region] = w.Weight / sum
		}
	}
	return out
}

// Empty reports whether nothing changes.
func (d *Difference) Empty() bool { return len(d.Changes) == 0 }

// Text returns d in human-readable form, one line for each change.
func (d *Difference) Text() string {
	if d.Empty() {
		return fmt.Sprintf("no difference to revision %d\n", d.From)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "difference to revision %d:\n", d.From)
	for _, c := range d.Changes {
		fmt.Fprintf(&b, "  %s: %s\n", cmp.Or(string(c.Service), "platform"), c.Kind)
		for _, f := range c.Fields {
			fmt.Fprintf(&b, "    %s: %s -> %s\n", f.Path, cmp.Or(f.From, "(none)"), cmp.Or(f.To, "(none)"))
		}
	}
	for _, s := range d.Shares {
		fmt.Fprintf(&b, "  %s moves in %s: %.1f%% -> %.1f%%, %+.1f Mbit/s, %d window(s) of the shift cap\n",
			s.Service, s.Region, 100*s.From, 100*s.To, s.Mbit, s.Windows)
	}
	return b.String()
}
