package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/placement"
)

// oddScene is two entry VMs: one reads the changes of the store, the other gets copies from it.
type oddScene struct {
	store         *fakeStore
	reader, other *follower
}

func newOddScene(t *testing.T) *oddScene {
	store := newFakeStore()
	return &oddScene{store: store, reader: newTestFollower(t, store, "one"), other: newTestFollower(t, store, "two")}
}

// put writes an entry and lets both entry VMs learn of it.
func (o *oddScene) put(key, value string) {
	o.store.writeEntry(kv.Entry{Key: key, Value: []byte(value)})
	o.read()
}

func (o *oddScene) remove(key string) {
	o.store.remove(key)
	o.read()
}

// read lets one entry VM read the whole store and the other copy from it.
func (o *oddScene) read() {
	entries, version, _ := o.store.List(context.Background(), "server/")
	o.reader.updateServers(func(c *storeCopy) bool { return c.applyList(entries, version, time.Now()) })
	m := copyUpdate(o.reader.servers, o.other.servers.describe(), time.Now())
	o.other.updateServers(func(c *storeCopy) bool {
		changed, _ := mergeCopy(c, m, time.Now())
		return changed
	})
}

// member returns what an entry VM knows of a server; the zero value: nothing.
func member(f *follower, id placement.ServerID) placement.Member { return f.registry.members[id] }

// oddValues are entries that name no server, by the fake catalog or beside a server of zone north-a that started at 5.
var oddValues = map[string]string{
	"bytes":                       "\xff",
	"nothing":                     "",
	"broken":                      `{"Broken":true}`,
	"another zone, higher number": `{"Zone":"south-a","Born":5,"Beat":9000}`,
	"no such zone, later start":   `{"Zone":"nowhere","Born":9,"Beat":1}`,
	"without a number":            `{"Zone":"north-a"}`,
}

// Regression, review/1: an odd entry under the key of a running server took its place.
func TestOddEntryDoesNotHideTheServer(t *testing.T) {
	for name, odd := range oddValues {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOddScene(t)
				o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":7}`)
				for range 3 {
					o.put("server/a", odd)
					for _, f := range []*follower{o.reader, o.other} {
						if m := member(f, "a"); m.Zone != "north-a" || m.Draining {
							t.Errorf("server is known as %+v", m)
						}
					}
				}
				// The server's next heartbeats count, whatever number the odd entry had.
				o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":8,"Draining":true}`)
				for _, f := range []*follower{o.reader, o.other} {
					if m := member(f, "a"); !m.Draining {
						t.Errorf("the server's own entry is not followed: %+v", m)
					}
				}
			})
		})
	}
}

// Regression, review/2: an odd entry under the key of a server that leaves or has left brought it back.
func TestOddEntryDoesNotBringAServerBack(t *testing.T) {
	for name, odd := range oddValues {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOddScene(t)
				o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":7,"Draining":true}`)
				o.put("server/a", odd)
				for _, f := range []*follower{o.reader, o.other} {
					if m := member(f, "a"); !m.Draining {
						t.Errorf("the server that leaves is known as %+v", m)
					}
				}
				o.remove("server/a")
				o.put("server/a", odd)
				o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":7}`) // late, see TestLateHeartbeatChangesNothing
				for _, f := range []*follower{o.reader, o.other} {
					if f.knownServers()["a"] {
						t.Errorf("the server that left is known again: %+v", member(f, "a"))
					}
				}
				o.put("server/a", `{"Zone":"north-a","Born":6,"Beat":1}`)
				if !o.reader.knownServers()["a"] || !o.other.knownServers()["a"] {
					t.Error("a later start of the server is not known")
				}
			})
		})
	}
}

// The server was removed and an odd entry written between two reads.
func TestOddEntryAfterARemovalThatWasNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOddScene(t)
		o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":7}`)
		o.store.remove("server/a")
		o.put("server/a", "\xff")
		if o.reader.knownServers()["a"] || o.other.knownServers()["a"] {
			t.Error("the server that left is still known")
		}
	})
}

// An entry VM that starts while an odd entry hides a server learns of the server from a peer.
func TestEntryVMThatStartsBehindAnOddEntryLearnsFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOddScene(t)
		o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":7}`)
		o.put("server/a", "\xff")
		late := newTestFollower(t, o.store, "three")
		entries, version, _ := o.store.List(context.Background(), "server/")
		late.updateServers(func(c *storeCopy) bool { return c.applyList(entries, version, time.Now()) })
		if late.knownServers()["a"] {
			t.Fatal("an odd entry names a server")
		}
		m := copyUpdate(o.reader.servers, late.servers.describe(), time.Now())
		late.updateServers(func(c *storeCopy) bool {
			changed, _ := mergeCopy(c, m, time.Now())
			return changed
		})
		if !late.knownServers()["a"] {
			t.Error("the peer's copy did not bring the server")
		}
	})
}

