// Package flows runs the programs in flows mode, the mode for a fabric that delivers whole flows,
// as separate processes on loopback between stand-ins for the platform. It injects faults from
// outside the programs, through signals, proxies, the store and the targets, and checks meanwhile
// what callers and targets observe.
package flows

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// Ports, the same on all instances.
const (
	portFleet      = 7400
	portMetrics    = 7401
	portCallers    = 7500
	portReady      = 7501
	portTarget     = 7502
	portFromTarget = 7503
	portReports    = 7504
	portStore      = 7600
)

const (
	defaultHeartbeat  = 800 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	stopGrace         = 6 * time.Second
	targetRequestTime = 15 * time.Millisecond
	targetSlots       = 3
)

// Options describe a cluster.
type Options struct {
	Bin     string // directory of the programs
	Dir     string // for settings files and logs
	Subnet  int    // second octet of the loopback addresses; differs between clusters that run in parallel
	Zones   int
	Targets map[string]int // by service
	// Heartbeat is the interval of the targets' reports, defaultHeartbeat if it is 0.
	Heartbeat time.Duration
	// OnPacket, if not nil, is called for each packet of an open flow that a target receives.
	OnPacket func(platformtest.ReceivedPacket)
	// ZoneRouting is set if the fabric sends the flows of a caller to the entry of its zone, and to
	// another one only while that one is out of rotation. Otherwise it hashes flows over all entries.
	ZoneRouting bool
	Loss        float64 // share of the datagrams between nodes that are lost
	// EvacuateWithin is the setting of all nodes, left out if it is 0.
	EvacuateWithin time.Duration
	UnawareEntries bool // entries don't have the setting EvacuateWithin
}

// Process is one program of the cluster.
type Process struct {
	Name  string
	Agent bool
	argv  []string
	log   string

	mu              sync.Mutex
	command         *exec.Cmd
	ended           chan struct{}
	stopped         bool // ended by Signal, not by itself
	unexpectedExits int  // exits without a signal of this package
}

// Node is an instance with its process and links.
type Node struct {
	*Process
	Zone          int
	host          string
	advertised    string // address for control messages of other nodes
	peerProxy     *Proxy // link from other nodes
	storeProxy    *Proxy // link to the store
	target        *platformtest.Target
	targetOptions platformtest.TargetOptions
}

// Cluster is a running cluster.
type Cluster struct {
	options Options
	Store   *platformtest.Store
	Entries []*Node
	Agents  []*Node // use Nodes while agents are added or retired

	mu             sync.Mutex
	probeMisses    map[*Node]int       // consecutive failed readiness probes
	lastReady      map[*Node]time.Time // when the last successful probe was sent
	targetsStarted int                 // total, for unique target ids
	agentsAdded    int                 // total, for unique addresses
	hosts          map[netip.Addr]*Node
	onRun          func(platformtest.Run)
	onAltered      func()
	stop           chan struct{}
}

