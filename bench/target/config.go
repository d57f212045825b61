// Package target is the stand-in for a target: it serves feeds and requests, records each run, and misbehaves on demand.
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
	Slots           int           `yaml:"slots"`   // requests that run at once
	QueueLimit      int           `yaml:"queue"`   // further requests that wait; more are refused as not run
	ServiceTime     time.Duration `yaml:"service_time"`
	ReadingInterval time.Duration `yaml:"interval"`  // between readings of a flow; 0: none
	FlowIdleTimeout time.Duration `yaml:"flow_idle"` // a flow without calls for this long has ended
	Mode            Mode          `yaml:"mode"`
}

// Mode is how the target behaves at present. POST /admin/mode changes the fields that its body names. Durations are texts in
// YAML and nanoseconds in JSON.
type Mode struct {
	Drain    bool          `yaml:"drain" json:"drain"`         // reports draining, serves all that arrives
	Shed     bool          `yaml:"shed" json:"shed"`           // refuses requests as not run, reports shedding
	Slow     time.Duration `yaml:"slow" json:"slow"`           // added to the service time, not reported
	Mislead  bool          `yaml:"mislead" json:"mislead"`     // reports health and an idle load whatever is true
	Hang     bool          `yaml:"hang" json:"hang"`           // requests run and are not answered
	Cut      bool          `yaml:"cut" json:"cut"`             // the connection is closed in the middle of each answer
	Mute     bool          `yaml:"mute" json:"mute"`           // feeds are not answered
	ColdFor  time.Duration `yaml:"cold_for" json:"cold_for"`   // service time falls over this time from the start, or from when it is set
	ColdSlow time.Duration `yaml:"cold_slow" json:"cold_slow"` // added to the service time at the start of ColdFor
}

// Defaults returns the settings that a file need not name.
func Defaults() Config {
	return Config{
		Slots: 3, QueueLimit: 64, ServiceTime: 20 * time.Millisecond, ReadingInterval: time.Second, FlowIdleTimeout: 10 * time.Second,
	}
}

// Check reports the faults of the settings.
func (c *Config) Check(f *yamlfile.Faults) {
	if c.Name == "" || c.Service == "" {
		f.Add("$", "needs name and service")
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
