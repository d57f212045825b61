// Package target simulates a target. It serves feeds and requests, records each run, and misbehaves
// on demand.
package target

import (
	"fmt"
	"time"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/policy/yamlfile"
)

// Config is the settings file of a target.
type Config struct {
	Name            string        `yaml:"name"`
	Service         string        `yaml:"service"` // team/name
	UDP             string        `yaml:"udp"`     // host:port of feeds
	HTTP            string        `yaml:"http"`    // host:port of requests, reports and the admin endpoint
	Slots           int           `yaml:"slots"`   // requests that run concurrently
	QueueLimit      int           `yaml:"queue"`   // further requests that wait; more are refused as not run
	ServiceTime     time.Duration `yaml:"service_time"`
	ReadingInterval time.Duration `yaml:"interval"`  // between readings of a flow; 0: no readings
	FlowIdleTimeout time.Duration `yaml:"flow_idle"` // a flow without calls for this long has ended
	Mode            Mode          `yaml:"mode"`
}

// Mode is how the target currently behaves. POST /admin/mode changes the fields that are in its
// body. Durations are texts in YAML and nanoseconds in JSON.
type Mode struct {
	Drain    bool          `yaml:"drain" json:"drain"`         // reports draining, still serves all requests and calls
	Shed     bool          `yaml:"shed" json:"shed"`           // refuses requests as not run, reports shedding
	Slow     time.Duration `yaml:"slow" json:"slow"`           // added to the service time, not reported
	Mislead  bool          `yaml:"mislead" json:"mislead"`     // reports ready and no load, whatever its state
	Hang     bool          `yaml:"hang" json:"hang"`           // requests run and are never answered
	Cut      bool          `yaml:"cut" json:"cut"`             // the connection is closed in the middle of each answer
	Mute     bool          `yaml:"mute" json:"mute"`           // feed calls are not answered and no readings are sent
	ColdFor  time.Duration `yaml:"cold_for" json:"cold_for"`   // warm-up time, restarts when changed
	ColdSlow time.Duration `yaml:"cold_slow" json:"cold_slow"` // added to the service time, falls linearly to 0 over ColdFor
}

// Defaults returns the settings for fields that a file leaves out.
func Defaults() Config {
	return Config{
		Slots: 3, QueueLimit: 64, ServiceTime: 20 * time.Millisecond, ReadingInterval: time.Second,
		FlowIdleTimeout: 10 * time.Second,
	}
}

// Check reports the faults of the settings.
func (c *Config) Check(f *yamlfile.Faults) {
	if c.Name == "" || c.Service == "" {
		f.Add("$", "name and service are required")
	}
	config.CheckHostPort(f, "$.udp", c.UDP)
	config.CheckHostPort(f, "$.http", c.HTTP)
	for path, n := range map[string]int{"$.slots": c.Slots, "$.queue": c.QueueLimit} {
		if n < 0 || n > 1<<16 {
			f.Add(path, "%d is out of range", n)
		}
	}
	for path, d := range map[string]time.Duration{
		"$.service_time": c.ServiceTime, "$.interval": c.ReadingInterval, "$.mode.slow": c.Mode.Slow,
		"$.mode.cold_for": c.Mode.ColdFor, "$.mode.cold_slow": c.Mode.ColdSlow,
	} {
		if d < 0 {
			f.Add(path, "%s is negative", fmt.Sprint(d))
		}
	}
	if c.FlowIdleTimeout <= 0 {
		f.Add("$.flow_idle", "must be positive")
	}
}
