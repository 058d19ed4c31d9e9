package forward

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/azureflow/azureflow/internal/routing"
)

// accountsWithKeys returns accounts with ten keys each.
func accountsWithKeys(keys int) []routing.Account {
	const perAccount = 10
	accounts := make([]routing.Account, keys/perAccount)
	for i := range accounts {
		accounts[i].Name = routing.AccountName(fmt.Sprintf("account-%d", i))
		for k := range perAccount {
			accounts[i].Keys = append(accounts[i].Keys, fmt.Sprintf("%032x", i*perAccount+k))
		}
	}
	return accounts
}

// BenchmarkKeyLookup measures the time from a request's header to its account.
func BenchmarkKeyLookup(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			table := routing.NewTable(&routing.Config{Accounts: accountsWithKeys(keys)})
			requests := make([]*http.Request, 1024)
			for i := range requests {
				key := fmt.Sprintf("%032x", i*keys/len(requests))
				requests[i] = &http.Request{Header: http.Header{"Authorization": {"Bearer " + key}}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key, ok := keyOf(requests[i%len(requests)])
				if !ok || table.AccountByKey(key) == nil {
					b.Fatal("no account")
				}
			}
		})
	}
}

// BenchmarkKeyTable measures the time to build the table of a new configuration.
func BenchmarkKeyTable(b *testing.B) {
	config := &routing.Config{Accounts: accountsWithKeys(100_000)}
	b.ReportAllocs()
	for b.Loop() {
		routing.NewTable(config)
	}
}
