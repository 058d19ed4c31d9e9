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

// HomeOf returns the address of the VM that is the home of s, "" if there are no VMs. regions are those of the
// deployment, in an order that all VMs agree on. A home changes only if the former one is not among vms any more, or
// if the new one was not before: a ranking by the link, in which a VM affects the others, would not keep that.
func HomeOf(s Shard, regions []steering.RegionName, vms []VM) string {
	start := int(xxhash.Sum64String(string(s.Account))%uint64(max(1, len(regions)))) + s.Index
	for i := range regions {
		if home := homeIn(s, regions[(start+i)%len(regions)], vms); home != "" {
			return home
		}
	}
	return homeIn(s, "", vms)
}

// homeIn returns the home of s among the VMs of a region, or among all if region is empty, by weighted rendezvous
// hashing. The weight is the square of the link's bandwidth, so that narrow links carry hardly any asks.
func homeIn(s Shard, region steering.RegionName, vms []VM) string {
	home, highest := "", math.Inf(-1)
	var digest xxhash.Digest
	for i := range vms {
		vm := &vms[i]
		if region != "" && vm.Region != region {
			continue
		}
		digest.Reset()
		_, _ = digest.WriteString(string(s.Account)) // never fails
		_, _ = digest.WriteString(strconv.Itoa(s.Index))
		_, _ = digest.WriteString(vm.Address)
		uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
		weight := max(1, vm.LinkMbit) * max(1, vm.LinkMbit)
		if score := weight / -math.Log(uniform); score > highest || score == highest && vm.Address < home {
			home, highest = vm.Address, score
		}
	}
	return home
}
