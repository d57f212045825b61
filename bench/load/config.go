// Package load keeps feeds open and sends requests at a given rate, and detects violations of the
// guarantees to callers: broken feeds, answers of another service, wrong or truncated answers,
// requests that ran twice, and requests that ran although their outcome was "not run".
package load

import (
	"fmt"
	"time"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/policy/yamlfile"
)

// Upper bounds of the settings.
const (
	maxFeeds    = 1_000_000
	maxDuration = time.Hour
)

// Config is the settings file of the load program.
type Config struct {
	Duration time.Duration `yaml:"duration"`
	Seed     uint64        `yaml:"seed"`
	Admin    string        `yaml:"admin"` // host:port of the admin endpoint; empty: none
	Feeds    []Feeds       `yaml:"feeds"`
	Requests []Requests    `yaml:"requests"`
}

// Feeds are the settings of the feeds to one service.
type Feeds struct {
	Service       string        `yaml:"service"`
	Address       string        `yaml:"address"`
	Count         int           `yaml:"count"`
	OpenRate      float64       `yaml:"open_rate"` // feeds opened per second
	ChurnRate     float64       `yaml:"churn"`     // feeds per second that are ended and replaced by new ones
	Interval      time.Duration `yaml:"interval"`  // between two datagrams of a feed
	DatagramBytes int           `yaml:"size"`      // bytes of a datagram
	Targets       []string      `yaml:"targets"`   // URLs of the pool's targets
}

// Requests are the settings of the requests to one service.
type Requests struct {
	Service           string        `yaml:"service"`
	Address           string        `yaml:"address"`
	Rate              float64       `yaml:"rate"` // requests per second, independent of the answers
	Connections       int           `yaml:"connections"`
	MaxInFlight       int           `yaml:"in_flight"` // limit; requests above it are counted as skipped
	Timeout           time.Duration `yaml:"timeout"`   // of one attempt
	MaxAttempts       int           `yaml:"tries"`     // attempts per request
	Mix               []Request     `yaml:"mix"`
	Targets           []string      `yaml:"targets"`
	OldestPermitFirst bool          `yaml:"old_permits"` // use the oldest unused permit instead of the newest
}

// Request is one kind of request.
type Request struct {
	Method      string `yaml:"method"`
	Path        string `yaml:"path"`
	AnswerBytes int    `yaml:"size"`   // bytes of the answer
	Weight      int    `yaml:"weight"` // relative frequency in the mix
	NeedsPermit bool   `yaml:"permit"` // the request is not idempotent and needs a permit
}

// Defaults returns the settings used where the file has none.
func Defaults() Config { return Config{Duration: 20 * time.Second, Seed: 1} }

// Check reports the faults of the settings, and sets the defaults of the list elements.
func (c *Config) Check(f *yamlfile.Faults) {
	if c.Duration <= 0 || c.Duration > maxDuration {
		f.Add("$.duration", "want more than 0 and at most %v", maxDuration)
	}
	if c.Admin != "" {
		config.CheckHostPort(f, "$.admin", c.Admin)
	}
	for i := range c.Feeds {
		c.Feeds[i].check(f, fmt.Sprintf("$.feeds[%d]", i))
	}
	for i := range c.Requests {
		c.Requests[i].check(f, fmt.Sprintf("$.requests[%d]", i))
	}
}

func (g *Feeds) check(f *yamlfile.Faults, path string) {
	config.CheckHostPort(f, path+".address", g.Address)
	if g.Count < 1 || g.Count > maxFeeds {
		f.Add(path+".count", "%d: want 1 to %d", g.Count, maxFeeds)
	}
	if g.ChurnRate < 0 || g.OpenRate < 0 {
		f.Add(path, "negative rate")
	}
	g.OpenRate = orDefault(g.OpenRate, 500)
	g.Interval = orDefault(g.Interval, 500*time.Millisecond)
	g.DatagramBytes = orDefault(g.DatagramBytes, 100)
}

func (g *Requests) check(f *yamlfile.Faults, path string) {
	config.CheckHostPort(f, path+".address", g.Address)
	if g.Rate <= 0 {
		f.Add(path+".rate", "must be positive")
	}
	if len(g.Mix) == 0 {
		f.Add(path+".mix", "is empty")
	}
	g.Connections = orDefault(g.Connections, 8)
	g.MaxInFlight = orDefault(g.MaxInFlight, 1000)
	g.Timeout = orDefault(g.Timeout, 3*time.Second)
	g.MaxAttempts = orDefault(g.MaxAttempts, 3)
	for i := range g.Mix {
		g.Mix[i].Weight = orDefault(g.Mix[i].Weight, 1)
	}
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}
