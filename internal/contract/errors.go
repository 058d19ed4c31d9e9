package contract

import "github.com/azureflow/azureflow/internal/steering"

// WrongZoneError reports a request that reached the grantor of another zone.
type WrongZoneError struct {
	Requested steering.ZoneName
	Zone      steering.ZoneName
}

// Error implements error.
func (e *WrongZoneError) Error() string {
	return "asked for slots in " + string(e.Requested) + " at the grantor of " + string(e.Zone)
}
