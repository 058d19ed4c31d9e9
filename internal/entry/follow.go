package entry

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/azureflow/azureflow/internal/contract"
	"github.com/azureflow/azureflow/internal/peer"
	"github.com/azureflow/azureflow/internal/refplatform"
	"github.com/azureflow/azureflow/internal/review"
	"github.com/azureflow/azureflow/internal/steering"
	"github.com/azureflow/azureflow/internal/telemetry"
	"github.com/azureflow/azureflow/internal/vm"
	"github.com/azureflow/azureflow/internal/zone"
)

// pokes holds what is called when something changed that the topology depends on. The parts that
// call it are built before the topology is.
type pokes struct{ fn func() }

func (p *pokes) poke() {
	if p.fn != nil {
		p.fn()
	}
}

// followed is the follower with what it depends on built late.
type followed struct {
	fx.Out

	Follower *steering.Follower
	Pokes    *pokes
	Alarms   *alarms
}

func provideFollower(
	s *steering.Settings, self Identity, store refplatform.Store, p *peers, l *vm.Leaders,
	recorder review.Recorder, m *telemetry.Metrics, log logrus.FieldLogger,
) followed {
	out := followed{Pokes: &pokes{}, Alarms: &alarms{}}
	out.Follower = steering.NewFollower(steering.FollowerOptions{
		Store:          store,
		WatchStore:     func() bool { return l.IsLeader(self.Zone, self.Name) },
		FetchFromPeers: p.fetchRevision,
		OnRevision: func(cfg *steering.Configuration) {
			m.RevisionInForce(cfg.Revision)
			recorder.Record(&review.Record{
				Kind: review.KindRevision, Revision: cfg.Revision, Constraint: review.ConstraintNone, Result: "in force",
			})
			log.WithFields(logrus.Fields{"revision": cfg.Revision}).Info("revision_in_force")
			out.Pokes.poke()
		},
		OnAlarm: func(a steering.Alarm) {
			m.RevisionDenied(string(a.Kind))
			out.Alarms.add(a, time.Now())
			recorder.Record(&review.Record{
				Kind: review.KindRevision, Revision: a.InForce, Constraint: review.ConstraintNone, Result: string(a.Kind),
			})
			log.WithFields(logrus.Fields{"kind": a.Kind, "in_force": a.InForce, "other": a.Other, "reason": a.Reason}).Warn("revision_alarm")
		},
		StoreCallsPerMin: s.Limits.StoreCallsPerMin,
	})
	return out
}

func provideDomains(
	self Identity, store refplatform.Store, d *vm.Directory, book *contract.SlotPool, l *vm.Leaders, p *peers, rooms *rooms,
	c *contacts, recorder review.Recorder, log logrus.FieldLogger,
) *domains {
	return newDomains(domainDeps{
		self: self, store: store, directory: d, book: book, leaders: l, peers: p, contacts: c, onChange: rooms.signalAll,
		onLeader: func(name steering.ZoneName, s zone.State) {
			l.Merge([]*peer.LeaderState{{Zone: string(name), Vm: string(s.VM), Epoch: s.Epoch}})
			recorder.Record(&review.Record{
				Kind: review.KindLeader, Constraint: review.ConstraintNone, Result: string(s.VM),
				Inputs: []review.Input{{Name: "zone", Value: string(name)}},
			})
			log.WithFields(logrus.Fields{"zone": name, "leader": s.VM, "epoch": s.Epoch}).Info("leader_changed")
		},
	})
}

func provideExchanger(d *vm.Directory, state *selfState, l *vm.Leaders, pool *peer.Pool) *vm.Exchanger {
	return vm.NewExchanger(vm.ExchangerOptions{
		Directory: d,
		Leaders:   l,
		Self:      state.next,
		Pool:      pool,
	})
}
