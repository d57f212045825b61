package fleet

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"lacewinglever.dev/bench/fabric"
	"lacewinglever.dev/bench/target"
	"lacewinglever.dev/node/config"
)

// Offsets of ports from the port base. One fleet uses PortsPerFleet ports.
const (
	portUDP      = 0
	portRPC      = 1
	portMetrics  = 2
	portTarget   = 3
	portPlatform = 4
	portFabric   = 5
	portLoad     = 6 // and the following, one per load
	maxLoads     = 10
	portService  = 20 // and the following, one per service
	maxServices  = 30

	// PortsPerFleet is how many ports a fleet uses from its port base.
	PortsPerFleet = portService + maxServices
)

// First hosts of entries and agents in a data centre's 127.n.0.x.
const (
	firstEntry = 11
	firstAgent = 21
	lastAgent  = 250
)

// Options describe a fleet.
type Options struct {
	Bin      string // folder of the binaries
	Dir      string // for settings and logs; a temporary one if empty
	PortBase int    // below the range of ephemeral ports
	Seed     uint64
	Entries  []int // data centre of each entry; the entries are called entry-1, entry-2 and so on
	Services []Service
	Links    []fabric.Link
	// Direct puts the targets in the place of entries: no entries and agents run. It proves the stand-ins themselves.
	Direct bool
}

// Service is a service with its pool. Its agents are called NAME-1, NAME-2 and so on, their targets target-NAME-1 and so on.
type Service struct {
	Team        string        `yaml:"team"`
	Name        string        `yaml:"name"`
	Kind        string        `yaml:"kind"` // feed or request
	Targets     int           `yaml:"targets"`
	Slots       int           `yaml:"slots"`
	ServiceTime time.Duration `yaml:"service_time"`
	DataCentres []int         `yaml:"data_centres"` // of the targets, in turn
	Settings    string        `yaml:"settings"`     // lines of YAML besides kind and address
	// DrainTimeout is how long an agent waits at its end for its feeds; 0: a minute.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
}

// FullName returns "team/name".
func (s *Service) FullName() string { return s.Team + "/" + s.Name }

// node is an entry, or an agent with its target.
type node struct {
	name    string
	service int // index; -1 for an entry
	dc      int
	host    string
	target  string // name; empty for an entry
	place   string // host of the agent, if it is not that of the target
}

// plan is where everything of a fleet is.
type plan struct {
	Options
	key   string
	nodes []node
	taken map[int]int // service whose address another service has taken over
}

func newPlan(o Options) (*plan, error) {
	p := &plan{Options: o, taken: map[int]int{}}
	if len(o.Services) > maxServices {
		return nil, fmt.Errorf("%d services, at most %d", len(o.Services), maxServices)
	}
	var key [16]byte
	_, _ = rand.Read(key[:])
	p.key = hex.EncodeToString(key[:])
	for i, dc := range o.Entries {
		p.nodes = append(p.nodes, node{fmt.Sprint("entry-", i+1), -1, dc, fmt.Sprintf("127.%d.0.%d", dc, firstEntry+i), "", ""})
	}
	next := map[int]int{}
	for i, s := range o.Services {
		for n := range s.Targets {
			dc := s.DataCentres[n%len(s.DataCentres)]
			host := firstAgent + next[dc]
			next[dc]++
			if host > lastAgent {
				return nil, fmt.Errorf("too many targets in data centre %d", dc)
			}
			name := fmt.Sprintf("%s-%d", s.Name, n+1)
			p.nodes = append(p.nodes, node{name, i, dc, fmt.Sprintf("127.%d.0.%d", dc, host), "target-" + name, ""})
		}
	}
	return p, nil
}

func (p *plan) at(host string, offset int) string {
	return fmt.Sprintf("%s:%d", host, p.PortBase+offset)
}

func (p *plan) platform() string { return p.at("127.0.0.1", portPlatform) }
func (p *plan) fabric() string   { return p.at("127.0.0.1", portFabric) }

// serviceAddress is where callers reach the service.
func (p *plan) serviceAddress(i int) string {
	if from, ok := p.taken[i]; ok {
		i = from
	}
	return p.at(fmt.Sprintf("127.250.0.%d", i+1), portService+i)
}

