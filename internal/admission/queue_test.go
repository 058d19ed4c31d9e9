package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

var start = time.Unix(1000, 0)

// yieldWait is the wait up to which a ticket that yields is sent.
const yieldWait = time.Duration(yieldWaitShare * float64(time.Second))

// ticket returns a ticket that can be in time.
func ticket(priority int, work time.Duration) *Ticket {
	return &Ticket{Priority: priority, Work: work, Target: time.Second, InTime: true}
}

// drain sends all waiting tickets and returns them in order.
func drain(q *Queue) []*Ticket {
	var order []*Ticket
	q.TryNext(q.Waiting(), start, func(t *Ticket) (done, sent bool) {
		order = append(order, t)
		return true, true
	})
	return order
}

func TestWhatLosesMostByWaitingGoesFirst(t *testing.T) {
	const work = 100 * time.Millisecond
	late := &Ticket{Priority: 1, Work: work, Target: time.Second}
	returned := &Ticket{Priority: 1, Work: work, Target: time.Second, Returned: true}
	long, short, urgent := ticket(1, 4*work), ticket(1, work), ticket(0, 4*work)
	q := NewQueue()
	for _, x := range []*Ticket{late, returned, long, short, urgent} {
		q.Add(x, start)
	}
	want := []*Ticket{urgent, short, long, returned, late}
	for i, got := range drain(q) {
		if got != want[i] {
			t.Errorf("%d: %+v, want %+v", i, got, want[i])
		}
	}
	if q.Waiting() != 0 {
		t.Errorf("%d still wait", q.Waiting())
	}
}

// Under lasting pressure of urgent requests, others get a turn among every few.
func TestLessUrgentRequestsGetTurns(t *testing.T) {
	q := NewQueue()
	for range 40 {
		q.Add(ticket(0, time.Second), start)
		q.Add(ticket(2, time.Second), start)
	}
	less := 0
	for _, x := range drain(q)[:40] {
		if x.Priority == 2 {
			less++
		}
	}
	if less != 10 {
		t.Errorf("%d of 40 turns for the less urgent ones, want 10: more than a quarter of the mean of 20", less)
	}
}

func TestFullQueueDisplacesWhatCostsLeast(t *testing.T) {
	q := NewQueue()
	var longest *Ticket
	for i := range maxWaiting {
		x := ticket(1, time.Duration(i+1)*time.Millisecond)
		if q.Add(x, start) != nil {
			t.Fatalf("displaced at %d", i)
		}
		longest = x
	}
	if got := q.Add(ticket(0, time.Hour), start); got != longest {
		t.Errorf("an urgent request displaced %+v, want the longest of the less urgent ones", got)
	}
	less := ticket(2, time.Millisecond)
	if got := q.Add(less, start); got != less {
		t.Errorf("a less urgent request displaced %+v, want itself", got)
	}
	if q.Waiting() != maxWaiting || q.Remove(less, start) || q.Remove(longest, start) {
		t.Error("displaced requests still wait")
	}
}

// What finds no room keeps its place, and does not keep others from being tried.
func TestRequestWithoutRoomDoesNotBlockOthers(t *testing.T) {
	q := NewQueue()
	first, second, third := ticket(0, 1), ticket(1, 1), ticket(2, 1)
	for _, x := range []*Ticket{third, second, first} {
		q.Add(x, start)
	}
	var tried []*Ticket
	q.TryNext(2, start, func(x *Ticket) (done, sent bool) {
		tried = append(tried, x)
		return x == second, true
	})
	if len(tried) != 2 || tried[0] != first || tried[1] != second {
		t.Errorf("tried %v, want the first two", tried)
	}
	if order := drain(q); len(order) != 2 || order[0] != first || order[1] != third {
		t.Errorf("left are %v", order)
	}
}

// An account that asks for several times its quota waits behind others, and yields to them at the servers.
func TestFloodingAccountPaysFirst(t *testing.T) {
	q := NewQueue()
	flood, small := &routing.Account{Name: "flood", Rate: 10}, &routing.Account{Name: "small", Rate: 10}
	add := func(a *routing.Account) *Ticket {
		x := ticket(1, 100*time.Millisecond)
		x.Account = a
		q.RecordArrival(x, start)
		q.Add(x, start)
		return x
	}
	for range 20 {
		add(flood)
	}
	last := add(small)
	if inTime := q.WaitBounds(last, start).InTime; inTime <= yieldWait {
		t.Error("the small account yields")
	}
	if inTime := q.WaitBounds(add(flood), start).InTime; inTime > yieldWait {
		t.Error("the flooding account does not yield")
	}
	if order := drain(q); order[1] != last {
		t.Error("the small account waits behind more than one request of the flooding one")
	}
}

// Accounts of any size get work in proportion to their quotas, none less than a quarter of the mean.
func TestNoAccountIsStarved(t *testing.T) {
	q := NewQueue()
	accounts := make([]*routing.Account, 20)
	served := make(map[*routing.Account]int)
	for i := range accounts {
		accounts[i] = &routing.Account{Name: routing.AccountName(fmt.Sprint(i)), Rate: 10}
	}
	now := start
	for step := range 400 { // an account asks for up to 20 times as much as another; a tenth of it has room
		for range 2 {
			for i, a := range accounts {
				if step%(20-i) == 0 {
					x := ticket(1, 50*time.Millisecond)
					x.Account = a
					q.Add(x, now)
				}
			}
		}
		q.TryNext(1, now, func(x *Ticket) (done, sent bool) {
			served[x.Account]++
			return true, true
		})
		now = now.Add(10 * time.Millisecond)
	}
	for _, a := range accounts {
		if mean := 400 / len(accounts); served[a] < mean/4 {
			t.Errorf("account %s got %d, the mean is %d", a.Name, served[a], mean)
		}
	}
}

