package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azureflow/azureflow/internal/link"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

// sohar is the link that the tests fill: 280 Mbit/s from batinah to muscat.
var sohar = direction{"batinah", "muscat"}

const (
	soharMbit = 280.0
	wireStep  = 2 * time.Millisecond
	usable    = 0.9 // of a link, in any window of a second
)

// filler is an entry VM that puts bytes on the link.
type filler struct {
	links *links
	row   vm.VM
	naive *link.Pacer   // paced by the VMs seen now alone
	lag   time.Duration // of the VM lists that it reads
	busy  bool
	// A paused VM neither sends nor hears; what it knew stays.
	paused bool
	// The loops of a starved VM do not run, its senders do.
	starved bool
}

// wire is the link with all VMs that fill it.
type wire struct {
	t        *testing.T
	cfg      *steering.Configuration
	began    time.Time
	vms      []*filler
	lists    []listing
	listDown bool
	sent     []float64 // bytes, by wireStep
	naive    []float64
}

type listing struct {
	at   time.Time
	rows []vm.VM
}

func newWire(t *testing.T, vms int) *wire {
	w := &wire{t: t, began: time.Now(), cfg: &steering.Configuration{Platform: steering.Platform{
		Links: []steering.Link{{From: sohar.from, To: sohar.to, CapacityMbit: soharMbit}},
	}}}
	for range vms {
		w.start(0)
	}
	return w
}

// start adds a VM, at each end of the link in turn.
func (w *wire) start(lag time.Duration) *filler {
	n := len(w.vms) + 1
	at := []steering.RegionName{sohar.from, sohar.to}[n%2]
	row := vm.VM{Name: vm.Name(fmt.Sprintf("entry-%d", n)), Kind: vm.KindEntry, Region: at}
	v := &filler{links: newLinks(Identity{Name: row.Name, Region: at}), row: row, lag: lag, busy: true}
	v.naive = link.NewPacer(link.Options{CapacityMbit: soharMbit})
	v.links.update(w.cfg, time.Now())
	w.vms = append(w.vms, v)
	w.list(func(vm.Name) bool { return true })
	return v
}

// list publishes a VM list.
func (w *wire) list(keep func(vm.Name) bool) {
	var rows []vm.VM
	for _, v := range w.vms {
		if keep(v.row.Name) {
			rows = append(rows, v.row)
		}
	}
	w.lists = append(w.lists, listing{at: time.Now(), rows: rows})
}

func (w *wire) listAt(at time.Time) []vm.VM {
	rows := w.lists[0].rows
	for _, l := range w.lists {
		if !l.at.After(at) {
			rows = l.rows
		}
	}
	return rows
}

// run lets the VMs work for d.
func (w *wire) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(wireStep) {
		step := int(time.Since(w.began) / wireStep)
		var sent, naive float64
		for i, v := range w.vms {
			if v.paused {
				continue
			}
			// Senders run first: a VM that wakes sends before it hears anything.
			if v.busy {
				sent += send(v.links.lane(sohar).pacer)
				naive += send(v.naive)
			}
			if !v.starved {
				w.serve(v, step+i*37)
			}
		}
		w.sent, w.naive = append(w.sent, sent), append(w.naive, naive)
	}
}

// send sends what the pacer lets through and returns it, bytes.
func send(p *link.Pacer) (sent float64) {
	const quantum = 4 << 10
	for p.TryAcquire(steering.ClassBulk, quantum) {
		sent += quantum
	}
	return sent
}

// serve runs the loops of a VM whose tick has come.
func (w *wire) serve(v *filler, step int) {
	now := time.Now()
	second := int(time.Second / wireStep)
	if step%second == 0 {
		if !w.listDown {
			rows := w.listAt(now.Add(-v.lag))
			v.links.observeList(rows, now, now)
			v.naive.SetRate(soharMbit / float64(max(1, len(fillers(rows, sohar)))))
		}
		v.links.update(w.cfg, now)
	}
	if step%(second/2) == 0 {
		w.ask(v, now)
	}
}

// ask runs a round of loans.
func (w *wire) ask(v *filler, now time.Time) {
	asks := v.links.asks(now)
	for _, other := range w.vms {
		if asks[other.row.Name] == nil || other.paused {
			continue
		}
		request := &peer.AskRatesRequest{Holder: string(v.row.Name), Asks: asks[other.row.Name]}
		reply, err := other.links.AskRates(context.Background(), request)
		if err != nil {
			w.t.Fatal(err)
		}
		v.links.take(other.row.Name, reply, now, now)
	}
}

