package steering

// Settings are those of one daemon: the addresses and limits of an entry VM.
type Settings struct {
	Deployment string            `json:"deployment" file:"required"`
	VM         VMSettings        `json:"vm" file:"required"`
	Listen     ListenSettings    `json:"listen" file:"required"`
	Platform   PlatformSettings  `json:"platform" file:"required"`
	Telemetry  TelemetrySettings `json:"telemetry"`
	Limits     LimitSettings     `json:"limits"`
	Admin      AdminSettings     `json:"admin"`
}

// VMSettings are the name, region and zone of this VM.
type VMSettings struct {
	Name   string     `json:"name" file:"required"`
	Region RegionName `json:"region" file:"required"`
	Zone   ZoneName   `json:"zone" file:"required"`
}

// ListenSettings are the addresses of a daemon, each host:port.
type ListenSettings struct {
	Requests string `json:"requests" file:"required"` // callers: requests and lookups
	Peer     string `json:"peer" file:"required"`     // other entry VMs: drpc
	Admin    string `json:"admin" file:"required"`    // operators: /v1, /metrics, /healthz, /readyz
}

// PlatformSettings are the URLs of the platform's services.
type PlatformSettings struct {
	Store  string `json:"store" file:"required"`
	VMList string `json:"vm_list" file:"required"`
}

// TelemetrySettings configure logs and traces.
type TelemetrySettings struct {
	LogLevel     string  `json:"log_level"`     // debug, info, warning, error
	Traces       string  `json:"traces"`        // none, stdout, otlp
	OTLPEndpoint string  `json:"otlp_endpoint"` // URL, for otlp
	SampleShare  float64 `json:"sample_share"`  // of the traces, 0 to 1
}

// LimitSettings limit the resources of a daemon.
type LimitSettings struct {
	QueuePerService    int      `json:"queue_per_service"`    // requests
	InFlightPerCaller  int      `json:"in_flight_per_caller"` // requests of one caller and service
	ConnsPerServer     int      `json:"conns_per_server"`     // connections of this VM to one server
	RecordsInMemory    int      `json:"records_in_memory"`    // decision records
	DrainTimeout       Duration `json:"drain_timeout"`        // longest planned stop
	SilentAfter        Duration `json:"silent_after"`         // no byte for this long: connection is suspect
	StoreCallsPerMin   int      `json:"store_calls_per_min"`  // budget of this VM
	RemoteContractTTL  Duration `json:"remote_contract_ttl"`  // of a grant from another zone
	PollVMList         Duration `json:"poll_vm_list"`
	PollUpstreamReport Duration `json:"poll_upstream_report"`
}

// AdminSettings configure the administration API.
type AdminSettings struct {
	Token string `json:"token"` // bearer token; empty: none required
}
