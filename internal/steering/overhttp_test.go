package steering_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/standin"
	"github.com/azureflow/azureflow/internal/steering"
)

// TestPublishAndFollowOverHTTP runs publisher and follower against the stand-in over TCP, with responses
// lost by closed connections.
func TestPublishAndFollowOverHTTP(t *testing.T) {
	stand := standin.NewPlatform(standin.PlatformOptions{})
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	client := func(name string) *refplatform.Client {
		return refplatform.NewClient(refplatform.ClientOptions{StoreURL: server.URL, VMListURL: server.URL, Name: name, Timeout: time.Minute})
	}
	applied := make(chan steering.Revision, 100)
	f := steering.NewFollower(steering.FollowerOptions{
		Store:      client("vm"),
		OnRevision: func(c *steering.Configuration) { applied <- c.Revision },
	})
	defer run(t, f)()
	p := steering.NewPublisher(steering.PublisherOptions{Store: client("publish"), Timeout: time.Hour})
	mustPublish(t, p, mustLoad(t, "platform.jsonc", testPlatform,
		"alpha.steering.jsonc", serviceFile("alpha", "red", 1), "beta.steering.jsonc", serviceFile("beta", "blue", 1)))
	const last = 12
	for north := 2; north <= last; north++ {
		stand.SetFaults("publish", standin.PlatformFaults{LoseAnswers: north % 3, LoseRequests: north % 2})
		if r := mustPublish(t, p, alpha(t, north)); r.Revision != steering.Revision(north) {
			t.Fatalf("revision %d, want %d", r.Revision, north)
		}
	}
	for revision := range applied {
		if revision == last {
			break
		}
	}
	if northWeight(f.Current(), "alpha") != last {
		t.Errorf("got %+v", f.Current())
	}
}
