package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// What may be used in a window, by buckets and tokens that live on, is within the bound for all limits.
func TestTermsAreWithinTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Window:  time.Duration(rapid.IntRange(1000, 20000).Draw(t, "window")) * time.Millisecond,
			Overage: rapid.Float64Range(0, 0.5).Draw(t, "overage"), Slack: rapid.Float64Range(2*Shards, 200).Draw(t, "slack"),
		}
		rate, burst := rapid.Float64Range(0.01, 1e5).Draw(t, "rate"), rapid.Float64Range(0, 1e5).Draw(t, "burst")
		terms := b.TermsOf(rate, burst)
		most := (rate*b.Window.Seconds()+burst)*(1+b.Overage) + b.Slack
		used := Shards * (terms.Burst + terms.Rate*(b.Window+terms.Life).Seconds())
		if used > most*(1+1e-9) || terms.Life < minLife || terms.Burst < 1 {
			t.Fatalf("%v for rate %v, burst %v: %v are used in a window, want at most %v", terms, rate, burst, used, most)
		}
	})
}

// A demand that is even and within the quota of each window is let in, with what the pages' bounds leave.
func TestEvenDemandGetsTheQuotaOfAWindow(t *testing.T) {
	for _, limits := range [][2]float64{{2, 2}, {20, 20}, {112, 112}, {500, 0}, {500, 500}, {100, 500}} {
		terms := testBounds.TermsOf(limits[0], limits[1])
		if got, want := Shards*terms.Rate*testBounds.Window.Seconds(), limits[0]*testBounds.Window.Seconds()+limits[1]; got < want*0.999 {
			t.Errorf("rate %v, burst %v: %v requests in a window, want %v", limits[0], limits[1], got, want)
		}
	}
}

// A home changes only to a VM that joined, or from one that left.
func TestHomesChangeOnlyWithTheVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []steering.RegionName{"a", "b", "c"}
		var vms []VM
		for i := range rapid.IntRange(1, 12).Draw(t, "vms") {
			vms = append(vms, VM{Address: fmt.Sprint(i), Region: rapid.SampledFrom(regions).Draw(t, "region"), LinkMbit: float64(rapid.IntRange(0, 200).Draw(t, "link"))})
		}
		without := rapid.IntRange(0, len(vms)-1).Draw(t, "without")
		fewer := append(append([]VM(nil), vms[:without]...), vms[without+1:]...)
		for i := range Shards {
			s := Shard{Account: routing.AccountName(rapid.String().Draw(t, "account")), Index: i}
			all, less := NewRanking(regions, vms).HomeOf(s), NewRanking(regions, fewer).HomeOf(s)
			if all != less && all != vms[without].Address {
				t.Fatalf("home of %v moved from %s to %s when %s left", s, all, less, vms[without].Address)
			}
		}
	})
}

func TestBucketIsDividedByDemand(t *testing.T) {
	now := time.Unix(1e9, 0)
	l, s, terms := NewLedger(), Shard{Account: "x"}, Terms{Rate: 100, Burst: 100, Life: time.Second}
	since := now.Add(-time.Minute)
	if got := l.Grant(s, terms, "a", 80, since, now); got != 80 {
		t.Errorf("%d tokens of a full bucket, want 80", got)
	}
	if got := l.Grant(s, terms, "b", 80, since, now); got != 10 {
		t.Errorf("%d of 20 tokens for the second of two askers, want half", got)
	}
	if got := l.Grant(s, Terms{Rate: 1, Burst: 4}, "c", 80, since, now); got > 4 {
		t.Errorf("%d tokens under a lower limit, want at most 4", got)
	}
	if got := l.Grant(Shard{Account: "y"}, terms, "a", 80, now.Add(-100*time.Millisecond), now); got != 10 {
		t.Errorf("%d tokens of a home since 100 ms, want 10", got)
	}
}

func TestPurseSpendsAndExpires(t *testing.T) {
	now := time.Unix(1e9, 0)
	var p Purse
	p.Deposit(2, now.Add(2*time.Second), now)
	p.Deposit(1, now.Add(time.Second), now)
	if expiry, ok := p.Spend(now); !ok || !expiry.Equal(now.Add(time.Second)) {
		t.Errorf("the first token spent expires at %v, want the one that expires first", expiry)
	}
	p.Refund(now.Add(time.Second), now)
	if got := p.Held(now.Add(time.Second)); got != 2 {
		t.Errorf("%d tokens after one expired, want 2", got)
	}
	p.Refund(now, now.Add(time.Second))
	if got := p.Held(now.Add(2 * time.Second)); got != 0 {
		t.Errorf("%d tokens after all expired", got)
	}
}

// Refused requests are told to return one after the other, at the rate at which tokens come.
func TestRetriesAreSpreadAtTheRate(t *testing.T) {
	now := time.Unix(1e9, 0)
	var p Purse
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		p.Deposit(1, now.Add(time.Second), now)
	}
	first, second := p.RetryAfter(1000, now), p.RetryAfter(1000, now)
	if gap := second - first; gap < 15*time.Millisecond || gap > 25*time.Millisecond {
		t.Errorf("two retries are %v apart at 50 tokens a second, want 20ms", gap)
	}
	for range 10000 {
		if d := p.RetryAfter(1000, now); d > maxRetryAfter {
			t.Fatalf("retry after %v", d)
		}
	}
}

func BenchmarkGrant(b *testing.B) {
	for _, accounts := range []int{100, 10_000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			l, now := NewLedger(), time.Unix(1e9, 0)
			shards := make([]Shard, accounts)
			for i := range shards {
				shards[i].Account = routing.AccountName(fmt.Sprint("account-", i))
			}
			holders := []string{"a", "b", "c", "d"}
			since := now
			terms := testBounds.TermsOf(100, 100)
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(10 * time.Microsecond)
				l.Grant(shards[i%accounts], terms, holders[rand.IntN(len(holders))], 3, since, now)
			}
		})
	}
}

func BenchmarkHomeOf(b *testing.B) {
	for _, n := range []int{35, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			regions := []steering.RegionName{"a", "b", "c"}
			vms := make([]VM, n)
			for i := range vms {
				vms[i] = VM{Address: fmt.Sprint("10.1.0.", i, ":8384"), Region: regions[i%3], LinkMbit: 200}
			}
			ranking := NewRanking(regions, vms)
			b.ReportAllocs()
			for range b.N {
				ranking.HomeOf(Shard{Account: "account-1", Index: 1})
			}
		})
	}
}

// Of 100 equal VMs of a region, those that most accounts ask are few.
func TestFewVMsAreHomes(t *testing.T) {
	var vms []VM
	for i := range 100 {
		vms = append(vms, VM{Address: fmt.Sprintf("10.1.0.%d:8384", i), Region: "a", LinkMbit: 200})
	}
	homes := make(map[string]int)
	ranking := NewRanking([]steering.RegionName{"a"}, vms)
	for i := range 200 {
		homes[ranking.HomeOf(Shard{Account: routing.AccountName(fmt.Sprint("account-", i))})]++
	}
	if len(homes) > 20 {
		t.Errorf("200 accounts have %d homes, want at most 20", len(homes))
	}
	t.Logf("200 accounts have %d homes", len(homes))
}
