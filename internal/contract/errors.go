package contract

import "github.com/azureflow/azureflow/internal/steering"

// WrongZoneError reports a request for slots of one zone that reached the grantor of another.
type WrongZoneError struct {
	Requested steering.ZoneName
	Zone      steering.ZoneName
}

// Error implements error.
func (e *WrongZoneError) Error() string {
	return "request for slots in zone " + string(e.Requested) + " reached the grantor of zone " + string(e.Zone)
}