// Start starts the stand-ins and the programs. onRun is called when a target runs a request,
// onAltered when a target receives a packet that differs from the one sent.
func Start(o Options, onRun func(platformtest.Run), onAltered func()) (*Cluster, error) {
	if o.Heartbeat == 0 {
		o.Heartbeat = defaultHeartbeat
	}
	c := &Cluster{options: o, probeMisses: map[*Node]int{}, lastReady: map[*Node]time.Time{}, hosts: map[netip.Addr]*Node{}, onRun: onRun,
		onAltered: onAltered, stop: make(chan struct{})}
	store, err := platformtest.NewStore(fmt.Sprintf("127.%d.250.1:%d", o.Subnet, portStore))
	if err != nil {
		return nil, err
	}
	c.Store = store
	for zone := range o.Zones {
		if err := c.addEntry(zone); err != nil {
			return c, err
		}
	}
	for _, service := range []string{"a", "b"} {
		for i := range o.Targets[service] {
			if err := c.AddAgent(i%o.Zones, service); err != nil {
				return c, err
			}
		}
	}
	go c.probeEntries()
	return c, nil
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

func addressPort(host string, port int) netip.AddrPort {
	return netip.MustParseAddrPort(address(host, port))
}

func (c *Cluster) addEntry(zone int) error {
	n := &Node{Zone: zone, host: fmt.Sprintf("127.%d.%d.1", c.options.Subnet, zone),
		Process: &Process{Name: fmt.Sprintf("entry-%d", zone)}}
	entrySettings := fmt.Sprintf("callers: %q\nready: %q\nstop_grace: %v\n",
		address(n.host, portCallers), address(n.host, portReady), stopGrace)
	if err := c.prepare(n, "lacewing-entry", entrySettings); err != nil {
		return err
	}
	c.Entries = append(c.Entries, n)
	return n.Launch()
}

// AddAgent adds an instance with a target of a service, and its agent, to a zone.
func (c *Cluster) AddAgent(zone int, service string) error {
	c.mu.Lock()
	index := c.agentsAdded
	c.agentsAdded++
	c.mu.Unlock()
	n := &Node{
		Zone: zone, host: fmt.Sprintf("127.%d.%d.%d", c.options.Subnet, 100+zone, 1+index),
		Process: &Process{Name: fmt.Sprintf("agent-%s-%d", service, index), Agent: true},
	}
	agentSettings := fmt.Sprintf(
		"service: %q\ntarget: %q\nfrom_target: %q\nreports: %q\nready: %q\ncallers_address: %q\nheartbeat: %s\naddress_reuse: 2s\n",
		service, address(n.host, portTarget), address(n.host, portFromTarget), address(n.host, portReports),
		address(n.host, portReady),
		address(n.host, portCallers), c.options.Heartbeat)
	if err := c.prepare(n, "lacewing-agent", agentSettings); err != nil {
		return err
	}
	if err := c.StartTarget(n, service); err != nil {
		return err
	}
	if err := n.Launch(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Agents = append(c.Agents, n)
	return nil
}

// Retire stops an agent for good. Its target must have ended.
func (c *Cluster) Retire(n *Node) {
	n.Stop()
	c.mu.Lock()
	c.Agents = slices.DeleteFunc(slices.Clone(c.Agents), func(other *Node) bool { return other == n })
	c.mu.Unlock()
	n.peerProxy.Close()
	n.storeProxy.Close()
}

// StartTarget starts a target beside an agent. The previous target there must have ended.
func (c *Cluster) StartTarget(n *Node, service string) error {
	return c.StartTargetWithClock(n, service, 0)
}

// StartTargetWithClock is StartTarget on a machine whose time of day is off by clockOffset.
func (c *Cluster) StartTargetWithClock(n *Node, service string, clockOffset time.Duration) error {
	c.mu.Lock()
	c.targetsStarted++
	id := fmt.Sprintf("t-%d", c.targetsStarted)
	c.mu.Unlock()
	t, err := platformtest.StartTarget(platformtest.TargetOptions{
		ID: id, Service: service, Zone: fmt.Sprint("dc-", n.Zone),
		Address: addressPort(n.host, portTarget), FromTarget: addressPort(n.host, portFromTarget),
		Reports: address(n.host, portReports), Heartbeat: c.options.Heartbeat, Slots: targetSlots,
		RequestTime: targetRequestTime, RequestTimeOf: requestTimeOf, ClockOffset: clockOffset, OnRun: c.onRun, OnAltered: c.onAltered,
		OnPacket: c.options.OnPacket,
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	n.target = t
	n.targetOptions = platformtest.TargetOptions{ID: id, Service: service}
	c.mu.Unlock()
	return nil
}

// Target returns the target beside an agent and its service.
func (c *Cluster) Target(n *Node) (*platformtest.Target, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return n.target, n.targetOptions.Service
}

// prepare writes the settings file of a node and starts the proxies of its links.
func (c *Cluster) prepare(n *Node, program, roleSettings string) error {
	advertise := fmt.Sprintf("127.%d.%d.1", c.options.Subnet, 150+n.Zone)
	if n.Agent {
		advertise = fmt.Sprintf("127.%d.200%s", c.options.Subnet, n.host[strings.LastIndexByte(n.host, '.'):])
	}
	n.advertised = address(advertise, portFleet)
	var err error
	if n.peerProxy, err = NewProxy(addressPort(advertise, portFleet), addressPort(n.host, portFleet), true, c.options.Loss); err != nil {
		return err
	}
	c.mu.Lock()
	c.hosts[netip.MustParseAddr(n.host)] = n
	c.mu.Unlock()
	storeAddress := addressPort(n.host, portStore)
	if n.storeProxy, err = NewProxy(storeAddress, netip.MustParseAddrPort(c.Store.Address()), false, 0); err != nil {
		return err
	}
	seed := fmt.Sprintf("127.%d.150.1:%d", c.options.Subnet, portFleet)
	commonSettings := fmt.Sprintf(
		"mode: flows\nname: %s\ndata_centre: dc-%d\nfleet: %q\nadvertise: %q\nmetrics: %q\nseeds: [%q]\nstore: %q\nmemory_mb: 256\n",
		n.Name, n.Zone, address(n.host, portFleet), n.advertised, address(n.host, portMetrics), seed,
		storeAddress)
	if c.options.EvacuateWithin > 0 && (n.Agent || !c.options.UnawareEntries) {
		commonSettings += fmt.Sprintf("evacuate_within: %v\n", c.options.EvacuateWithin)
	}
	path := filepath.Join(c.options.Dir, n.Name+".yaml")
	n.log = filepath.Join(c.options.Dir, n.Name+".log")
	n.argv = []string{filepath.Join(c.options.Bin, program), "--config", path}
	return os.WriteFile(path, []byte(commonSettings+roleSettings), 0o600)
}

// Launch starts the process unless it runs.
func (p *Process) Launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the child writes to its own descriptor, so a failed close loses nothing
	command := exec.Command(p.argv[0], p.argv[1:]...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.stopped = command, ended, false
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		if !p.stopped {
			p.unexpectedExits++
		}
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.stopped = p.stopped || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.command.Process.Signal(s) // fails if the process has just ended by itself
	}
}

// Stop ends the process with SIGTERM, and with SIGKILL if it still runs after stopGrace.
func (p *Process) Stop() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopGrace):
		p.Kill()
	}
}

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-ended
}