// While more urgent requests come, others leave the longer waits to them.
func TestLessUrgentRequestsYield(t *testing.T) {
	q := NewQueue()
	urgent, other := ticket(0, 1), ticket(1, 1)
	q.RecordArrival(other, start)
	if inTime := q.WaitBounds(other, start).InTime; inTime <= yieldWait {
		t.Errorf("yields alone, to %v", inTime)
	}
	q.RecordArrival(urgent, start)
	if inTime := q.WaitBounds(other, start).InTime; inTime > yieldWait {
		t.Error("does not yield")
	}
	if inTime := q.WaitBounds(urgent, start).InTime; inTime <= yieldWait {
		t.Error("the urgent request yields")
	}
	if inTime := q.WaitBounds(other, start.Add(2*kindHalfLife)).InTime; inTime <= yieldWait {
		t.Error("yields to requests that came long ago")
	}
}

// Requests of a kind that is hardly sent any more, since more urgent ones take the room, yield no longer.
func TestStarvedKindDoesNotYield(t *testing.T) {
	q := NewQueue()
	urgent, other := ticket(0, 1), ticket(1, 1)
	for i := range 40 {
		q.RecordArrival(urgent, start)
		q.RecordArrival(other, start)
		if i%2 == 0 {
			q.RecordSent(urgent, start)
		}
	}
	if inTime := q.WaitBounds(other, start).InTime; inTime <= yieldWait {
		t.Error("none was sent, and it yields")
	}
	for range 15 {
		q.RecordSent(other, start)
	}
	if inTime := q.WaitBounds(other, start).InTime; inTime > yieldWait {
		t.Error("it is sent nearly as often as the urgent kind, and does not yield")
	}
}

// Callers of a burst that is refused at once return at the rate at which room comes free beside new requests, while
// they still wait.
func TestReturnsAreSpread(t *testing.T) {
	for _, test := range []struct {
		newRequests bool
		min, max    int // callers that return within a second
	}{{false, 75, 100}, {true, 7, 15}} {
		q := NewQueue()
		now := start
		for range 400 { // 100 a second
			q.RecordEnded(now)
			if test.newRequests {
				q.RecordArrival(ticket(1, time.Second), now)
			}
			now = now.Add(10 * time.Millisecond)
		}
		within, last := 0, time.Duration(0)
		refused := ticket(1, 100*time.Millisecond)
		refused.Wait = 10 * time.Second
		for range 200 {
			after := q.RetryAfter(refused, 0, 3*time.Second, now)
			if after < MinRetryAfter || after > 1450*time.Millisecond {
				t.Fatalf("retry after %v, want time for another attempt", after)
			}
			if after < time.Second {
				within++
			}
			last = max(last, after)
		}
		if within < test.min || within > test.max || last < 1400*time.Millisecond {
			t.Errorf("%d callers return in the first second, the last after %v; want %d to %d", within, last, test.min, test.max)
		}
	}
}

// A caller is not kept away for longer than the queue that it found lasts.
func TestReturnAfterTheQueue(t *testing.T) {
	q := NewQueue()
	refused := ticket(1, 100*time.Millisecond)
	refused.Wait = 400 * time.Millisecond
	for range 20 {
		if after := q.RetryAfter(refused, 0, 10*time.Second, start); after > 800*time.Millisecond {
			t.Fatalf("retry after %v where the wait for a slot was 400 ms", after)
		}
	}
}

// A caller that can still be served in time is asked to return in time for that.
func TestReturnInTime(t *testing.T) {
	q := NewQueue()
	for range 20 { // without any room, one a second
		if after := q.RetryAfter(ticket(1, time.Second), 3*time.Second, 10*time.Second, start); after > time.Second {
			t.Fatalf("retry after %v, too late for a response within 3 s that takes 1 s", after)
		}
	}
}

func TestHoldLeavesTimeForTheResponse(t *testing.T) {
	x := ticket(1, 400*time.Millisecond)
	if got := x.HoldUntil(start, start.Add(time.Minute)); got != start.Add(125*time.Millisecond) {
		t.Errorf("held until %v", got.Sub(start))
	}
	if got := x.HoldUntil(start, start.Add(300*time.Millisecond)); got.After(start) {
		t.Error("a request whose response cannot come in time is held")
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := NewQueue()
			accounts := make([]*routing.Account, waiting)
			for i := range accounts {
				accounts[i] = &routing.Account{Name: routing.AccountName(fmt.Sprint(i)), Rate: 10}
			}
			q.limit = 2 * waiting
			add := func(i int) {
				x := &Ticket{Priority: i % 3, Account: accounts[i%waiting], Work: time.Millisecond, Target: time.Second, InTime: true}
				q.Add(x, start)
			}
			for i := range waiting {
				add(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				add(i)
				q.TryNext(1, start, func(*Ticket) (done, sent bool) { return true, true })
			}
		})
	}
}
