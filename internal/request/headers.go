package request

// Headers between caller, entry VM and upstream. Durations are integers in milliseconds.
const (
	HeaderOutcome      = "Azureflow-Outcome"       // to the caller: an Outcome
	HeaderDecision     = "Azureflow-Decision"      // to the caller: decision ID
	HeaderOrigin       = "Azureflow-Origin"        // from the caller: its region
	HeaderCaller       = "Azureflow-Caller"        // from the caller: its client block
	HeaderTimeout      = "Azureflow-Timeout-Ms"    // from the caller and to the upstream: time until the deadline
	HeaderCall         = "Azureflow-Call"          // from the caller: call ID, the same on each attempt
	HeaderCallSendings = "Azureflow-Call-Sendings" // to the caller: how many attempts of the call arrived recently
	HeaderPrevious     = "Azureflow-Previous"      // from the caller: ENTRY/INCARNATION it used before
	HeaderEntry        = "Azureflow-Entry"         // to the caller: ENTRY/INCARNATION that responded
	HeaderAttempt      = "Azureflow-Attempt"       // to the upstream, echoed by it
	HeaderNotRun       = "Azureflow-Not-Run"       // from the upstream: "1" if it refused the request without running it
	HeaderLoad         = "Azureflow-Load"          // from the upstream: in_flight=N, queued=N, slots=N, draining=0|1
	HeaderIdempotency  = "Idempotency-Key"         // from the caller, passed to the upstream
	HeaderProxyStatus  = "Proxy-Status"            // RFC 9209
	HeaderEntryState   = "Azureflow-Entry-State"   // to the caller: "leaving" once a planned stop has started
)
