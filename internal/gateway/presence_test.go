package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

func testPresence(t *testing.T, records map[string]presenceRecord) *presence {
	t.Helper()
	p := newPresence(newFakeStore(), testSettings("self"), placement.NewChooser(placement.Options{}), discardLog())
	var entries []kv.Entry
	for name, r := range records {
		value, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, kv.Entry{Key: presencePrefix + name, Value: value})
	}
	entries = append(entries, kv.Entry{Key: presencePrefix + "broken", Value: []byte("{")})
	p.applyList(entries)
	p.canServe.Store(true)
	return p
}

func TestLookupReturnsTheNearestEntryVMs(t *testing.T) {
	records := map[string]presenceRecord{
		"a2":   {Zone: "north-a", Region: "north", Requests: "a2:1", Peer: "a2:2"},
		"b":    {Zone: "north-b", Region: "north", Requests: "b:1", Peer: "b:2"},
		"c":    {Zone: "south-a", Region: "south", Requests: "c:1", Peer: "c:2"},
		"self": {Zone: "north-a", Region: "north", Requests: "self:1", Peer: "10.0.0.1:2"},
	}
	for _, test := range []struct {
		region  steering.RegionName
		zone    steering.ZoneName
		leaving bool
		want    []string
	}{
		{"north", "north-a", false, []string{"a2:1", "self:1"}},
		{"north", "north-a", true, []string{"a2:1"}},
		{"north", "north-b", false, []string{"b:1"}},
		{"north", "north-x", false, []string{"a2:1", "b:1", "self:1"}},
		{"south", "south-b", false, []string{"c:1"}},
		{"west", "west-a", false, []string{"a2:1", "b:1", "c:1", "self:1"}},
	} {
		p := testPresence(t, records)
		if test.leaving {
			p.setLeaving()
		}
		found := p.Lookup(test.region, test.zone)
		if !slices.Equal(found.Addresses, test.want) {
			t.Errorf("%s/%s leaving=%v: addresses %v, want %v", test.region, test.zone, test.leaving, found.Addresses, test.want)
		}
		if found.TTL <= 0 || found.TTL > 5*time.Second {
			t.Errorf("lookup result has a TTL of %v, want more than 0 and at most 5 s", found.TTL)
		}
	}
}

// An entry VM that starts while the store is unreachable would attract all callers of its zone and refuse them.
func TestLookupLeavesOutAnEntryVMThatCannotServe(t *testing.T) {
	p := testPresence(t, map[string]presenceRecord{"b": {Zone: "north-b", Region: "north", Requests: "b:1", Peer: "b:2"}})
	p.canServe.Store(false)
	if got := p.Lookup("north", "north-a").Addresses; !slices.Equal(got, []string{"b:1"}) {
		t.Errorf("addresses %v, want the other one of the region", got)
	}
	p = testPresence(t, nil)
	p.canServe.Store(false)
	if got := p.Lookup("north", "north-a").Addresses; len(got) != 0 {
		t.Errorf("addresses %v, want none", got)
	}
}

func TestReaderIsTheSameForAllOfARegion(t *testing.T) {
	p := testPresence(t, map[string]presenceRecord{
		"x": {Region: "north", Requests: "x:1", Peer: "10.0.0.0:2"},
		"y": {Region: "south", Requests: "y:1", Peer: "0.0.0.0:2"},
	})
	if got := p.readerAddress(excludeNone); got != "10.0.0.0:2" {
		t.Errorf("reader is %q, want the first address of the region", got)
	}
	p = testPresence(t, map[string]presenceRecord{"x": {Region: "north", Requests: "x:1", Peer: "10.0.0.9:2"}})
	if got := p.readerAddress(excludeNone); got != "" {
		t.Errorf("reader is %q, want this VM itself", got)
	}
}

// Callers choose evenly among the entry VMs of a lookup result, so a narrow link would delay its share of them.
func TestLookupLeavesOutNarrowLinks(t *testing.T) {
	for _, test := range []struct {
		name string
		mbit map[string]float64
		want []string
	}{
		{"two wide, one narrow", map[string]float64{"a": 12, "b": 200, "c": 200}, []string{"b", "c"}},
		{"equal", map[string]float64{"a": 200, "b": 200, "c": 200}, []string{"a", "b", "c"}},
		{"unknown", map[string]float64{"a": 0, "b": 0, "c": 0}, []string{"a", "b", "c"}},
		{"one wide, one narrow, no other zone: both, as one may die", map[string]float64{"a": 12, "b": 200}, []string{"a", "b"}},
		{"half as wide, as much together", map[string]float64{"a": 100, "b": 200, "c": 100, "d": 100}, []string{"a", "b", "c", "d"}},
		{"many narrow carry more", map[string]float64{"a": 50, "b": 50, "c": 50, "d": 50, "e": 90, "f": 90}, []string{"a", "b", "c", "d", "e", "f"}},
		{"alone", map[string]float64{"a": 12}, []string{"a"}},
	} {
		records := make(map[string]presenceRecord)
		for name, mbit := range test.mbit {
			records[name] = presenceRecord{Zone: "south-a", Region: "south", Requests: name, Peer: name, LinkMbit: mbit}
		}
		found := testPresence(t, records).Lookup("south", "south-a")
		if !slices.Equal(found.Addresses, test.want) {
			t.Errorf("%s: addresses %v, want %v", test.name, found.Addresses, test.want)
		}
	}
}

func TestReaderHasTheWidestLink(t *testing.T) {
	p := testPresence(t, map[string]presenceRecord{
		"x": {Region: "north", Requests: "x:1", Peer: "10.0.0.0:2", LinkMbit: 12},
		"y": {Region: "north", Requests: "y:1", Peer: "10.0.0.2:2", LinkMbit: 200},
	})
	if got := p.readerAddress(excludeNone); got != "10.0.0.2:2" {
		t.Errorf("reader is %q, want the VM with the widest link", got)
	}
}

