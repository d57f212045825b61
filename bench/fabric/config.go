// Package fabric emulates the network between callers, entries and agents. It distributes callers'
// datagrams at random over the entries and relays UDP and TCP between nodes, and applies each
// link's delay, jitter, loss, duplication, reordering and cuts.
package fabric

import (
	"fmt"
	"time"

	"lacewinglever.dev/node/config"
	"lacewinglever.dev/policy/yamlfile"
)

// Names of link endpoints besides those of nodes, data centres and services.
const (
	CallersEndpoint = "callers" // the callers of every service
	AnyEndpoint     = "*"       // every endpoint
)

// Config is the settings file of the fabric.
type Config struct {
	Admin             string        `yaml:"admin"`       // host:port of the admin endpoint
	Seed              uint64        `yaml:"seed"`        // of the random choice of entries and of link faults
	MaxCallers        int           `yaml:"max_callers"` // datagrams of further callers are dropped
	CallerIdleTimeout time.Duration `yaml:"caller_idle"` // callers without a datagram for this long expire
	Services          []Service     `yaml:"services"`
	Nodes             []Node        `yaml:"nodes"`
	Links             []Link        `yaml:"links"`
}

// Service is an address for callers and the entries that receive its datagrams.
type Service struct {
	Name    string   `yaml:"name" json:"name"`
	Address string   `yaml:"address" json:"address"`
	Entries []string `yaml:"entries" json:"entries"` // host:port where each entry in rotation binds the service
}

// Node is an entry or agent. The fabric binds its advertised addresses and relays to its listen
// addresses. Each node has a listen host of its own, which identifies the node as a sender.
type Node struct {
	Name       string         `yaml:"name"`
	DataCentre string         `yaml:"data_centre"`
	UDP        config.Address `yaml:"udp"`
	RPC        config.Address `yaml:"rpc"`
}

// Link sets the quality of the path between two endpoints: nodes, data centres, services (for the
// side of their callers), CallersEndpoint or AnyEndpoint. The most specific matching link applies,
// except that a cut of any matching link cuts the path. Loss, Duplicate and Reorder are
// probabilities per datagram. Delay, jitter and cuts apply to TCP too, the other faults do not.
type Link struct {
	From      string        `yaml:"from" json:"from"`
	To        string        `yaml:"to" json:"to"`
	OneWay    bool          `yaml:"one_way" json:"one_way,omitempty"` // false: both directions
	Delay     time.Duration `yaml:"delay" json:"delay,omitempty"`     // one way
	Jitter    time.Duration `yaml:"jitter" json:"jitter,omitempty"`   // added to Delay, uniform from 0
	Loss      float64       `yaml:"loss" json:"loss,omitempty"`
	Duplicate float64       `yaml:"duplicate" json:"duplicate,omitempty"`
	Reorder   float64       `yaml:"reorder" json:"reorder,omitempty"`
	Cut       bool          `yaml:"cut" json:"cut,omitempty"`
}

// Defaults returns the settings that apply where the file has none.
func Defaults() Config {
	return Config{Seed: 1, MaxCallers: 500_000, CallerIdleTimeout: 2 * time.Minute}
}

// Check reports the faults of the settings.
func (c *Config) Check(f *yamlfile.Faults) {
	config.CheckHostPort(f, "$.admin", c.Admin)
	for i, s := range c.Services {
		path := fmt.Sprintf("$.services[%d]", i)
		config.CheckHostPort(f, path+".address", s.Address)
		checkEntries(f, path, s.Entries)
	}
	for i := range c.Nodes {
		path := fmt.Sprintf("$.nodes[%d]", i)
		config.CheckAddress(f, path+".udp", &c.Nodes[i].UDP)
		config.CheckAddress(f, path+".rpc", &c.Nodes[i].RPC)
	}
	for i := range c.Links {
		c.Links[i].check(f, fmt.Sprintf("$.links[%d]", i))
	}
}

func checkEntries(f *yamlfile.Faults, path string, entries []string) {
	for i, e := range entries {
		config.CheckHostPort(f, fmt.Sprintf("%s.entries[%d]", path, i), e)
	}
}

func (l *Link) check(f *yamlfile.Faults, path string) {
	if l.From == "" || l.To == "" {
		f.Add(path, "needs from and to")
	}
	if l.Delay < 0 || l.Jitter < 0 {
		f.Add(path, "negative delay or jitter")
	}
	for _, p := range []float64{l.Loss, l.Duplicate, l.Reorder} {
		if p < 0 || p > 1 {
			f.Add(path, "%v is not a probability", p)
		}
	}
}
