// Package packetagent is the agent behind a fabric that delivers whole flows. It forwards callers'
// packets to the target beside it, and the target's packets to the callers. Packets that the target
// bounces go to the next agent.
package packetagent

import (
	"time"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/policy/yamlfile"
)

// Settings is the settings file of lacewing-agent in the mode flows.
type Settings struct {
	fleet.Settings `yaml:",inline"`
	Service        string        `yaml:"service"`         // service of the target until it has reported one
	Target         string        `yaml:"target"`          // host:port at which the target receives packets
	FromTarget     string        `yaml:"from_target"`     // host:port to which the target sends all packets
	Reports        string        `yaml:"reports"`         // host:port that receives the target's calls
	Ready          string        `yaml:"ready"`           // host:port of the readiness endpoint, which the platform probes
	CallersAddress string        `yaml:"callers_address"` // host:port; callers receive packets at this port
	Heartbeat      time.Duration `yaml:"heartbeat"`       // interval of the target's reports
	AddressReuse   time.Duration `yaml:"address_reuse"`   // earliest reuse of an ended target's address
}

// Check reports the faults of the file.
func (s *Settings) Check(f *yamlfile.Faults) {
	s.Settings.Check(f)
	config.CheckHostPort(f, "$.target", s.Target)
	config.CheckHostPort(f, "$.from_target", s.FromTarget)
	config.CheckHostPort(f, "$.reports", s.Reports)
	config.CheckHostPort(f, "$.ready", s.Ready)
	config.CheckHostPort(f, "$.callers_address", s.CallersAddress)
	if s.Heartbeat <= 0 {
		f.Add("$.heartbeat", "%v: want more than 0", s.Heartbeat)
	}
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	return config.Load(path, Settings{}, (*Settings).Check)
}
