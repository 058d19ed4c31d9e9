package upstream

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var table = flag.Bool("table", false, "print the table of all policies")

const seeds = 6

// zollbrugg returns the experiment to which the bounds apply.
func zollbrugg(policy Policy, entries, slowed int, load float64, seed uint64) experiment {
	return experiment{
		policy: policy, entries: entries, servers: 12, slowServers: slowed, factor: 20,
		load: load, reportLag: 5 * time.Second, seed: seed,
	}
}

// TestStragglerBounds checks the bounds on the p99 of lookups while servers are 20 times slower for 10 s and load
// reports are 5 s late. The p99 without slow servers is compared with that of round robin, so that a high baseline
// cannot hide the effect of slow servers.
func TestStragglerBounds(t *testing.T) {
	for seed := range uint64(seeds) {
		entries := 7
		if seed == 0 {
			entries = 1
		}
		t.Run(fmt.Sprintf("entries=%d,seed=%d", entries, seed), func(t *testing.T) {
			t.Parallel()
			checkBounds(t, entries, 0.6, seed)
		})
	}
}

func checkBounds(t *testing.T, entries int, load float64, seed uint64) {
	p99 := func(policy Policy, slowed int) time.Duration {
		s := zollbrugg(policy, entries, slowed, load, seed).run()
		if policy != policyBlind && s.unansweredLookups() > 0 {
			t.Errorf("%s, %d slow servers: %d lookups without a response", policy, slowed, s.unansweredLookups())
		}
		return s.percentile(0.99)
	}
	baseline, one, three := p99("", 0), p99("", 1), p99("", 3)
	fair, blind := p99(PolicyRoundRobin, 0), p99(policyBlind, 1)
	t.Logf("p99 %v with no slow server, 1 slow ×%.2f, 3 slow ×%.2f; relative to round robin ×%.2f with none, ×%.4f with 1 slow",
		baseline.Round(10*time.Microsecond), ratio(one, baseline), ratio(three, baseline), ratio(baseline, fair), ratio(one, blind))
	if ratio(one, baseline) > 1.5 || ratio(three, baseline) > 2.5 || ratio(one, blind) > 0.25 || ratio(baseline, fair) > 1.1 {
		t.Error("p99 ratios out of bounds")
	}
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

// TestPolicyTable prints a comparison of the policies. Run with -table.
func TestPolicyTable(t *testing.T) {
	if !*table {
		t.Skip("prints figures only; run with -table")
	}
	const mid = seeds / 2
	policies := []Policy{policyBlind, PolicyRoundRobin, PolicyTwoChoices, PolicyProbed, PolicyLeastLoaded}
	loads := []float64{0.3, 0.6, 0.7}
	fmt.Println("| entry VMs | load | policy | p99 unslowed ms | 1 of 12 slow, ms (min..max) | × | 3 of 12 slow, ms (min..max) | × |")
	for _, entries := range []int{1, 7} {
		for _, load := range loads {
			for _, policy := range policies {
				baseline := sortedP99s(policy, entries, 0, load)
				one := sortedP99s(policy, entries, 1, load)
				three := sortedP99s(policy, entries, 3, load)
				fmt.Printf("| %d | %.1f | %s | %.1f | %.1f (%.1f..%.1f) | %.2f | %.1f (%.1f..%.1f) | %.2f |\n", entries, load, policy,
					baseline[mid], one[mid], one[0], one[seeds-1], one[mid]/baseline[mid], three[mid], three[0], three[seeds-1], three[mid]/baseline[mid])
			}
		}
	}
}

// sortedP99s returns the p99 of every seed in milliseconds, sorted.
func sortedP99s(policy Policy, entries, slowed int, load float64) []float64 {
	var values []float64
	for seed := range uint64(seeds) {
		p99 := zollbrugg(policy, entries, slowed, load, seed).run().percentile(0.99)
		values = append(values, p99.Seconds()*1000)
	}
	slices.Sort(values)
	return values
}

// TestHedgesStayInBudgetInABrownOut slows all servers down. The more servers are slow, the more lookups would be
// hedged. All hedges together must stay within 5% of the lookups plus a burst of 10 on each of 7 entry VMs.
func TestHedgesStayInBudgetInABrownOut(t *testing.T) {
	e := zollbrugg("", 7, 12, 0.1, 1)
	e.factor, e.hedges = 5, true
	s := e.run()
	t.Logf("%d extra attempts for %d lookups", s.extra, s.total)
	if s.extra == 0 || float64(s.extra) > 0.05*float64(s.total)+7*10 {
		t.Fatalf("%d extra attempts for %d lookups, want at least 1 and at most 5 percent plus 70", s.extra, s.total)
	}
}

// TestMomentsTable prints the effect of short slow periods, small zones and hedges. Run with -table.
func TestMomentsTable(t *testing.T) {
	if !*table {
		t.Skip("prints figures only; run with -table")
	}
	print := func(name string, e experiment) {
		var p99, p999, extra []float64
		for seed := range uint64(seeds) {
			e.seed = seed
			s := e.run()
			p99 = append(p99, s.percentile(0.99).Seconds()*1000)
			p999 = append(p999, s.percentile(0.999).Seconds()*1000)
			extra = append(extra, 100*float64(s.extra)/float64(s.total))
		}
		slices.Sort(p99)
		slices.Sort(p999)
		slices.Sort(extra)
		fmt.Printf("| %s | %s | %.1f (%.1f..%.1f) | %.1f (%.1f..%.1f) | %.2f |\n", name, e.policy,
			p99[seeds/2], p99[0], p99[seeds-1], p999[seeds/2], p999[0], p999[seeds-1], extra[seeds/2])
	}
	fmt.Println("| case | policy | p99 ms (min..max) | p99.9 ms (min..max) | extra attempts % |")
	for _, policy := range []Policy{PolicyRoundRobin, PolicyTwoChoices, PolicyProbed, PolicyLeastLoaded} {
		e := zollbrugg(policy, 7, 0, 0.6, 0)
		e.slowMoments = 0.03
		print("12 servers, 3% of moments slow", e)
		e.hedges = true
		print("12 servers, 3% of moments slow, hedges", e)
		small := zollbrugg(policy, 1, 0, 0.3, 0)
		small.servers = 2
		print("2 servers, none slow", small)
		small.slowServers = 1
		print("2 servers, 1 slow for 10 s", small)
		small.hedges = true
		print("2 servers, 1 slow for 10 s, hedges", small)
	}
}