// If one of a zone's two VMs with wide links is lost, the one with a narrow link beside the other would get half of the
// callers.
func TestZoneWithOneWideLinkIsServedByItsRegion(t *testing.T) {
	p := testPresence(t, map[string]presenceRecord{
		"wide":   {Zone: "south-a", Region: "south", Requests: "1", Peer: "1", LinkMbit: 200},
		"narrow": {Zone: "south-a", Region: "south", Requests: "2", Peer: "2", LinkMbit: 12},
		"next-1": {Zone: "south-b", Region: "south", Requests: "3", Peer: "3", LinkMbit: 200},
		"next-2": {Zone: "south-b", Region: "south", Requests: "4", Peer: "4", LinkMbit: 200},
		"alone":  {Zone: "south-c", Region: "south", Requests: "5", Peer: "5", LinkMbit: 200},
		"far":    {Zone: "west-a", Region: "west", Requests: "6", Peer: "6", LinkMbit: 200},
	})
	for zone, want := range map[steering.ZoneName][]string{
		"south-a": {"1", "3", "4", "5"},
		"south-b": {"3", "4"},
		"south-c": {"5"}, // all entry VMs of the zone
	} {
		if found := p.Lookup("south", zone); !slices.Equal(found.Addresses, want) {
			t.Errorf("%s: addresses %v, want %v", zone, found.Addresses, want)
		}
	}
}

// Only the entry VMs in lookup results count as sharing the region's load.
func TestServingCountIncludesOnlyReturnedAddresses(t *testing.T) {
	p := testPresence(t, map[string]presenceRecord{
		"self":   {Zone: "north-a", Region: "north", Requests: "self:1", LinkMbit: 0},
		"wide-1": {Zone: "north-b", Region: "north", Requests: "1", Peer: "1", LinkMbit: 200},
		"wide-2": {Zone: "north-b", Region: "north", Requests: "2", Peer: "2", LinkMbit: 200},
		"narrow": {Zone: "north-b", Region: "north", Requests: "3", Peer: "3", LinkMbit: 10},
		"far":    {Zone: "south-a", Region: "south", Requests: "4", Peer: "4", LinkMbit: 200},
	})
	if got := p.servingCount(); got != 3 {
		t.Errorf("%d entry VMs serve the region, want 3: this one and the two with wide links", got)
	}
}

func excludeNone(string) bool { return false }

// Regression, review/3: entry VMs that know each other from the store's list keep the bound of a cold server together.
func TestListedEntryVMsKeepTheBoundOfAColdServer(t *testing.T) {
	const vms, perSecond = 26, 1.9
	bounds := placement.ColdBounds{Overage: 1.5, Slack: 10}
	var entries []kv.Entry
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		value, err := json.Marshal(presenceRecord{Zone: "north-a", Region: "north", Requests: name + ":1", Peer: name + ":2"})
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, kv.Entry{Key: presencePrefix + name, Value: value})
	}
	now := time.Now()
	table := routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "desk", ColdPerSecond: perSecond}}})
	cold := placement.Member{
		ID: "a", Service: "desk", Address: "a:1", Zone: "north-a", Region: "north", Slots: 6, Seen: now, ColdFor: time.Minute,
	}
	route := &routing.Route{Name: "lookup", Timeout: 3 * time.Second, TargetLatency: time.Second}
	sent := 0
	for i := range vms {
		s := testSettings(fmt.Sprintf("vm-%d", i))
		s.Listen.Requests, s.Bounds.Cold = fmt.Sprintf("vm-%d:1", i), bounds
		c := placement.NewChooser(s.placementOptions())
		c.SetMembership(&placement.Membership{Members: []placement.Member{cold}})
		c.SetTable(table)
		p := newPresence(newFakeStore(), s, c, discardLog())
		query := &placement.Query{Route: route, Service: "desk", TimeLeft: 3 * time.Second, TargetLeft: time.Second, FirstAttempt: true}
		if to, _ := c.Place(query, now); to != nil {
			t.Fatal("a cold server gets a request of an entry VM that does not know the others")
		}
		p.applyList(entries)
		if to, _ := c.Place(query, now); to != nil {
			sent++
		}
	}
	if limit := perSecond*bounds.Overage + bounds.Slack; sent == 0 || float64(sent) > limit {
		t.Errorf("%d requests at once to a cold server, want some and at most %v", sent, limit)
	}
}

// A caller is sent to its own region whatever the widths of links, as long as an entry VM serves there: a request whose
// route or account is tied to regions must not enter through another one.
func TestLookupStaysInTheCallersRegion(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	zones := map[steering.ZoneName]steering.RegionName{"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
	names := slices.Sorted(maps.Keys(zones))
	for range 200 {
		records, regionOf := make(map[string]presenceRecord), map[string]steering.RegionName{"self:1": "north"}
		for i := range random.IntN(8) {
			zone, name := names[random.IntN(len(names))], fmt.Sprint("vm-", i)
			records[name] = presenceRecord{Zone: zone, Region: zones[zone], Requests: name + ":1", Peer: name, LinkMbit: float64(10 * random.IntN(20))}
			regionOf[name+":1"] = zones[zone]
		}
		p := testPresence(t, records)
		for zone, region := range zones {
			servesRegion := slices.Contains(slices.Collect(maps.Values(regionOf)), region)
			for _, address := range p.Lookup(region, zone).Addresses {
				if servesRegion && regionOf[address] != region {
					t.Fatalf("a caller in %s is sent to %s in %s by %+v", zone, address, regionOf[address], records)
				}
			}
		}
	}
}
