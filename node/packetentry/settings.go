// Package packetentry is the entry behind a fabric that delivers whole flows: it receives callers' packets and passes each to the agent whose target
// holds its flow, or where a new flow opens.
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
	Ready          string `yaml:"ready"`   // host:port at which the fabric asks whether to deliver
	// StopGrace is the time after which a process that was told to stop is killed.
	StopGrace time.Duration `yaml:"stop_grace"`
}

// Check reports the faults of the file.
func (s *Settings) Check(f *yamlfile.Faults) {
	s.Settings.Check(f)
	config.CheckHostPort(f, "$.callers", s.Callers)
	config.CheckHostPort(f, "$.ready", s.Ready)
	if s.StopGrace < forwardGrace+stopMargin {
		f.Add("$.stop_grace", "%v: want at least %v, to forward until the fabric sends no more", s.StopGrace, forwardGrace+stopMargin)
	}
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	return config.Load(path, Settings{}, (*Settings).Check)
}
