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

// Port offsets from the port base. A fleet uses PortsPerFleet ports.
const (
	portUDP      = 0
	portRPC      = 1
	portMetrics  = 2
	portTarget   = 3
	portPlatform = 4
	portFabric   = 5
	portLoad     = 6 // first of maxLoads ports, one per load
	maxLoads     = 10
	portService  = 20 // first of maxServices ports, one per service
	maxServices  = 30

	// PortsPerFleet is the number of ports that a fleet uses from its port base.
	PortsPerFleet = portService + maxServices
)

// Last octets of the hosts of entries and agents in 127.n.0.x of data centre n.
const (
	firstEntry = 11
	firstAgent = 21
	lastAgent  = 250
)

// Options describe a fleet.
type Options struct {
	Bin      string // directory of the programs
	Dir      string // for settings files and logs; empty: a temporary directory
	PortBase int    // must lie below the range of ephemeral ports
	Seed     uint64
	Entries  []int // data centre of each entry; their names are entry-1, entry-2 and so on
	Services []Service
	Links    []fabric.Link
	// Direct replaces the entries by the targets: no entries and agents run. It tests the stand-ins
	// alone.
	Direct bool
}

// Service is a service with its pool. Its agents have the names NAME-1, NAME-2 and so on, its
// targets target-NAME-1 and so on.
type Service struct {
	Team        string        `yaml:"team"`
	Name        string        `yaml:"name"`
	Kind        string        `yaml:"kind"` // feed or request
	Targets     int           `yaml:"targets"`
	Slots       int           `yaml:"slots"`
	ServiceTime time.Duration `yaml:"service_time"`
	DataCentres []int         `yaml:"data_centres"` // of the targets, round robin
	Settings    string        `yaml:"settings"`     // YAML lines in addition to kind and address
	// DrainTimeout is how long a stopping agent waits for its feeds to end; 0 means one minute.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
}

// FullName returns "team/name".
func (s *Service) FullName() string { return s.Team + "/" + s.Name }

// node is an entry, or an agent with its target.
type node struct {
	name         string
	serviceIndex int // in Options.Services; -1 for an entry
	dataCentre   int
	host         string
	target       string // name of the target; empty for an entry
	agentHost    string // host of the agent if it differs from that of the target
}

// plan holds the names and addresses of all parts of a fleet.
type plan struct {
	Options
	key       string
	nodes     []node
	addressOf map[int]int // by service: the service whose planned address it uses instead of its own
}

func newPlan(o Options) (*plan, error) {
	p := &plan{Options: o, addressOf: map[int]int{}}
	if len(o.Services) > maxServices {
		return nil, fmt.Errorf("%d services; the limit is %d", len(o.Services), maxServices)
	}
	var key [16]byte
	_, _ = rand.Read(key[:])
	p.key = hex.EncodeToString(key[:])
	for i, dc := range o.Entries {
		p.nodes = append(p.nodes, node{
			fmt.Sprint("entry-", i+1), -1, dc, fmt.Sprintf("127.%d.0.%d", dc, firstEntry+i), "", ""})
	}
	agentCount := map[int]int{}
	for i, s := range o.Services {
		for n := range s.Targets {
			dc := s.DataCentres[n%len(s.DataCentres)]
			host := firstAgent + agentCount[dc]
			agentCount[dc]++
			if host > lastAgent {
				return nil, fmt.Errorf("too many targets in data centre %d", dc)
			}
			name := fmt.Sprintf("%s-%d", s.Name, n+1)
			p.nodes = append(p.nodes, node{name, i, dc, fmt.Sprintf("127.%d.0.%d", dc, host), "target-" + name, ""})
		}
	}
	return p, nil
}

func (p *plan) hostPort(host string, offset int) string {
	return fmt.Sprintf("%s:%d", host, p.PortBase+offset)
}

func (p *plan) platformAddress() string { return p.hostPort("127.0.0.1", portPlatform) }
func (p *plan) fabricAddress() string   { return p.hostPort("127.0.0.1", portFabric) }

