package request

// Headers of the exchange between caller, entry VM and upstream. Durations are whole milliseconds.
const (
	HeaderOutcome      = "Azureflow-Outcome"       // to the caller: an Outcome
	HeaderDecision     = "Azureflow-Decision"      // to the caller: decision id
	HeaderOrigin       = "Azureflow-Origin"        // from the caller: its region
	HeaderCaller       = "Azureflow-Caller"        // from the caller: its client block
	HeaderTimeout      = "Azureflow-Timeout-Ms"    // from the caller and to the upstream: time left
	HeaderCall         = "Azureflow-Call"          // from the caller: its name of the call, the same on each sending
	HeaderCallSendings = "Azureflow-Call-Sendings" // to the caller: how many sendings of the call came lately
	HeaderPrevious     = "Azureflow-Previous"      // from the caller: ENTRY/INCARNATION it used before
	HeaderEntry        = "Azureflow-Entry"         // to the caller: ENTRY/INCARNATION that answered
	HeaderAttempt      = "Azureflow-Attempt"       // to the upstream, echoed by it
	HeaderNotRun       = "Azureflow-Not-Run"       // from the upstream: "1" if a refusal ran nothing
	HeaderLoad         = "Azureflow-Load"          // from the upstream: in_flight=N, queued=N, slots=N, draining=0|1
	HeaderIdempotency  = "Idempotency-Key"         // from the caller, passed to the upstream
	HeaderProxyStatus  = "Proxy-Status"            // RFC 9209
	HeaderEntryState   = "Azureflow-Entry-State"   // to the caller: "leaving" once a planned stop began
)
