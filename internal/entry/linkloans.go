package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azureflow/azureflow/internal/link"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/vm"
)

const (
	loanLife     = 2 * time.Second        // of a rate lent on a link
	loanInterval = 500 * time.Millisecond // between two rounds of asking
	loanTimeout  = 400 * time.Millisecond // of one call
	busyPart     = 0.8                    // of its rate that a VM fills before it asks for more
	busyHold     = 3 * time.Second        // for which a VM that was busy lends nothing; longer than a loan
	growth       = 1.25                   // times what a lender uses now is kept when it lends
)

// askRatesFunc calls AskRates at an entry VM.
type askRatesFunc func(ctx context.Context, to vm.Name, req *peer.AskRatesRequest) (*peer.AskRatesReply, error)

// linkLoans asks the VMs that fill the same links for what they do not use, and to be counted by them
// when the VM list does not answer. A VM with room enough and a fresh list asks nothing.
type linkLoans struct {
	links *links
	ask   askRatesFunc
}

// run asks every loanInterval until ctx ends.
func (l *linkLoans) run(ctx context.Context) {
	tick := time.NewTicker(loanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		l.round(ctx)
	}
}

// round asks each VM once for all directions on which something is wanted of it, in parallel.
func (l *linkLoans) round(ctx context.Context) {
	var group errgroup.Group
	for to, asks := range l.links.asks(time.Now()) {
		group.Go(func() error {
			l.askOne(ctx, to, asks)
			return nil
		})
	}
	_ = group.Wait()
}

func (l *linkLoans) askOne(ctx context.Context, to vm.Name, asks []*peer.RateAsk) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	asked := time.Now()
	reply, err := l.ask(ctx, to, &peer.AskRatesRequest{Holder: string(l.links.self.Name), Asks: asks})
	if err == nil {
		l.links.take(to, reply, asked, time.Now())
	}
}

// asks returns what this VM asks of others at the time now.
func (l *links) asks(now time.Time) map[vm.Name][]*peer.RateAsk {
	l.mu.Lock()
	defer l.mu.Unlock()
	asks := make(map[vm.Name][]*peer.RateAsk)
	for _, key := range l.directions() {
		own := l.lane(key)
		wanted := own.wanted(now)
		if wanted == 0 && !own.share.NeedsResponses(now) {
			continue
		}
		for _, to := range own.share.Members() {
			ask := &peer.RateAsk{From: string(key.from), To: string(key.to), WantedMbit: wanted}
			if loan, ok := own.share.GrantFrom(to, now); ok {
				ask.LoanId = loan.ID
			}
			asks[to] = append(asks[to], ask)
		}
	}
	return asks
}

// wanted returns the rate to borrow from each other VM, Mbit/s: as much again as this VM has, once it
// fills that.
func (l *lane) wanted(now time.Time) float64 {
	u := l.pacer.Usage(now)
	if !u.Waiting && u.LastMbit1s < busyPart*u.SteadyMbit {
		return 0
	}
	l.busy = now
	return max(u.CapacityMbit, l.share.OwnRate(now))
}

// used returns the part of a lane that its own VM needs, Mbit/s. A VM that was busy may need all that it
// has: what it sent is bounded by what it lent.
func (l *lane) used(now time.Time) float64 {
	if l.wanted(now) > 0 || now.Sub(l.busy) < busyHold {
		return l.share.OwnRate(now)
	}
	u := l.pacer.Usage(now)
	return u.LastMbit1s * u.CapacityMbit / u.LimitMbit
}

// take notes the answer of another VM.
func (l *links) take(from vm.Name, reply *peer.AskRatesReply, asked, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, answer := range reply.GetAnswers() {
		own := l.lane(direction{steering.RegionName(answer.GetFrom()), steering.RegionName(answer.GetTo())})
		if own == nil {
			continue
		}
		own.share.RecordResponse(from, asked, now)
		if answer.GetLoanId() != 0 {
			own.share.ReceiveGrant(loanOf(from, l.self.Name, answer), asked)
		}
		own.apply(now)
	}
}

func loanOf(from, to vm.Name, a *peer.RateAnswer) link.RateGrant {
	return link.RateGrant{ID: a.GetLoanId(), From: from, To: to, Mbit: a.GetMbit(), TTL: time.Duration(a.GetLifeMs()) * time.Millisecond}
}

// AskRates implements peer.DRPCPeerServer. Directions that this VM does not know are left out of the
// answer.
func (l *links) AskRates(_ context.Context, req *peer.AskRatesRequest) (*peer.AskRatesReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &peer.AskRatesReply{}
	for _, ask := range req.GetAsks() {
		own := l.lane(direction{steering.RegionName(ask.GetFrom()), steering.RegionName(ask.GetTo())})
		if own != nil {
			reply.Answers = append(reply.Answers, own.answer(vm.Name(req.GetHolder()), ask, now))
		}
	}
	return reply, nil
}

// answer counts the asker and lends it what this VM does not use.
func (l *lane) answer(to vm.Name, ask *peer.RateAsk, now time.Time) *peer.RateAnswer {
	l.share.RecordContact(to, now)
	answer := &peer.RateAnswer{From: ask.GetFrom(), To: ask.GetTo()}
	if ask.GetWantedMbit() <= 0 {
		return answer
	}
	used := max(l.used(now), l.share.Floor()) // the floor stays for lookups that come at once
	var loan link.RateGrant
	var ok bool
	if ask.GetLoanId() != 0 {
		loan, ok = l.share.Renew(to, ask.GetLoanId(), ask.GetWantedMbit(), used, loanLife, now)
	} else {
		loan, ok = l.share.Grant(to, ask.GetWantedMbit(), used*growth, loanLife, now)
	}
	if ok {
		l.apply(now)
		answer.LoanId, answer.Mbit, answer.LifeMs = loan.ID, loan.Mbit, uint32(loan.TTL.Milliseconds())
	}
	return answer
}
