package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/standin/memkv"
)

// largeTree returns a tree whose configuration stays larger than one value of the store when compressed.
func largeTree(seed uint64) *Tree {
	random := rand.New(rand.NewPCG(seed, 0))
	const services, operations = 40, 110
	c := benchConfiguration(services)
	src := &source{file: "large"}
	tree := &Tree{platform: &c.Platform, platformSource: src}
	for i := range c.Services {
		first := c.Services[i].Operations[0]
		c.Services[i].Operations = nil
		for j := range operations {
			first.Name, first.Path = OperationName(fmt.Sprint("operation-", j)), randomPath(random)
			c.Services[i].Operations = append(c.Services[i].Operations, first)
		}
		tree.services = append(tree.services, loadedService{c.Services[i], src})
	}
	return tree
}

func randomPath(random *rand.Rand) string {
	path := "/"
	for len(path) < maxPathBytes-16 {
		path += fmt.Sprintf("%016x", random.Uint64())
	}
	return path
}

// The time is virtual: a publication has a timeout of 15 s, which computation on a busy machine may exceed.
func TestLargeConfigurationIsPublishedInChunks(t *testing.T) {
	synctest.Test(t, publishInChunks)
}

func publishInChunks(t *testing.T) {
	store := memkv.New(memkv.Options{})
	p := NewPublisher(PublisherOptions{Store: store})
	follower := NewFollower(FollowerOptions{Store: store})
	for seed := range uint64(2) {
		tree := largeTree(seed)
		result, err := p.Publish(t.Context(), tree, PublishOptions{})
		if err != nil || result.Revision != Revision(seed+1) {
			t.Fatalf("got %+v %v", result.Revision, err)
		}
		if _, err := follower.readStore(t.Context()); err != nil {
			t.Fatal(err)
		}
		want, err := ContentDigest(tree.Configuration())
		if err != nil || follower.Status().Digest != want || follower.Revision() != result.Revision {
			t.Fatalf("digest %v, want %v, %v", follower.Status().Digest, want, err)
		}
	}
	entries, _, err := store.List(t.Context(), snapshotPrefix)
	if err != nil || len(entries) < 2 || len(entries) > 3 {
		t.Fatalf("%d chunks, %v", len(entries), err)
	}
	for _, entry := range entries {
		if len(entry.Value) > kv.MaxValueBytes {
			t.Errorf("%s holds %d bytes", entry.Key, len(entry.Value))
		}
	}
}
