package steering

import (
	"context"
	"sync"
	"time"

	"github.com/azureflow/azureflow/internal/peer"
)

const (
	maxPeersQueried    = 16
	peerHighestTimeout = 2 * time.Second
)

// HighestFromPeers returns a PublisherOptions.HighestInForce that queries the entry VMs at the
// peer addresses which addresses returns, at most 16 of them. VMs that do not respond are skipped.
func HighestFromPeers(pool *peer.Pool, addresses func(context.Context) ([]string, error)) func(context.Context) (*Configuration, error) {
	return func(ctx context.Context) (*Configuration, error) {
		ctx, cancel := context.WithTimeout(ctx, peerHighestTimeout)
		defer cancel()
		all, err := addresses(ctx)
		if err != nil {
			return nil, err
		}
		reply := highestReply(ctx, pool, all[:min(len(all), maxPeersQueried)])
		if reply.GetRevision() == 0 {
			return nil, nil
		}
		return Decode(reply.GetConfiguration())
	}
}

// highestReply queries the peers concurrently and returns the reply with the highest revision.
func highestReply(ctx context.Context, pool *peer.Pool, addresses []string) *peer.FetchRevisionReply {
	var mu sync.Mutex
	highest := &peer.FetchRevisionReply{}
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			_ = pool.Call(ctx, address, func(c peer.DRPCPeerClient) error {
				reply, err := c.FetchRevision(ctx, &peer.FetchRevisionRequest{})
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				if reply.GetRevision() > highest.GetRevision() {
					highest = reply
				}
				return nil
			})
		})
	}
	group.Wait()
	return highest
}
