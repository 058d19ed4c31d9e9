package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// quotaMetrics counts the tokens of client accounts' quotas.
type quotaMetrics struct {
	granted  prometheus.Counter
	spent    prometheus.Counter
	returned prometheus.Counter
	refused  prometheus.Counter
	asks     *prometheus.CounterVec
}

func newQuotaMetrics(registry *prometheus.Registry) *quotaMetrics {
	auto := promauto.With(registry)
	counter := func(name, help string) prometheus.Counter {
		return auto.NewCounter(prometheus.CounterOpts{Namespace: "azureflow", Name: "gateway_quota_" + name, Help: help})
	}
	return &quotaMetrics{
		granted:  counter("granted_tokens_total", "Tokens of quotas that this entry VM granted as a home."),
		spent:    counter("spent_tokens_total", "Requests that got a token of their account's quota."),
		returned: counter("returned_tokens_total", "Tokens given back by requests that ran at no server."),
		refused:  counter("refused_requests_total", "Requests refused since their account was over its quota."),
		asks: auto.NewCounterVec(prometheus.CounterOpts{
			Namespace: "azureflow", Name: "gateway_quota_asks_total", Help: "Calls of homes of quotas for tokens.",
		}, []string{"outcome"}),
	}
}

// registerQuotas exports the number of shards that this entry VM keeps.
func registerQuotas(registry *prometheus.Registry, q *quotas) error {
	return registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "azureflow", Name: "gateway_quota_buckets",
		Help: "Shards of quotas that this entry VM is the home of and that were asked for.",
	}, func() float64 { return float64(q.home.bucketCount()) }))
}
