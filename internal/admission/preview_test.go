package admission

import (
	"reflect"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// Two queues get the same requests; one is also asked before each. They stay equal, and decide as the answers say.
func TestPreviewChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	asked, other := NewQueue(), NewQueue()
	accounts := []*routing.Account{{Name: "one", Rate: 5}, {Name: "two", Rate: 9}, nil}
	for i := range 600 {
		now = now.Add(time.Duration(i%7) * 3 * time.Millisecond)
		ticket := func() *Ticket {
			return &Ticket{
				Priority: i % 3, Account: accounts[i%len(accounts)], Target: time.Second, Work: 20 * time.Millisecond,
				Wait: time.Second, Returned: i%5 == 0,
			}
		}
		a, b := ticket(), ticket()
		preview := asked.Preview(ticket(), now)
		retryAfter := preview.RetryAfter(ticket(), time.Second, 3*time.Second, now)
		asked.RecordArrival(a, now)
		other.RecordArrival(b, now)
		if got := asked.WaitBounds(a, now); got != preview.Bounds || got != other.WaitBounds(b, now) {
			t.Fatalf("bounds %+v, foretold %+v", got, preview.Bounds)
		}
		if i%4 == 0 {
			got := asked.RetryAfter(a, time.Second, 3*time.Second, now)
			if want := other.RetryAfter(b, time.Second, 3*time.Second, now); got != want || got != retryAfter {
				t.Fatalf("return after %v, foretold %v, %v where nothing was asked", got, retryAfter, want)
			}
		} else {
			asked.Add(a, now)
			other.Add(b, now)
		}
		if !reflect.DeepEqual(asked, other) {
			t.Fatal("the state differs from that of the queue that was not asked")
		}
	}
}
