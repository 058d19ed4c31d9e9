package routing

import "github.com/azureflow/azureflow/internal/steering"

// AccountName identifies a client account. Unlike the account's keys it may appear in logs and metrics.
type AccountName string

// Account is a client account: callers that share a quota and are known by any of its keys.
type Account struct {
	Name           AccountName
	Keys           []string              // secrets; never logged
	Priority       *int                  // replaces the priority of routes, 0 is the most urgent; nil: the route's holds
	Rate           float64               // requests per second over all entry VMs; 0: no limit
	Burst          float64               // requests beyond Rate that may come at once
	AllowedRegions []steering.RegionName // in which requests may be handled; none: all
}

// IsLimited reports whether the account has a quota.
func (a *Account) IsLimited() bool { return a.Rate > 0 }

// Allows reports whether requests of the account may be handled in region. All requests without an account may.
func (a *Account) Allows(region steering.RegionName) bool {
	return a == nil || isAllowed(a.AllowedRegions, region)
}

// PriorityOn returns the priority of the account's requests on route, 0 being the most urgent. Requests without an
// account have that of the route.
func (a *Account) PriorityOn(route *Route) int {
	if a == nil || a.Priority == nil {
		return route.Priority
	}
	return *a.Priority
}