// rate returns what a VM may send, own what of it is its own, Mbit/s.
func (l *links) rate(key direction) float64 { return l.lane(key).share.Rate(time.Now()) }
func (l *links) own(key direction) float64  { return l.lane(key).share.OwnRate(time.Now()) }

// fullest returns the fullest second, as a share of the link.
func fullest(steps []float64) float64 {
	second := int(time.Second / wireStep)
	window, most := 0.0, 0.0
	for i, bytes := range steps {
		window += bytes
		if i >= second {
			window -= steps[i-second]
		}
		most = max(most, window)
	}
	return most * 8 / 1e6 / soharMbit
}

// meanCarried returns the mean of the last d, as a share of the link.
func meanCarried(steps []float64, d time.Duration) float64 {
	sum := 0.0
	for _, bytes := range steps[len(steps)-int(d/wireStep):] {
		sum += bytes
	}
	return sum * 8 / 1e6 / soharMbit / d.Seconds()
}

// TestDifferingViewsStayWithinTheLink: all VMs send as much as they may, and see VMs come, go and pause
// at different times. No second may carry more than 90% of the link.
func TestDifferingViewsStayWithinTheLink(t *testing.T) {
	cases := []struct {
		name string
		do   func(w *wire)
	}{
		{"a VM just seen", func(w *wire) {
			w.start(0)
			w.run(30 * time.Second)
		}},
		{"a VM just gone, killed", func(w *wire) {
			gone := w.vms[4]
			gone.paused = true
			w.list(func(n vm.Name) bool { return n != gone.row.Name })
			w.run(30 * time.Second)
		}},
		{"a VM just gone from the list, still sending", func(w *wire) {
			gone := w.vms[4].row.Name
			w.list(func(n vm.Name) bool { return n != gone })
			w.run(30 * time.Second)
		}},
		{"a paused VM wakes", func(w *wire) {
			paused := w.vms[4]
			paused.paused = true
			w.list(func(n vm.Name) bool { return n != paused.row.Name })
			w.run(30 * time.Second)
			paused.paused, paused.starved = false, true
			w.run(2 * time.Second)
			paused.starved = false
			w.run(30 * time.Second)
		}},
		{"a VM replaced while the list is down", func(w *wire) {
			w.listDown = true
			w.run(3 * time.Second)
			w.vms[4].paused = true
			w.start(0)
			w.run(30 * time.Second)
			w.listDown = false
			w.run(30 * time.Second)
		}},
		{"demand moves from one VM to the others and back", func(w *wire) {
			for i := range 6 {
				for j, v := range w.vms {
					v.busy = (j == 0) == (i%2 == 0)
				}
				w.run(5 * time.Second)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWire(t, 5)
				for i, v := range w.vms {
					v.lag = time.Duration(i) * 1200 * time.Millisecond
				}
				w.run(40 * time.Second)
				start := fullest(w.sent)
				w.sent, w.naive = nil, nil
				c.do(w)
				t.Logf("fullest second: %.3f of the link; divided by the VMs seen: %.3f", fullest(w.sent), fullest(w.naive))
				if got := max(start, fullest(w.sent)); got > usable {
					t.Errorf("a second carried %.4f of the link, allowed %.2f", got, usable)
				}
			})
		})
	}
}

// TestUnusedPartsAreLent: one VM sends and the others are idle; nothing of the VM list is heard at last.
func TestUnusedPartsAreLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire(t, 5)
		w.run(40 * time.Second)
		all, allNaive := meanCarried(w.sent, 5*time.Second), meanCarried(w.naive, 5*time.Second)
		for _, v := range w.vms[1:] {
			v.busy = false
		}
		w.run(15 * time.Second)
		one, oneNaive := meanCarried(w.sent, 5*time.Second), meanCarried(w.naive, 5*time.Second)
		for _, v := range w.vms {
			v.busy = true
		}
		w.run(5 * time.Second)
		for _, v := range w.vms {
			if got, own := v.links.rate(sohar), v.links.own(sohar); got < own {
				t.Errorf("%s has %.1f Mbit/s 5 s after it became busy again, its own part is %.1f", v.row.Name, got, own)
			}
		}
		for _, v := range w.vms[1:] {
			v.busy = false
		}
		w.listDown = true
		w.run(time.Minute)
		down := meanCarried(w.sent, 5*time.Second)
		t.Logf("carried of the link: all send %.3f (divided by the VMs seen: %.3f), one sends %.3f (%.3f), list down for a minute %.3f",
			all, allNaive, one, oneNaive, down)
		const want = 0.9 * usable
		if all < want || one < want || down < want {
			t.Errorf("carried %.3f, %.3f, %.3f of the link, want %.2f", all, one, down, want)
		}
	})
}
