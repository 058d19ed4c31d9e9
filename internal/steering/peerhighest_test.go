package steering_test

import (
	"context"
	"net"
	"testing"

	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform/refplatformtest"
	"github.com/azureflow/azureflow/internal/steering"
)

// revisionServer implements FetchRevision only.
type revisionServer struct {
	peer.DRPCPeerUnimplementedServer
	*steering.Follower
}

// FetchRevision implements peer.DRPCPeerServer.
func (s *revisionServer) FetchRevision(ctx context.Context, r *peer.FetchRevisionRequest) (*peer.FetchRevisionReply, error) {
	return s.Follower.FetchRevision(ctx, r)
}

// servePeer serves a follower that has the revision now in the store and returns its address.
func servePeer(t *testing.T, store *refplatformtest.Store) string {
	t.Helper()
	c, err := newPublisher(store.Client).InForce(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := steering.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	f := steering.NewFollower(steering.FollowerOptions{})
	if err := f.Offer(t.Context(), encoded); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = peer.Serve(t.Context(), l, &revisionServer{Follower: f}) }()
	return l.Addr().String()
}

func TestPublishAfterRestoreContinuesFromPeers(t *testing.T) {
	store := refplatformtest.NewStore(refplatformtest.StoreOptions{})
	publishBase(t, store.Client)
	old := store.Snapshot()
	low := servePeer(t, store)
	mustPublish(t, newPublisher(store.Client), alpha(t, 2))
	high := servePeer(t, store)
	store.Restore(old)
	pool := peer.NewPool(nil)
	defer pool.Close()
	p := steering.NewPublisher(steering.PublisherOptions{
		Store: store,
		HighestInForce: steering.HighestFromPeers(pool, func(context.Context) ([]string, error) {
			return []string{low, "127.0.0.1:1", high}, nil
		}),
	})
	result := mustPublish(t, p, beta(t, 7))
	if result.Revision != 3 || result.StoreWasBehind == nil || *result.StoreWasBehind != 1 {
		t.Fatalf("got %+v", result)
	}
	c, err := p.InForce(t.Context())
	if err != nil || northWeight(c, "alpha") != 2 || northWeight(c, "beta") != 7 {
		t.Fatalf("got %+v %v", c, err)
	}
}
