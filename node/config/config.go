// Package config provides what the programs' settings files have in common.
package config

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/yamlfile"
)

// Load reads a settings file over the defaults, then runs check on the result. Unknown fields are
// faults.
func Load[T any](path string, defaults T, check func(*T, *yamlfile.Faults)) (*T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return yamlfile.Parse(path, text, defaults, check)
}

// Mode is the way in which callers' datagrams reach a program. It determines the program's data
// path.
type Mode string

const (
	// ModeDatagrams is the project's own interface: callers send to the addresses of services, and
	// entries encapsulate the datagrams that they forward.
	ModeDatagrams Mode = ""
	// ModeFlows is for a fabric that delivers all packets of a flow, to targets that bounce packets
	// of flows that they do not hold.
	ModeFlows Mode = "flows"
)

// ReadMode returns the mode in a settings file.
func ReadMode(path string) (Mode, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read settings")
	}
	var file struct {
		Mode Mode `yaml:"mode"`
	}
	if err := yaml.Unmarshal(text, &file); err != nil {
		return "", errors.Errorf("%s: %s", path, yaml.FormatError(err, false, false))
	}
	if file.Mode != ModeDatagrams && file.Mode != ModeFlows {
		return "", errors.Errorf("%s: $.mode: %q: want %q or none", path, file.Mode, ModeFlows)
	}
	return file.Mode, nil
}

// Address is the address at which a node listens, and the one at which other nodes reach it.
type Address struct {
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"` // address for other nodes; Listen if empty
}

// Key is one key of the fleet. Its value must never appear in logs.
type Key struct {
	ID    byte   `yaml:"id"`
	Value string `yaml:"value"` // 32 hexadecimal digits
}

// Node is the part of the settings that entries and agents share.
type Node struct {
	Name       string   `yaml:"name"`
	DataCentre string   `yaml:"data_centre"`
	Rack       string   `yaml:"rack"`
	UDP        Address  `yaml:"udp"`
	RPC        Address  `yaml:"rpc"`
	Metrics    string   `yaml:"metrics"` // host:port of the metrics and health endpoint
	Seeds      []string `yaml:"seeds"`   // RPC addresses of entries
	Keys       []Key    `yaml:"keys"`
	SignWith   byte     `yaml:"sign_with"` // id of the key for signing
	LogLevel   string   `yaml:"log_level"` // debug, info, warn or error
}

// Check reports the faults of the shared part and sets the fields that default to others.
func (n *Node) Check(f *yamlfile.Faults) {
	if n.Name == "" {
		f.Add("$.name", "is required")
	}
	if n.DataCentre == "" {
		f.Add("$.data_centre", "is required")
	}
	CheckAddress(f, "$.udp", &n.UDP)
	CheckAddress(f, "$.rpc", &n.RPC)
	CheckHostPort(f, "$.metrics", n.Metrics)
	for i, seed := range n.Seeds {
		CheckHostPort(f, fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	if _, err := n.Keyring(); err != nil {
		f.Add("$.keys", "%v", err)
	}
}

// Keyring returns the keyring of the configured keys.
func (n *Node) Keyring() (*wire.Keyring, error) {
	keys := map[byte]wire.Key{}
	for _, k := range n.Keys {
		key, err := wire.ParseKey(k.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "key id %d", k.ID)
		}
		if _, ok := keys[k.ID]; ok {
			return nil, errors.Errorf("key id %d is given twice", k.ID)
		}
		keys[k.ID] = key
	}
	return wire.NewKeyring(keys, n.SignWith)
}

// CheckAddress reports the faults of a, and sets Advertise if it is empty.
func CheckAddress(f *yamlfile.Faults, path string, a *Address) {
	if a.Advertise == "" {
		a.Advertise = a.Listen
	}
	CheckHostPort(f, path+".listen", a.Listen)
	CheckHostPort(f, path+".advertise", a.Advertise)
}

// CheckHostPort reports an address that is not an IP address with a port.
func CheckHostPort(f *yamlfile.Faults, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		f.Add(path, "%q: want host:port", address)
		return
	}
	if net.ParseIP(host) == nil {
		f.Add(path, "%q: want an IP address, names are not resolved", address)
	}
}
