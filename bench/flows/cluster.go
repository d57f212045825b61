// Package flows runs the programs in their mode for a fabric of flows, as separate processes on loopback, between stand-ins for the platform. Faults
// come from outside of the programs: signals, proxies, the store, the targets. What callers and targets see is checked while they run.
package flows

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// Ports, the same on all instances.
const (
	portFleet   = 7400
	portMetrics = 7401
	portCallers = 7500
	portReady   = 7501
	portTarget  = 7502
	portFrom    = 7503
	portReports = 7504
	portStore   = 7600
)

const (
	heartbeat  = 800 * time.Millisecond
	probeEvery = 500 * time.Millisecond
	stopGrace  = 6 * time.Second
	targetWork = 15 * time.Millisecond
	slots      = 3
)

// Options describe a cluster.
type Options struct {
	Bin     string // directory of the programs
	Dir     string // for settings files and logs
	Subnet  int    // second number of the loopback addresses, so that clusters can run side by side
	Zones   int
	Targets map[string]int // by service
}

// Process is one program of the cluster.
type Process struct {
	Name  string
	Agent bool
	argv  []string
	log   string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	stopped bool // by this package
	exits   int  // that nobody asked for
}

// Node is an instance with its process and links.
type Node struct {
	*Process
	Zone   int
	host   string
	peers  *Proxy // from other nodes
	store  *Proxy // to the store
	target *platformtest.Target
	kind   platformtest.TargetOptions
}

// Cluster is a running cluster.
type Cluster struct {
	o       Options
	Store   *platformtest.Store
	Entries []*Node
	Agents  []*Node

	mu      sync.Mutex
	ready   map[*Node]int // misses of the fabric's probes
	targets int           // started so far
	ran     func(platformtest.Run)
	altered func()
	stop    chan struct{}
}

// Start starts the stand-ins and the programs. ran is called when a request runs, altered when a target gets a packet that nobody wrote.
func Start(o Options, ran func(platformtest.Run), altered func()) (*Cluster, error) {
	c := &Cluster{o: o, ready: map[*Node]int{}, ran: ran, altered: altered, stop: make(chan struct{})}
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
			if err := c.addAgent(i%o.Zones, service); err != nil {
				return c, err
			}
		}
	}
	go c.probe()
	return c, nil
}

