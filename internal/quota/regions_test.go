package quota

import (
	"fmt"
	"testing"

	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

// Two VMs whose settings differ by a region without VMs agree on the homes.
func TestHomesDoNotDependOnRegionsWithoutVMs(t *testing.T) {
	vms := []VM{{Address: "1", Region: "a"}, {Address: "2", Region: "b"}, {Address: "3", Region: "c"}}
	differ := 0
	for i := range 30 {
		s := Shard{Account: routing.AccountName(fmt.Sprint(i))}
		if NewRanking([]steering.RegionName{"a", "b", "c"}, vms).HomeOf(s) != NewRanking([]steering.RegionName{"a", "b", "c", "d"}, vms).HomeOf(s) {
			differ++
		}
	}
	if differ > 0 {
		t.Errorf("%d of 30 shards have two homes", differ)
	}
}
