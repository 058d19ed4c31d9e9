package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/quota"
	"github.com/azureflow/azureflow/internal/routing"
)

// BenchmarkTake measures the decision on a request whose account has tokens at the VM, the home included.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := make([]routing.Account, n)
			for i := range accounts {
				accounts[i] = routing.Account{Name: routing.AccountName(fmt.Sprint("account-", i)), Rate: 1e6, Burst: 1e6}
			}
			table := routing.NewTable(&routing.Config{Version: 1, Accounts: accounts})
			store := newFakeStore()
			s := testSettings("self")
			p := newPresence(store, s, placement.NewChooser(placement.Options{}), discardLog())
			f := &follower{}
			f.table.Store(table)
			q := newQuotas(p, peer.NewPool(nil), f, s, newQuotaMetrics(prometheus.NewRegistry()), discardLog())
			p.recordListing(1, time.Now(), time.Hour)
			p.updateList(func(c *storeCopy) bool { return c.applyList(nil, 1, time.Now().Add(time.Hour)) })
			q.home.joinedAs = p.listing.Load()
			q.home.role.Join(time.Now().Add(-time.Hour))
			ctx := context.Background()
			b.ReportAllocs()
			refused := 0
			for i := range b.N {
				if _, ok, _ := q.Take(ctx, &accounts[i%n]); !ok {
					refused++
				}
			}
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

// Sizes of messages, on which the table of the design note rests.
func TestQuotaMessageSizes(t *testing.T) {
	request := &peer.AskQuotaRequest{Holder: "10.1.64.85:8384"}
	reply := &peer.AskQuotaReply{}
	empty, emptyReply := proto.Size(request), proto.Size(reply)
	for i := range quota.Shards {
		request.Asks = append(request.Asks, &peer.QuotaAsk{Account: "account-1234", Shard: uint32(i), Tokens: 40})
		reply.Grants = append(reply.Grants, &peer.QuotaGrant{Tokens: 40, LifeMs: 320})
	}
	ask, grant := (proto.Size(request)-empty)/quota.Shards, (proto.Size(reply)-emptyReply)/quota.Shards
	if empty > 20 || ask > 20 || grant > 8 {
		t.Errorf("a request has %d bytes and %d an ask, a reply %d a grant", empty, ask, grant)
	}
	t.Logf("a request has %d bytes and %d an ask, a reply %d a grant", empty, ask, grant)
}