func address(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

func addressPort(host string, port int) netip.AddrPort {
	return netip.MustParseAddrPort(address(host, port))
}

func (c *Cluster) addEntry(zone int) error {
	n := &Node{Zone: zone, host: fmt.Sprintf("127.%d.%d.1", c.o.Subnet, zone), Process: &Process{Name: fmt.Sprintf("entry-%d", zone)}}
	own := fmt.Sprintf("callers: %q\nready: %q\nstop_grace: %v\n", address(n.host, portCallers), address(n.host, portReady), stopGrace)
	if err := c.prepare(n, "lacewing-entry", own); err != nil {
		return err
	}
	c.Entries = append(c.Entries, n)
	return n.Launch()
}

func (c *Cluster) addAgent(zone int, service string) error {
	index := len(c.Agents)
	n := &Node{
		Zone: zone, host: fmt.Sprintf("127.%d.%d.%d", c.o.Subnet, 100+zone, 1+index),
		Process: &Process{Name: fmt.Sprintf("agent-%s-%d", service, index), Agent: true},
	}
	own := fmt.Sprintf("service: %q\ntarget: %q\nfrom_target: %q\nreports: %q\nready: %q\ncallers_address: %q\nheartbeat: %s\naddress_reuse: 2s\n",
		service, address(n.host, portTarget), address(n.host, portFrom), address(n.host, portReports), address(n.host, portReady),
		address(n.host, portCallers), heartbeat)
	if err := c.prepare(n, "lacewing-agent", own); err != nil {
		return err
	}
	c.Agents = append(c.Agents, n)
	if err := c.StartTarget(n, service); err != nil {
		return err
	}
	return n.Launch()
}

// StartTarget starts a target beside an agent. The one before it must have ended.
func (c *Cluster) StartTarget(n *Node, service string) error {
	c.mu.Lock()
	c.targets++
	id := fmt.Sprintf("t-%d", c.targets)
	c.mu.Unlock()
	t, err := platformtest.StartTarget(platformtest.TargetOptions{
		ID: id, Service: service, Zone: fmt.Sprint("dc-", n.Zone), Address: addressPort(n.host, portTarget), FromTarget: addressPort(n.host, portFrom),
		Reports: address(n.host, portReports), Heartbeat: heartbeat, Slots: slots, RequestTime: targetWork, OnRun: c.ran, OnAltered: c.altered,
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	n.target = t
	n.kind = platformtest.TargetOptions{ID: id, Service: service}
	c.mu.Unlock()
	return nil
}

// Target returns the target beside an agent and its service.
func (c *Cluster) Target(n *Node) (*platformtest.Target, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return n.target, n.kind.Service
}

// prepare writes the settings file of a node and opens its links.
func (c *Cluster) prepare(n *Node, program, own string) error {
	advertise := fmt.Sprintf("127.%d.%d.1", c.o.Subnet, 150+n.Zone)
	if n.Agent {
		advertise = fmt.Sprintf("127.%d.%d.%d", c.o.Subnet, 200, 1+len(c.Agents))
	}
	var err error
	if n.peers, err = NewProxy(addressPort(advertise, portFleet), addressPort(n.host, portFleet), true); err != nil {
		return err
	}
	storeProxy := addressPort(n.host, portStore)
	if n.store, err = NewProxy(storeProxy, netip.MustParseAddrPort(c.Store.Address()), false); err != nil {
		return err
	}
	seed := fmt.Sprintf("127.%d.150.1:%d", c.o.Subnet, portFleet)
	text := fmt.Sprintf("mode: flows\nname: %s\ndata_centre: dc-%d\nfleet: %q\nadvertise: %q\nmetrics: %q\nseeds: [%q]\nstore: %q\nmemory_mb: 256\n",
		n.Name, n.Zone, address(n.host, portFleet), address(advertise, portFleet), address(n.host, portMetrics), seed, storeProxy)
	path := filepath.Join(c.o.Dir, n.Name+".yaml")
	n.log = filepath.Join(c.o.Dir, n.Name+".log")
	n.argv = []string{filepath.Join(c.o.Bin, program), "--config", path}
	return os.WriteFile(path, []byte(text+own), 0o600)
}

// Launch starts the process.
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
	defer func() { _ = log.Close() }() // nothing of it is needed after a failed write
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
			p.exits++
		}
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.stopped = p.stopped || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.command.Process.Signal(s) // it may have ended by itself in this moment
	}
}

// Stop ends the process: by SIGTERM, and by SIGKILL after the grace.
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

// Kill ends the process at once.
func (p *Process) Kill() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-ended
}

// Exits returns how often the process ended though nobody asked for it.
func (p *Process) Exits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exits
}

// Close ends all processes and stand-ins.
func (c *Cluster) Close() {
	close(c.stop)
	var all sync.WaitGroup
	for _, n := range append(append([]*Node{}, c.Entries...), c.Agents...) {
		all.Go(func() {
			n.Signal(syscall.SIGCONT)
			n.Kill()
			n.peers.Close()
			n.store.Close()
			if n.target != nil {
				n.target.Crash()
			}
		})
	}
	all.Wait()
	c.Store.Close()
}

// probe asks the entries whether they are ready, as the fabric does.
func (c *Cluster) probe() {
	client := &http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range c.Entries {
			go func() {
				ok := false
				if r, err := client.Get("http://" + address(n.host, portReady) + "/ready"); err == nil {
					_ = r.Body.Close()
					ok = r.StatusCode == http.StatusOK
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				if ok {
					c.ready[n] = 0
				} else {
					c.ready[n]++
				}
			}()
		}
		select {
		case <-c.stop:
			return
		case <-time.After(probeEvery):
		}
	}
}

// Route returns the entry that the fabric sends a packet of a flow to.
func (c *Cluster) Route(f steering.Flow) (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var in []*Node
	for _, n := range c.Entries {
		if misses, known := c.ready[n]; known && misses < 2 {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		in = c.Entries
	}
	return addressPort(in[f.Hash()%uint64(len(in))].host, portCallers), true
}

// CutStore harms the link of a node to the store.
func (c *Cluster) CutStore(n *Node, l Link) { n.store.Set(l) }

// Ready tells whether the fabric takes a node as ready.
func (c *Cluster) Ready(n *Node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	misses, known := c.ready[n]
	return known && misses == 0
}

// ReportsAddress returns where an agent takes its target's calls.
func (c *Cluster) ReportsAddress(n *Node) string { return address(n.host, portReports) }
