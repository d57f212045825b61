// Package packetentry is the entry behind a fabric that delivers whole flows. It receives callers'
// packets and forwards each to the agent whose target holds the flow, or to the one that gets the
// new flow.
package packetentry

import (
	"time"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/policy/yamlfile"
)

// Settings is the settings file of lacewing-entry in the mode flows.
type Settings struct {
	fleet.Settings `yaml:",inline"`
	Callers        string `yaml:"callers"` // host:port at which the fabric delivers callers' packets
	Ready          string `yaml:"ready"`   // host:port of the readiness endpoint, which the fabric probes
	// StopGrace is the time between the signal to stop and the moment at which the platform kills
	// the process.
	StopGrace time.Duration `yaml:"stop_grace"`
}

// Check reports the faults of the file.
func (s *Settings) Check(f *yamlfile.Faults) {
	s.Settings.Check(f)
	config.CheckHostPort(f, "$.callers", s.Callers)
	config.CheckHostPort(f, "$.ready", s.Ready)
	if s.StopGrace < forwardGrace+stopMargin {
		f.Add("$.stop_grace", "%v: want at least %v, so that the entry can forward until the fabric has taken it out",
			s.StopGrace, forwardGrace+stopMargin)
	}
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	return config.Load(path, Settings{}, (*Settings).Check)
}