// serviceAddress returns the address to which callers of a service send.
func (p *plan) serviceAddress(i int) string {
	if from, ok := p.addressOf[i]; ok {
		i = from
	}
	return p.hostPort(fmt.Sprintf("127.250.0.%d", i+1), portService+i)
}

func dataCentreName(n int) string { return fmt.Sprint("dc", n) }

func (p *plan) address(n node, offset int) config.Address {
	n.host = cmp.Or(n.agentHost, n.host)
	fabricHost := fmt.Sprintf("127.%d%s", 200+n.dataCentre, n.host[len(fmt.Sprint("127.", n.dataCentre)):])
	return config.Address{Listen: p.hostPort(n.host, offset), Advertise: p.hostPort(fabricHost, offset)}
}

// fabricConfig returns the settings of the fabric stand-in, with all entries in rotation for every
// service.
func (p *plan) fabricConfig() fabric.Config {
	c := fabric.Defaults()
	c.Admin, c.Seed, c.Links = p.fabricAddress(), p.Seed, p.Links
	for i := range p.Services {
		c.Services = append(c.Services, fabric.Service{
			Name: p.Services[i].FullName(), Address: p.serviceAddress(i), Entries: p.rotation(i, nil),
		})
	}
	for _, n := range p.nodes {
		c.Nodes = append(c.Nodes, fabric.Node{
			Name: n.name, DataCentre: dataCentreName(n.dataCentre), UDP: p.address(n, portUDP), RPC: p.address(n, portRPC),
		})
	}
	return c
}

// rotation returns the addresses that receive a service's datagrams: those of the named nodes, or
// of all if names is nil.
func (p *plan) rotation(service int, names []string) []string {
	addresses := []string{}
	for _, n := range p.nodes {
		if names != nil && !slices.Contains(names, n.name) {
			continue
		}
		switch {
		case n.serviceIndex < 0:
			addresses = append(addresses, p.hostPort(n.host, portService+service))
		case p.Direct && n.serviceIndex == service:
			addresses = append(addresses, p.hostPort(n.host, portTarget))
		}
	}
	return addresses
}

func (p *plan) targetConfig(n node) target.Config {
	s := &p.Services[n.serviceIndex]
	c := target.Defaults()
	c.Name, c.Service = n.target, s.FullName()
	c.UDP, c.HTTP = p.hostPort(n.host, portTarget), p.hostPort(n.host, portTarget)
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

func (p *plan) commonConfig(n node) config.Node {
	c := config.Node{
		Name: n.name, DataCentre: dataCentreName(n.dataCentre), UDP: p.address(n, portUDP), RPC: p.address(n, portRPC),
		Metrics: p.hostPort(cmp.Or(n.agentHost, n.host), portMetrics),
		Keys:    []config.Key{{ID: 1, Value: p.key}}, SignWith: 1, LogLevel: "info",
	}
	for _, seed := range p.nodes {
		if seed.serviceIndex < 0 {
			c.Seeds = append(c.Seeds, p.address(seed, portRPC).Advertise)
		}
	}
	return c
}

func (p *plan) entryConfig(n node) entryFile {
	return entryFile{p.commonConfig(n), n.host, platformFile{"http://" + p.platformAddress()}}
}

func (p *plan) agentConfig(n node) agentFile {
	t := p.targetConfig(n)
	if p.Services[n.serviceIndex].Kind == "request" {
		t.UDP = "" // an agent without a UDP target serves requests
	}
	drain := cmp.Or(p.Services[n.serviceIndex].DrainTimeout, time.Minute)
	return agentFile{p.commonConfig(n), t.Service, 1, drain, targetFile{t.UDP, "http://" + t.HTTP, t.Slots}}
}

// spec returns the settings of a service as an operator writes them, with additional YAML lines.
func (p *plan) spec(i int, extraYAML string) string {
	s := &p.Services[i]
	return fmt.Sprintf("kind: %s\naddress: %s\n%s%s", s.Kind, p.serviceAddress(i), s.Settings, extraYAML)
}