func dcName(n int) string { return fmt.Sprint("dc", n) }

func (p *plan) address(n node, offset int) config.Address {
	n.host = cmp.Or(n.place, n.host)
	fabricHost := fmt.Sprintf("127.%d%s", 200+n.dc, n.host[len(fmt.Sprint("127.", n.dc)):])
	return config.Address{Listen: p.at(n.host, offset), Advertise: p.at(fabricHost, offset)}
}

// fabricConfig puts all entries in rotation for every service.
func (p *plan) fabricConfig() fabric.Config {
	c := fabric.Defaults()
	c.Admin, c.Seed, c.Links = p.fabric(), p.Seed, p.Links
	for i := range p.Services {
		c.Services = append(c.Services, fabric.Service{
			Name: p.Services[i].FullName(), Address: p.serviceAddress(i), Entries: p.rotation(i, nil),
		})
	}
	for _, n := range p.nodes {
		c.Nodes = append(c.Nodes, fabric.Node{
			Name: n.name, DataCentre: dcName(n.dc), UDP: p.address(n, portUDP), RPC: p.address(n, portRPC),
		})
	}
	return c
}

// rotation returns the addresses that a service's datagrams go to: of the named nodes, or of all if there are none.
func (p *plan) rotation(service int, names []string) []string {
	addresses := []string{}
	for _, n := range p.nodes {
		if names != nil && !slices.Contains(names, n.name) {
			continue
		}
		switch {
		case n.service < 0:
			addresses = append(addresses, p.at(n.host, portService+service))
		case p.Direct && n.service == service:
			addresses = append(addresses, p.at(n.host, portTarget))
		}
	}
	return addresses
}

func (p *plan) targetConfig(n node) target.Config {
	s := &p.Services[n.service]
	c := target.Defaults()
	c.Name, c.Service = n.target, s.FullName()
	c.UDP, c.HTTP = p.at(n.host, portTarget), p.at(n.host, portTarget)
	if s.Slots > 0 {
		c.Slots = s.Slots
	}
	if s.ServiceTime > 0 {
		c.ServiceTime = s.ServiceTime
	}
	return c
}

type platformFile struct {
	URL string `yaml:"url"`
}

type entryFile struct {
	config.Node `yaml:",inline"`
	ServiceHost string       `yaml:"service_host"`
	Platform    platformFile `yaml:"platform"`
}

type targetFile struct {
	UDP   string `yaml:"udp"`
	URL   string `yaml:"url"`
	Slots int    `yaml:"slots"`
}

type agentFile struct {
	config.Node  `yaml:",inline"`
	Service      string        `yaml:"service"`
	Weight       float64       `yaml:"weight"`
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	Target       targetFile    `yaml:"target"`
}

func (p *plan) common(n node) config.Node {
	c := config.Node{
		Name: n.name, DataCentre: dcName(n.dc), UDP: p.address(n, portUDP), RPC: p.address(n, portRPC),
		Metrics: p.at(cmp.Or(n.place, n.host), portMetrics), Keys: []config.Key{{ID: 1, Value: p.key}}, SignWith: 1, LogLevel: "info",
	}
	for _, seed := range p.nodes {
		if seed.service < 0 {
			c.Seeds = append(c.Seeds, p.address(seed, portRPC).Advertise)
		}
	}
	return c
}

func (p *plan) entryFile(n node) entryFile {
	return entryFile{p.common(n), n.host, platformFile{"http://" + p.platform()}}
}

func (p *plan) agentFile(n node) agentFile {
	t := p.targetConfig(n)
	if p.Services[n.service].Kind == "request" {
		t.UDP = "" // tells the agent to serve requests
	}
	drain := cmp.Or(p.Services[n.service].DrainTimeout, time.Minute)
	return agentFile{p.common(n), t.Service, 1, drain, targetFile{t.UDP, "http://" + t.HTTP, t.Slots}}
}

// Spec returns the settings of a service as an operator writes them, with further lines of YAML.
func (p *plan) spec(i int, more string) string {
	s := &p.Services[i]
	return fmt.Sprintf("kind: %s\naddress: %s\n%s%s", s.Kind, p.serviceAddress(i), s.Settings, more)
}