// A copy that knows that a server left, and one that only read the odd entry in its place, agree: neither needs to be
// fetched as a whole again and again.
func TestCopiesAgreeBehindAnOddEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOddScene(t)
		o.put("server/a", `{"Zone":"north-a","Born":5,"Beat":7}`)
		o.remove("server/a")
		o.put("server/a", "\xff")
		late := newTestFollower(t, o.store, "three")
		entries, version, _ := o.store.List(context.Background(), "server/")
		late.updateServers(func(c *storeCopy) bool { return c.applyList(entries, version, time.Now()) })
		if !late.servers.isConsistentWith(o.reader.servers.digest, version) || !o.other.servers.isConsistentWith(late.servers.digest, version) {
			t.Error("the copies differ")
		}
	})
}

// An address of an entry VM, by the settings or by the list of the entry VMs, is no server's.
func TestAddressOfAnEntryVMIsNoServer(t *testing.T) {
	f := newTestFollower(t, newFakeStore(), "one")
	s := testSettings("one")
	s.Listen.Directory, s.Seeds = "server/directory", []string{"server/seed"}
	f.setSettings(s)
	f.listedVMs = func() []presenceRecord {
		return []presenceRecord{{Requests: "server/requests", Peer: "server/peer", Directory: "server/directory-2", Readiness: "server/ready"}}
	}
	var entries []kv.Entry
	for i, id := range []string{"directory", "seed", "requests", "peer", "directory-2", "ready", "server"} {
		entries = append(entries, kv.Entry{Key: "server/" + id, Version: kv.Version(i + 1), Value: []byte(`{"Zone":"north-a","Born":1}`)})
	}
	f.updateServers(func(c *storeCopy) bool { return c.applyList(entries, 9, time.Unix(1, 0)) })
	if known := f.knownServers(); len(known) != 1 || !known["server"] {
		t.Errorf("known servers are %v, want only the one at no entry VM's address", known)
	}
}

func TestEntryOfAnEntryVMWithMissingFieldsIsIgnored(t *testing.T) {
	p := newPresence(newFakeStore(), testSettings("one"), placement.NewChooser(placement.Options{}), discardLog())
	listed := p.decodeList([]kv.Entry{
		{Key: "a", Value: []byte(`{"zone":"north-a","region":"north"}`)},
		{Key: "c", Value: []byte(`{}`)},
		{Key: "d", Value: []byte(`null`)},
		{Key: "e", Value: []byte(`{"zone":"north-a","region":"north","requests":"10.0.0.3:1"}`)},
	})
	if len(listed) != 1 || listed[0].Requests != "10.0.0.3:1" {
		t.Errorf("listed entry VMs are %+v", listed)
	}
}

// Odd entries in any order among heartbeats, reports of leaving, restarts and removals: both entry VMs know the same of
// each server as without the odd entries.
func TestOddEntriesChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		odd, plain := newOddScene(t), newOddScene(t)
		type server struct {
			born, beat int
			draining   bool
		}
		servers := make(map[string]*server)
		odds := []string{"\xff", "", "null", `{"Broken":true}`, "[", `{"Zone":7}`, `{"Zone":"north-a","Broken":true,"Beat":99999,"Born":99999}`}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			id := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(rt, "server"))
			s, key := servers[id], "server/"+id
			switch step := rapid.IntRange(0, 5).Draw(rt, "step"); {
			case step <= 1:
				odd.put(key, rapid.SampledFrom(odds).Draw(rt, "odd"))
				continue
			case step == 2 && s != nil:
				odd.remove(key)
				plain.remove(key)
				delete(servers, id)
				continue
			case step == 3 && s != nil:
				s.draining = true
			case s == nil || step == 4:
				born := 1 + int(odd.store.version)
				servers[id] = &server{born: born}
			}
			s = servers[id]
			s.beat++
			value := fmt.Sprintf(`{"Zone":"north-a","Born":%d,"Beat":%d,"Draining":%v}`, s.born, s.beat, s.draining)
			odd.put(key, value)
			plain.put(key, value)
			for id := range servers {
				for i, f := range []*follower{odd.reader, odd.other} {
					got, want := member(f, placement.ServerID(id)), member([]*follower{plain.reader, plain.other}[i], placement.ServerID(id))
					got.Seen, want.Seen = time.Time{}, time.Time{}
					if got != want {
						rt.Fatalf("entry VM %d knows %+v, want %+v", i, got, want)
					}
				}
			}
			if a, b, c := len(odd.reader.registry.members), len(odd.other.registry.members), len(servers); a != c || b != c {
				rt.Fatalf("%d and %d servers are known, want %d", a, b, c)
			}
		}
	})
}
