package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// How a follower applies the copies that it reads: configuration, evacuations, servers.

// updateOperator lets update change the copy of the operator's keys and puts the result in force.
func (f *follower) updateOperator(update func(*storeCopy) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.operator.rewind.era
	changed := update(f.operator)
	logRise(f.log, "operator", era, f.operator)
	if !changed && !f.keepsEvacuations {
		return
	}
	zones := make(map[steering.ZoneName]bool)
	f.keepsEvacuations = false
	for _, e := range f.operator.vanishedEntries(time.Now()) {
		if zone, ok := f.catalog.EvacuatedZone(e.Key); ok {
			zones[zone], f.keepsEvacuations = true, true
		}
	}
	for _, e := range f.operator.entries() {
		if e.Key == f.catalog.ConfigKey {
			f.applyConfig(&e)
		}
		if zone, ok := f.catalog.EvacuatedZone(e.Key); ok {
			zones[zone] = true
		}
	}
	if f.registry.setEvacuated(zones) {
		f.log.WithFields(logrus.Fields{"zones": len(zones), "store_version": f.operator.version}).Info("evacuated zones changed")
		f.chooser.SetMembership(f.registry.membership())
	}
}

// applyConfig puts a configuration in force if it is newer than the one in force.
func (f *follower) applyConfig(e *kv.Entry) {
	if e.Version == f.configStoreVersion {
		return
	}
	isOfNewEra := e.Version.Era() != f.configStoreVersion.Era()
	f.configStoreVersion = e.Version
	log := f.log.WithFields(logrus.Fields{"store_version": e.Version})
	config, err := f.catalog.DecodeConfig(e.Value)
	f.configRefused.Store(err != nil)
	if err != nil {
		log.WithFields(logrus.Fields{"error": err.Error()}).Warn("configuration ignored")
		return
	}
	old := f.table.Load()
	if old != nil && isOfNewEra && config.Version == old.Version() {
		return // in force; the store that came back older has it still or again
	}
	if old != nil && config.Version <= old.Version() {
		log.WithFields(logrus.Fields{"version": config.Version, "in_force": old.Version()}).Warn("configuration ignored")
		return
	}
	table := routing.NewTable(config)
	f.table.Store(table)
	f.chooser.SetTable(table)
	difference := table.DiffFrom(old)
	log.WithFields(logrus.Fields{
		"version": config.Version, "routes": len(config.Routes), "accounts": len(config.Accounts), "routes_added": difference.Added,
		"routes_changed": difference.Changed, "routes_removed": difference.Removed,
	}).Info("configuration in force")
}

// updateServers lets update change the copy of the servers' entries and passes the result to the chooser. An entry that
// cannot be decoded adds no server.
func (f *follower) updateServers(update func(*storeCopy) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previousRead, era := f.servers.readAt, f.servers.rewind.era
	changed := update(f.servers)
	if logRise(f.log, "servers", era, f.servers) {
		f.registry.recordRewind(time.Now())
	}
	outage := false
	if f.servers.readAt.After(previousRead) {
		outage = f.serverReadFailed && f.registry.recordOutage(previousRead, time.Now())
		f.serverReadFailed = false
	}
	if !changed && !outage && f.serversRead.Load() && !f.registry.hasRetained() {
		return
	}
	entries := f.servers.entries()
	members := make([]placement.Member, 0, len(entries))
	origins := make(map[placement.ServerID]logrus.Fields)
	for i := range entries {
		if len(entries[i].Value) == 0 {
			continue // an entry that could not be decoded
		}
		if s, err := f.catalog.DecodeServer(entries[i].Key, entries[i].Value); err == nil {
			members = append(members, s.Member)
			origins[s.Member.ID] = logrus.Fields{"seq": s.Seq, "entry_version": entries[i].Version}
		}
	}
	for _, c := range f.registry.applyList(members, time.Now()) {
		f.log.WithFields(logrus.Fields{
			"server": c.member.ID, "service": c.member.Service, "zone": c.member.Zone, "cold_ms": c.member.ColdFor.Milliseconds(),
			"born_ms": c.member.Born.UnixMilli(), "store_version": f.servers.version,
		}).WithFields(origins[c.member.ID]).Info(c.event)
	}
	f.chooser.SetMembership(f.registry.membership())
	if t := f.table.Load(); t != nil {
		f.chooser.SetTable(t)
	}
	f.serversRead.Store(true)
}

// maxUnreadableKeys bounds the memory for keys of unreadable entries.
const maxUnreadableKeys = 1000

// recordUnreadable counts an unreadable entry and logs it once for each key. Peers pass such entries on without their
// content; those are not counted again.
func (f *follower) recordUnreadable(e *kv.Entry, err error) {
	if len(e.Value) == 0 {
		return
	}
	f.metrics.ignoredEntries.Inc()
	if f.unreadableKeys[e.Key] {
		return
	}
	if len(f.unreadableKeys) >= maxUnreadableKeys {
		clear(f.unreadableKeys)
	}
	f.unreadableKeys[e.Key] = true
	f.log.WithFields(logrus.Fields{"key": e.Key, "bytes": len(e.Value), "error": err.Error()}).Warn("entry ignored")
}

// recordOutdated logs and counts an entry of a server that the store wrote after later ones of the same server, or after
// it had removed the server. It does not change what is known of the server.
func (f *follower) recordOutdated(e *kv.Entry, latest writeNumber) {
	f.metrics.outdatedEntries.Inc()
	s, err := f.catalog.DecodeServer(e.Key, e.Value)
	if err != nil {
		return
	}
	f.log.WithFields(logrus.Fields{
		"server": s.Member.ID, "service": s.Member.Service, "zone": s.Member.Zone, "seq": s.Seq,
		"born_ms": s.Member.Born.UnixMilli(), "latest_seq": latest.seq, "latest_born_ms": latest.born,
		"entry_version": e.Version,
	}).Warn("server entry outdated")
}
