package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/quota"
)

const (
	askTimeout = 200 * time.Millisecond // several times the delay between regions
	// askInterval is how long asks ahead of need wait, so that they are sent together; well below the time for which a
	// purse keeps tokens.
	askInterval = 60 * time.Millisecond
	// homePause is the time after failed calls in which a home is not called again. One failure may come from a connection
	// that was idle when the home's process was started again.
	homePause       = 400 * time.Millisecond
	maxHomeFailures = 2 // in a row
)

// quotaAsk asks for tokens of a shard.
type quotaAsk struct {
	shard  quota.Shard
	tokens int
	done   func(quotaGrant)
}

// quotaGrant is the answer to an ask. The zero value is that of a home that cannot be reached or may not grant tokens.
type quotaGrant struct {
	tokens  int
	expiry  time.Time
	isValid bool
}

// quotaAsker sends asks to homes, those to the same home together and one call at a time.
type quotaAsker struct {
	pool    *peer.Pool
	self    string // peer address
	metrics *quotaMetrics
	ctx     context.Context
	close   context.CancelFunc // ends the calls

	mu    sync.Mutex
	homes map[string]*quotaOutbox
}

// quotaOutbox holds the asks for one home.
type quotaOutbox struct {
	asks      []*quotaAsk
	isUrgent  bool // the asks are sent as soon as the call in flight has ended
	isCalling bool
	timer     *time.Timer // sends asks that are not urgent; nil: not set
	failures  int         // in a row
	pauseEnd  time.Time
}

func newQuotaAsker(pool *peer.Pool, self string, m *quotaMetrics) *quotaAsker {
	ctx, cancel := context.WithCancel(context.Background())
	return &quotaAsker{pool: pool, self: self, metrics: m, ctx: ctx, close: cancel, homes: make(map[string]*quotaOutbox)}
}

// enqueue sends an ask to home. It calls a.done later, from another goroutine.
func (a *quotaAsker) enqueue(home string, isUrgent bool, ask *quotaAsk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.homes[home]
	if o == nil {
		o = &quotaOutbox{}
		a.homes[home] = o
	}
	if time.Now().Before(o.pauseEnd) {
		go ask.done(quotaGrant{})
		return
	}
	o.asks = append(o.asks, ask)
	o.isUrgent = o.isUrgent || isUrgent
	a.send(home, o)
}

// hurry sends the asks for home without waiting for more.
func (a *quotaAsker) hurry(home string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o := a.homes[home]; o != nil && len(o.asks) > 0 {
		o.isUrgent = true
		a.send(home, o)
	}
}

// send calls home with the asks, unless a call is in flight, or later if none is urgent. The caller holds a.mu.
func (a *quotaAsker) send(home string, o *quotaOutbox) {
	switch {
	case o.isCalling || len(o.asks) == 0:
	case o.isUrgent:
		asks := o.asks
		o.asks, o.isUrgent, o.isCalling = nil, false, true
		if o.timer != nil {
			o.timer.Stop()
			o.timer = nil
		}
		go a.call(home, o, asks)
	case o.timer == nil:
		o.timer = time.AfterFunc(askInterval, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			o.timer, o.isUrgent = nil, true
			a.send(home, o)
		})
	}
}

// call asks home. The tokens live from before the call.
func (a *quotaAsker) call(home string, o *quotaOutbox, asks []*quotaAsk) {
	request := &peer.AskQuotaRequest{Holder: a.self, Asks: make([]*peer.QuotaAsk, len(asks))}
	for i, ask := range asks {
		request.Asks[i] = &peer.QuotaAsk{Account: string(ask.shard.Account), Shard: uint32(ask.shard.Index), Tokens: uint32(ask.tokens)}
	}
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(a.ctx, askTimeout)
	var reply *peer.AskQuotaReply
	err := a.pool.Call(ctx, home, func(c peer.DRPCPeerClient) (err error) {
		reply, err = c.AskQuota(ctx, request)
		return err
	})
	cancel()
	a.metrics.asks.WithLabelValues(callOutcome(err)).Inc()
	for i, ask := range asks {
		var grant quotaGrant
		if grants := reply.GetGrants(); err == nil && i < len(grants) && grants[i].GetLifeMs() > 0 {
			grant.tokens, grant.isValid = int(grants[i].GetTokens()), true
			grant.expiry = requestedAt.Add(time.Duration(grants[i].GetLifeMs()) * time.Millisecond)
		}
		ask.done(grant)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o.isCalling = false
	if o.failures++; err == nil {
		o.failures = 0
	}
	if o.failures >= maxHomeFailures {
		o.pauseEnd = time.Now().Add(homePause)
	}
	a.send(home, o)
}
