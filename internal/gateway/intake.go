package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// What a follower makes of the copies that it reads: configuration, evacuations, servers.

// takeOperator lets take change the copy of the operator's keys and puts what it says in force.
func (f *follower) takeOperator(take func(*storeCopy) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !take(f.operator) {
		return
	}
	zones := make(map[steering.ZoneName]bool)
	for _, e := range f.operator.entries() {
		if e.Key == f.catalog.ConfigKey {
			f.takeConfig(&e)
		}
		if zone, ok := f.catalog.EvacuatedZone(e.Key); ok {
			zones[zone] = true
		}
	}
	if f.registry.evacuate(zones) {
		f.log.WithFields(logrus.Fields{"zones": len(zones), "store_version": f.operator.version}).Info("evacuated zones changed")
		f.chooser.SetMembership(f.registry.membership())
	}
}

// takeConfig puts a configuration in force if it is newer than the one in force.
func (f *follower) takeConfig(e *kv.Entry) {
	if e.Version == f.configRead {
		return
	}
	f.configRead = e.Version
	log := f.log.WithFields(logrus.Fields{"store_version": e.Version})
	config, err := f.catalog.DecodeConfig(e.Value)
	if err != nil {
		log.WithFields(logrus.Fields{"error": err.Error()}).Warn("configuration ignored")
		return
	}
	old := f.table.Load()
	if old != nil && config.Version <= old.Version() {
		log.WithFields(logrus.Fields{"version": config.Version, "in_force": old.Version()}).Warn("configuration ignored")
		return
	}
	table := routing.NewTable(config)
	f.table.Store(table)
	f.chooser.SetTable(table)
	difference := table.DiffFrom(old)
	log.WithFields(logrus.Fields{
		"version": config.Version, "routes": len(config.Routes), "routes_added": difference.Added,
		"routes_changed": difference.Changed, "routes_removed": difference.Removed,
	}).Info("configuration in force")
}

// takeServers lets take change the copy of the servers' entries and passes on what they say. Entries that cannot
// be read name no server.
func (f *follower) takeServers(take func(*storeCopy) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.servers.readAt
	changed := take(f.servers)
	outage := false
	if f.servers.readAt.After(before) {
		outage = f.failed && f.registry.outage(before, time.Now())
		f.failed = false
	}
	if !changed && !outage && f.ready.Load() && !f.registry.waiting() {
		return
	}
	entries := f.servers.entries()
	members := make([]placement.Member, 0, len(entries))
	for i := range entries {
		m, err := f.catalog.DecodeServer(entries[i].Key, entries[i].Value)
		if err != nil {
			f.bad(&entries[i], err)
			continue
		}
		members = append(members, m)
	}
	for _, c := range f.registry.listed(members, time.Now()) {
		f.log.WithFields(logrus.Fields{
			"server": c.member.ID, "service": c.member.Service, "zone": c.member.Zone, "cold_ms": c.member.ColdFor.Milliseconds(),
		}).Info(c.event)
	}
	f.chooser.SetMembership(f.registry.membership())
	if t := f.table.Load(); t != nil {
		f.chooser.SetTable(t)
	}
	f.ready.Store(true)
}

// maxBadKeys bounds the memory of entries that could not be read.
const maxBadKeys = 1000

// bad logs an entry that cannot be read, once.
func (f *follower) bad(e *kv.Entry, err error) {
	if f.badKeys[e.Key] {
		return
	}
	if len(f.badKeys) >= maxBadKeys {
		clear(f.badKeys)
	}
	f.badKeys[e.Key] = true
	f.log.WithFields(logrus.Fields{"key": e.Key, "error": err.Error()}).Warn("entry ignored")
}
