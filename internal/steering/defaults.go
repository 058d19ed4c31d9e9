package steering

import "time"

// Defaults of steering files.
const (
	defaultShiftShare    = 0.1 // of a service's traffic
	defaultShiftWindow   = 10 * time.Second
	defaultRetryBudget   = 0.1  // of a service's requests
	defaultHedgeBudget   = 0.05 // of a service's requests
	defaultFloorShare    = 0.5  // of a zone's slots
	defaultExpectedBytes = 16 << 10
)

// Default deadlines by class of operation.
const (
	defaultInteractiveDeadline = time.Second
	defaultBulkDeadline        = 30 * time.Second
	defaultDeferrableDeadline  = time.Minute
)

// DefaultService returns a service with only the defaults of a steering file set.
func DefaultService() Service {
	return Service{
		ShiftCap: ShiftCap{Share: defaultShiftShare, Window: Duration(defaultShiftWindow)},
		Budgets:  Budgets{Retries: defaultRetryBudget, Hedges: defaultHedgeBudget},
		Floor:    Floor{Share: defaultFloorShare},
	}
}

// DefaultDeadline returns the deadline of an operation of class c whose file sets none.
func DefaultDeadline(c Class) time.Duration {
	switch c {
	case ClassBulk:
		return defaultBulkDeadline
	case ClassDeferrable:
		return defaultDeferrableDeadline
	}
	return defaultInteractiveDeadline
}

// setDefaults implements the binder's hook for array elements.
func (o *Operation) setDefaults() { o.ExpectedBytes = defaultExpectedBytes }

// fillDeadlines sets the deadlines that a file omits; they depend on the class.
func fillDeadlines(s *Service) {
	for i := range s.Operations {
		if s.Operations[i].Deadline == 0 {
			s.Operations[i].Deadline = Duration(DefaultDeadline(s.Operations[i].Class))
		}
	}
}

// DefaultSettings returns the settings that apply where a settings file sets no value.
func DefaultSettings() *Settings {
	return &Settings{
		Telemetry: TelemetrySettings{LogLevel: "info", Traces: "none", SampleShare: 0.01},
		Limits: LimitSettings{
			QueuePerService:    512,
			InFlightPerCaller:  64,
			ConnsPerServer:     8,
			RecordsInMemory:    4096,
			DrainTimeout:       Duration(30 * time.Second),
			SilentAfter:        Duration(2 * time.Second),
			StoreCallsPerMin:   240,
			RemoteContractTTL:  Duration(5 * time.Second),
			PollVMList:         Duration(time.Second),
			PollUpstreamReport: Duration(500 * time.Millisecond),
		},
	}
}
