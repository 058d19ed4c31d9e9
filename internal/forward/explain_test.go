package forward

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/azureflow/azureflow/internal/placement"
	"github.com/azureflow/azureflow/internal/routing"
	"github.com/azureflow/azureflow/internal/steering"
)

func TestExplainSaysWhatAdmissionDoes(t *testing.T) {
	for _, ordered := range []bool{false, true} {
		withFullServer(t, ordered, time.Second, func(t *testing.T, env *testEnv) {
			before := env.handler.Waiting()
			question := &Question{Host: "desk.example", Path: lessUrgentPath, Deadline: 3 * time.Second}
			var x *Explanation
			for range 3 {
				var err error
				if x, err = env.handler.Explain(question, time.Now()); err != nil {
					t.Fatal(err)
				}
			}
			if x.Route.Name != "unsafe" || x.Priority != 1 || x.OrdersAdmission != ordered || len(x.Placement.Candidates) != 1 {
				t.Errorf("answer %+v", x)
			}
			response := env.serveAsync(t.Context())
			waiting := env.handler.Waiting() > before
			if (x.Verdict == VerdictWaits) != waiting || waiting != ordered {
				t.Errorf("ordered %v: verdict %s, the request waits: %v", ordered, x.Verdict, waiting)
			}
			r := <-response
			if ordered && r.took > x.Hold+time.Second {
				t.Errorf("the request took %v, which may wait for %v", r.took, x.Hold)
			}
			for _, s := range env.servers {
				if n := s.requestCount(); n > 10 {
					t.Errorf("%d requests were sent, 9 and 1 were made", n)
				}
			}
		})
	}
}

func TestExplainUsesAccountsByName(t *testing.T) {
	withTestEnv(t, []script{respondOK, respondOK}, func(t *testing.T, env *testEnv) {
		routes := testRoutes()
		routes[0].Destinations = []routing.Destination{{Service: "other", Weight: 1}, {Service: "desk", Weight: 3}}
		urgent := 0
		routes[0].Priority = 2
		env.table = routing.NewTable(&routing.Config{
			Version: 2, Routes: routes,
			Accounts: []routing.Account{{Name: "atlas", Keys: []string{"secret"}, Priority: &urgent, AllowedRegions: []steering.RegionName{"near"}}},
		})
		question := &Question{Host: "desk.example", Path: "/safe/x", Account: "atlas"}
		x, err := env.handler.Explain(question, time.Now())
		if err != nil || x.Verdict != VerdictSent || x.Priority != 0 || x.Service != "desk" {
			t.Fatalf("answer %+v, %v", x, err)
		}
		for _, c := range x.Placement.Candidates {
			if excluded := len(c.Exclusions) > 0; excluded != (c.Region == "far") {
				t.Errorf("candidate %+v", c)
			}
		}
		question.Account = ""
		if x, err = env.handler.Explain(question, time.Now()); err != nil || x.Reason != ReasonNoKey || x.Placement != nil {
			t.Errorf("without account: %+v, %v", x, err)
		}
		question.Account = "secret" // a key is no name
		var unknown *UnknownAccountError
		if _, err = env.handler.Explain(question, time.Now()); !errors.As(err, &unknown) {
			t.Errorf("with a key: %v", err)
		}
		question.Account, question.Service = "atlas", "elsewhere"
		var not *NotDestinationError
		if _, err = env.handler.Explain(question, time.Now()); !errors.As(err, &not) {
			t.Errorf("with another service: %v", err)
		}
		question.Service, question.Tried = "", []placement.ServerID{"a"}
		if x, err = env.handler.Explain(question, time.Now()); err != nil || x.Reason != Reason(placement.ReasonNoServer) {
			t.Errorf("with the only allowed server tried: %+v, %v", x, err)
		}
		var none *NoRouteError
		if _, err = env.handler.Explain(&Question{Host: "desk.example", Path: "/x"}, time.Now()); !errors.As(err, &none) ||
			!strings.Contains(err.Error(), "/x") {
			t.Errorf("without route: %v", err)
		}
	})
}
