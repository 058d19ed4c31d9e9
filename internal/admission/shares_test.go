package admission

import (
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// What an account without a quota counts for depends neither on which account came first nor on an earlier quota.
func TestSharesFollowQuotas(t *testing.T) {
	open := &routing.Account{Name: "open"}
	limited := &routing.Account{Name: "limited", Rate: 50}
	formerly := &routing.Account{Name: "limited", Rate: 5}
	for name, order := range map[string][]*routing.Account{
		"open first":    {open, limited},
		"limited first": {limited, open},
		"quota changed": {formerly, open, limited},
	} {
		s := newShares()
		for _, a := range order {
			s.claim(a, 1, start)
			s.refund(a, 1, start)
		}
		for range 10 {
			s.claim(open, 1, start)
			s.claim(limited, 1, start)
		}
		if s.isOver(open) || s.isOver(limited) {
			t.Errorf("%s: over the others with equal work: open %v, limited %v", name, s.isOver(open), s.isOver(limited))
		}
		if got := s.claim(open, 0, start); got < 0.199 || got > 0.201 {
			t.Errorf("%s: share %v, want 10 s of work for 50 a second", name, got)
		}
		for range 30 {
			s.claim(open, 1, start)
		}
		if !s.isOver(open) {
			t.Errorf("%s: four times the work of the other is not over it", name)
		}
		if s.claim(limited, 0, start.Add(forgottenAfter+time.Second)); len(s.accounts) != 1 || s.openWork != 0 || s.limited != 1 {
			t.Errorf("%s: the unused account counts still", name)
		}
	}
}
