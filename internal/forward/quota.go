package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/azureflow/azureflow/internal/routing"
)

// Quotas permits requests of client accounts within their rates over all entry VMs.
type Quotas interface {
	// Take takes the permission for one request of account, which has a limit. It may wait for it until ctx ends. If ok
	// is false the account is over its quota, and a request that comes after retryAfter is let in. expiry is the time
	// until which the permission can be given back.
	Take(ctx context.Context, account *routing.Account) (expiry time.Time, ok bool, retryAfter time.Duration)
	// Return gives back the permission of a request that ran at no server.
	Return(account *routing.Account, expiry time.Time)
}

// takeQuota takes the permission for the request. It returns false if the account is over its quota.
func (x *exchange) takeQuota() (ok bool, retryAfter time.Duration) {
	if x.h.opts.Quotas == nil || x.account == nil || !x.account.IsLimited() {
		return true, 0
	}
	x.permittedUntil, ok, retryAfter = x.h.opts.Quotas.Take(x.ctx, x.account)
	return ok, retryAfter
}

// takeQuotaForRetry takes a further permission for a request that may have run and is sent again: it may run twice. It
// returns false if the account is over its quota.
func (x *exchange) takeQuotaForRetry() bool {
	if !x.mayHaveRun {
		return true
	}
	ok, _ := x.takeQuota()
	return ok
}

// returnQuota gives back the permission of a request that certainly ran at no server and never will.
func (x *exchange) returnQuota() {
	if !x.permittedUntil.IsZero() && !x.mayHaveRun {
		x.h.opts.Quotas.Return(x.account, x.permittedUntil)
	}
}

// respondOverQuota refuses a request of an account that is over its quota. It was sent to no server.
func (x *exchange) respondOverQuota(retryAfter time.Duration) bool {
	if x.r.Context().Err() != nil {
		x.reportFinished(ReasonCallerDisconnected, 0)
		return false
	}
	x.writeProblem(http.StatusTooManyRequests, ReasonOverQuota, "the client account is over its quota of requests", retryAfter)
	return true
}