// UnexpectedExits returns how often the process ended without SIGTERM or SIGKILL from this package.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}

// Nodes returns all nodes.
func (c *Cluster) Nodes() []*Node { return append(slices.Clone(c.Entries), c.currentAgents()...) }

func (c *Cluster) currentAgents() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Agents)
}

// nodeAt returns the node at an IP address, also if it was retired.
func (c *Cluster) nodeAt(host netip.Addr) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[host]
}

// Close kills all processes and ends the stand-ins.
func (c *Cluster) Close() {
	close(c.stop)
	var closing sync.WaitGroup
	for _, n := range c.Nodes() {
		closing.Go(func() {
			n.Signal(syscall.SIGCONT)
			n.Kill()
			n.peerProxy.Close()
			n.storeProxy.Close()
			if n.target != nil {
				n.target.Crash()
			}
		})
	}
	closing.Wait()
	c.Store.Close()
}

// probeEntries polls the readiness endpoint of the entries, as the fabric does.
func (c *Cluster) probeEntries() {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range c.Entries {
			sent := time.Now()
			go func() {
				ok := false
				if r, err := client.Get("http://" + address(n.host, portReady) + "/ready"); err == nil {
					_ = r.Body.Close()
					ok = r.StatusCode == http.StatusOK
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				if ok {
					c.probeMisses[n], c.lastReady[n] = 0, sent
				} else {
					c.probeMisses[n]++
				}
			}()
		}
		select {
		case <-c.stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// Route returns the entry to which the fabric sends the packets of a flow. An entry is out of
// rotation from its second consecutive failed probe; with no entry left, all are used.
func (c *Cluster) Route(f steering.Flow) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var readyEntries []*Node
	for _, n := range c.Entries {
		if misses, known := c.probeMisses[n]; known && misses < 2 {
			readyEntries = append(readyEntries, n)
		}
	}
	if home := c.Entries[int(f.CallerIP[3])%len(c.Entries)]; c.options.ZoneRouting &&
		(len(readyEntries) == 0 || slices.Contains(readyEntries, home)) {
		return addressPort(home.host, portCallers), true
	}
	if len(readyEntries) == 0 {
		readyEntries = c.Entries
	}
	return addressPort(readyEntries[f.Hash()%uint64(len(readyEntries))].host, portCallers), true
}

// SetStoreLink sets the fault of the link from a node to the store.
func (c *Cluster) SetStoreLink(n *Node, l Link) { n.storeProxy.Set(l) }

// SetPeerLink sets the fault of the link from other nodes to a node.
func (c *Cluster) SetPeerLink(n *Node, l Link) { n.peerProxy.Set(l) }

// Ready reports whether the last readiness probe of a node succeeded.
func (c *Cluster) Ready(n *Node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	misses, known := c.probeMisses[n]
	return known && misses == 0
}

// kindControl is the first byte of a datagram with a control message.
const kindControl = 2

// SendHeartbeat sends a heartbeat of an agent to all other nodes, as from a process of it with the given incarnation.
func (c *Cluster) SendHeartbeat(n *Node, incarnation time.Time) error {
	t, service := c.Target(n)
	return c.sendToOthers(n, &fleetv1.Message{Heartbeat: &fleetv1.Heartbeat{
		Sender: &fleetv1.Node{
			Name: n.Name, Incarnation: uint64(incarnation.UnixMicro()), DataCentre: fmt.Sprint("dc-", n.Zone), Address: n.advertised,
		},
		Sequence: 1, Direct: true,
		Target: &fleetv1.Target{Service: service, Id: n.targetOptions.ID, BornUnixMs: t.StartUnixMs(), Accepting: true, Slots: targetSlots},
	}})
}

// SendOwner sends all nodes a message of an agent that its target holds a flow.
func (c *Cluster) SendOwner(n *Node, f steering.Flow) error {
	return c.sendToOthers(n, &fleetv1.Message{FlowOwner: &fleetv1.FlowOwner{Flow: f.Append(nil), Owner: n.Name}})
}

// sendToOthers sends a message to all nodes but one, from the address of that one.
func (c *Cluster) sendToOthers(n *Node, m *fleetv1.Message) error {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kindControl}, m)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addressPort(n.host, 0)))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // nothing is read
	for _, o := range c.Nodes() {
		if o == n {
			continue
		}
		if _, err := conn.WriteToUDPAddrPort(b, addressPort(o.host, portFleet)); err != nil {
			return err
		}
	}
	return nil
}

// ReadySince reports whether a readiness probe of a node that was sent after a time has succeeded.
func (c *Cluster) ReadySince(n *Node, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReady[n].After(at)
}

// ReportsAddress returns the address at which an agent accepts the reports of its target.
func (c *Cluster) ReportsAddress(n *Node) string { return address(n.host, portReports) }

// CallersAddress returns the address at which an entry receives callers' packets.
func (c *Cluster) CallersAddress(n *Node) netip.AddrPort { return addressPort(n.host, portCallers) }
