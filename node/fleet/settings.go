package fleet

import (
	"time"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/policy/yamlfile"
)

// Settings are the part of the settings file that entries and agents behind a fabric of flows
// share.
type Settings struct {
	Mode       string   `yaml:"mode"` // config.ModeFlows
	Name       string   `yaml:"name"`
	DataCentre string   `yaml:"data_centre"`
	Fleet      string   `yaml:"fleet"`     // host:port for datagrams and RPCs between nodes; all nodes use one port
	Advertise  string   `yaml:"advertise"` // host:port at which other nodes reach the fleet address; Fleet if empty
	Metrics    string   `yaml:"metrics"`   // host:port of the metrics and health endpoint
	Seeds      []string `yaml:"seeds"`     // host:port of some nodes, which may no longer exist; only the hosts are used
	Store      string   `yaml:"store"`     // host:port of the platform's store
	LogLevel   string   `yaml:"log_level"`
	// MemoryMB is the limit above which the process is killed, in MiB.
	MemoryMB int64 `yaml:"memory_mb"`
	// EvacuateWithin is the time from the operator's request to evacuate a data centre until no new flow may
	// open there; 0 if no such requests are read.
	EvacuateWithin time.Duration `yaml:"evacuate_within"`
	// LocalityFailover makes the node decide when new flows leave their data centre, and how many.
	LocalityFailover bool `yaml:"locality_failover"`
	// RemoteRoundTrip is the round trip to other data centres; 0: it is measured.
	RemoteRoundTrip time.Duration `yaml:"remote_round_trip"`
}

// Check reports the faults of the shared part and fills in Advertise if it is empty.
func (s *Settings) Check(f *yamlfile.Faults) {
	if s.Name == "" {
		f.Add("$.name", "is required")
	}
	if s.DataCentre == "" {
		f.Add("$.data_centre", "is required")
	}
	config.CheckHostPort(f, "$.fleet", s.Fleet)
	if s.Advertise == "" {
		s.Advertise = s.Fleet
	}
	config.CheckHostPort(f, "$.advertise", s.Advertise)
	config.CheckHostPort(f, "$.metrics", s.Metrics)
	config.CheckHostPort(f, "$.store", s.Store)
	if s.RemoteRoundTrip < 0 {
		f.Add("$.remote_round_trip", "%v: want 0 or more", s.RemoteRoundTrip)
	}
	if s.MemoryMB <= 0 {
		f.Add("$.memory_mb", "%d: want more than 0", s.MemoryMB)
	}
	if s.EvacuateWithin < 0 {
		f.Add("$.evacuate_within", "%v: want 0 or more", s.EvacuateWithin)
	}
}
