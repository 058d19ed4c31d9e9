package quota

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// VM is an entry VM that can be the home of shards.
type VM struct {
	Address  string // for other entry VMs; identifies it
	Region   steering.RegionName
	LinkMbit float64 // bandwidth of its link; 0: unknown
}

// Shard identifies a part of an account's quota.
type Shard struct {
	Account routing.AccountName
	Index   int // from 0, below Shards
}

// Ranking ranks VMs as homes of shards. It is immutable.
type Ranking struct {
	regions  []steering.RegionName
	byRegion map[steering.RegionName][]candidate
	all      []candidate
}

type candidate struct {
	address string
	weight  float64
}

// NewRanking returns the ranking of vms. regions are those of the deployment, in an order that all VMs agree on.
func NewRanking(regions []steering.RegionName, vms []VM) *Ranking {
	r := &Ranking{regions: regions, byRegion: make(map[steering.RegionName][]candidate)}
	for i := range vms {
		c := candidate{address: vms[i].Address, weight: vms[i].weight()}
		r.byRegion[vms[i].Region] = append(r.byRegion[vms[i].Region], c)
		r.all = append(r.all, c)
	}
	return r
}

// HomeOf returns the address of the VM that is the home of s, "" if there are no VMs. A home changes only if the former
// one is not among the VMs any more, or if the new one was not before: a ranking by the link, in which a VM affects the
// others, would not keep that.
func (r *Ranking) HomeOf(s Shard) string {
	start := int(xxhash.Sum64String(string(s.Account))%uint64(max(1, len(r.regions)))) + s.Index
	for i := range r.regions {
		if in := r.byRegion[r.regions[(start+i)%len(r.regions)]]; len(in) > 0 {
			return homeAmong(s, in)
		}
	}
	return homeAmong(s, r.all)
}

// homeAmong returns the home of s among candidates, by weighted rendezvous hashing.
func homeAmong(s Shard, candidates []candidate) string {
	home, highest := "", math.Inf(-1)
	var digest xxhash.Digest
	for i := range candidates {
		c := &candidates[i]
		digest.Reset()
		_, _ = digest.WriteString(string(s.Account)) // never fails
		_, _ = digest.WriteString(strconv.Itoa(s.Index))
		_, _ = digest.WriteString(c.address)
		if score := c.weight / -math.Log(uniform(digest.Sum64())); score > highest || score == highest && c.address < home {
			home, highest = c.address, score
		}
	}
	return home
}

// weight returns the VM's part of the homes, relative to others. It falls with the square of the VM's place in a random
// order, so that a few VMs have most homes and asks go together however many VMs there are, and rises with the square of
// the link's bandwidth, so that narrow links carry hardly any asks. It depends on nothing but the VM itself.
func (vm *VM) weight() float64 {
	relative := max(1, vm.LinkMbit) / uniform(xxhash.Sum64String(vm.Address))
	return relative * relative
}

// uniform returns a number between 0 and 1, exclusively, that is distributed evenly for even hashes.
func uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }
