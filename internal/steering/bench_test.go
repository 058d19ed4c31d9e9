package steering

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/kv"
	"github.com/azureflow/azureflow/internal/standin/memkv"
)

// benchSizes are numbers of services; the last is the target.
var benchSizes = []int{30, 120, 480, 1800}

// benchConfiguration returns a configuration of n services in 47 regions with 107 zones; each service
// is in 9 regions. The values are random with a fixed seed.
func benchConfiguration(n int) *Configuration {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	c := &Configuration{Revision: 1, Publication: "1.0.0123456789abcdef", PublishedAt: time.Unix(1_900_000_000, 0).UTC()}
	c.Platform = benchPlatform(n)
	for i := range n {
		s := DefaultService()
		s.Name = ServiceName(fmt.Sprintf("service-%05d", i))
		s.Team = TeamName(fmt.Sprintf("team-%03d", i%200))
		for j := range 3 {
			s.Operations = append(s.Operations, Operation{
				Name: OperationName(fmt.Sprintf("operation-%d", j)), Method: "GET", Path: fmt.Sprintf("/objects-%d/{id}", j),
				Idempotent: j > 0, Class: Class(j), Deadline: Duration(DefaultDeadline(Class(j))),
				ExpectedBytes: random.Int64N(1 << 21), PeakRequests: float64(random.IntN(1000)), ServiceTime: Duration(10 * time.Millisecond),
			})
		}
		for j := range 9 {
			region := c.Platform.Regions[(i*7+j*5)%len(c.Platform.Regions)].Name
			s.Weights = append(s.Weights, RegionWeight{Region: region, Weight: float64(1 + random.IntN(100)), Slots: random.IntN(200)})
		}
		c.Services = append(c.Services, s)
	}
	return c
}

func benchPlatform(services int) Platform {
	p := Platform{Deployment: "bench", Links: []Link{}}
	zones := 0
	for i := range 47 {
		r := Region{Name: RegionName(fmt.Sprintf("region-%02d", i))}
		for range 2 + i%4/3 {
			r.Zones = append(r.Zones, ZoneName(fmt.Sprintf("zone-%03d", zones)))
			zones++
		}
		p.Regions = append(p.Regions, r)
	}
	for _, from := range p.Regions {
		for _, to := range p.Regions {
			if from.Name != to.Name {
				p.Links = append(p.Links, Link{from.Name, to.Name, 4000, Duration(40 * time.Millisecond)})
			}
		}
	}
	for i := range 200 {
		t := Team{Name: TeamName(fmt.Sprintf("team-%03d", i)), Services: []ServiceName{}}
		for j := i; j < services; j += 200 {
			t.Services = append(t.Services, ServiceName(fmt.Sprintf("service-%05d", j)))
		}
		p.Teams = append(p.Teams, t)
	}
	return p
}

// benchChange returns a state of n services and a change of one service on top of it, encoded.
func benchChange(b *testing.B, n int) (*state, []byte) {
	s, err := newState(benchConfiguration(n))
	if err != nil {
		b.Fatal(err)
	}
	service := s.configuration.Services[n/2]
	service.Weights = append([]RegionWeight(nil), service.Weights...)
	service.Weights[0].Weight = 77
	r := &publishRun{}
	_, encoded, err := r.completeDelta(s, &delta{Services: []Service{service}}, publication{2, kv.Version(1), "0123456789abcdef"})
	if err != nil {
		b.Fatal(err)
	}
	return s, encoded
}

// BenchmarkTakeDelta applies a change of one service, as each entry VM does for each publication.
func BenchmarkTakeDelta(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s, encoded := benchChange(b, n)
			b.ReportAllocs()
			for b.Loop() {
				d, err := decodeDelta(encoded)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := s.apply(d, encoded); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "wire-bytes/change")
		})
	}
}

// BenchmarkTakeWhole applies the full configuration, as each publication would need without deltas.
func BenchmarkTakeWhole(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s, _ := benchChange(b, n)
			encoded, err := s.encodeFull()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				c, err := Decode(encoded)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := newState(c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded)), "wire-bytes/change")
		})
	}
}

// BenchmarkLoadTree reads and checks the files of an example.
func BenchmarkLoadTree(b *testing.B) {
	for b.Loop() {
		if _, report := LoadTree([]string{"../../examples/sohar"}); !report.OK() {
			b.Fatal(report.Err())
		}
	}
}

// BenchmarkStateBytes reports the memory that a VM holds for a configuration.
func BenchmarkStateBytes(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			c := benchConfiguration(n)
			encoded, err := Encode(c)
			if err != nil {
				b.Fatal(err)
			}
			retained := make([]*state, 0, b.N)
			before := heapBytes()
			for range b.N {
				decoded, err := Decode(encoded)
				if err != nil {
					b.Fatal(err)
				}
				s, err := newState(decoded)
				if err != nil {
					b.Fatal(err)
				}
				retained = append(retained, s)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(retained)), "heap-bytes/state")
			runtime.KeepAlive(retained)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkPublish runs complete publications of one service against an in-memory store.
func BenchmarkPublish(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			store := memkv.New(memkv.Options{})
			p := NewPublisher(PublisherOptions{Store: store, Timeout: time.Minute})
			c := benchConfiguration(n)
			src := &source{file: "bench"}
			whole := &Tree{platform: &c.Platform, platformSource: src}
			for i := range c.Services {
				whole.services = append(whole.services, loadedService{c.Services[i], src})
			}
			if _, err := p.Publish(b.Context(), whole, PublishOptions{}); err != nil {
				b.Fatal(err)
			}
			one := &Tree{services: []loadedService{{c.Services[n/2], src}}}
			one.services[0].Weights = slices.Clone(one.services[0].Weights)
			calls := store.Counts().Total()
			for i := 0; b.Loop(); i++ {
				one.services[0].Weights[0].Weight = float64(101 + i)
				if _, err := p.Publish(b.Context(), one, PublishOptions{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(store.Counts().Total()-calls)/float64(b.N), "store-calls/publication")
		})
	}
}
