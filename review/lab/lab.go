// Package lab runs a small deployment of the project's programs for one case: entries and agents as
// separate processes, with the project's stand-ins for the store, the targets, the callers and the
// routers (packages bench/flows and platform/platformtest).
package lab

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// Exit codes of a case.
const (
	Held    = 0 // the rule was kept
	Broken  = 1
	NotRun  = 2 // the case could not run
	timeout = 110 * time.Second
)

// callerPort is the port at which callers receive packets, the same as that of the entries.
const callerPort = 7500

// targetHeartbeat is the interval of the targets' reports.
const targetHeartbeat = 800 * time.Millisecond

// Lab is a running deployment.
type Lab struct {
	*flows.Cluster
	Caller  *platformtest.Caller
	Trouble bool // false with TROUBLE=0: the case runs without the disruption
	Subnet  int

	bin     string
	dir     string
	added   []*exec.Cmd // processes of AddAgent
	started time.Time
	mu      sync.Mutex
	record  *os.File
	runs    []platformtest.Run
	via     *flows.Node // entry to which all packets go; nil if the routers choose
}

// Start starts a deployment with the given number of zones, each with one entry, and targets by
// service. It ends the process with NotRun if that fails.
func Start(zones int, targets map[string]int) *Lab {
	bin := flag.String("bin", "", "directory of the programs of the deploy file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if l.record, err = os.Create(*recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if l.dir, err = os.MkdirTemp("", "review-"); err != nil {
		l.Fail("temporary directory: %v", err)
	}
	time.AfterFunc(timeout, func() { l.Fail("not finished after %v", timeout) })
	l.Subnet = freeSubnet()
	if l.bin, err = filepath.Abs(*bin); err != nil {
		l.Fail("programs: %v", err)
	}
	l.Cluster, err = flows.Start(flows.Options{Bin: l.bin, Dir: l.dir, Subnet: l.Subnet, Zones: zones, Targets: targets},
		l.recordRun, func() { l.Log("a target received an altered packet") })
	if err != nil {
		l.Fail("start: %v", err)
	}
	l.Caller, err = platformtest.NewCaller(l.address(240, callerPort), l.route)
	if err != nil {
		l.Fail("caller: %v", err)
	}
	l.Log("disruption: %v", l.Trouble)
	return l
}

// freeSubnet returns the second octet of loopback addresses that no other run uses.
func freeSubnet() int {
	for {
		subnet := 20 + rand.IntN(200)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7600", subnet))
		if err == nil {
			_ = listener.Close()
			return subnet
		}
	}
}

// SendVia makes the routers send all packets to one entry, as they do with the flows that test which
// config is in force; nil ends that.
func (l *Lab) SendVia(entry *flows.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.via = entry
}

func (l *Lab) route(f steering.Flow) (netip.AddrPort, bool) {
	l.mu.Lock()
	via := l.via
	l.mu.Unlock()
	if via != nil {
		return l.address(via.Zone, callerPort), true
	}
	return l.Route(f)
}

func (l *Lab) address(third, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(l.Subnet), byte(third), 1}), uint16(port))
}

// ServiceAddress returns the address of a route, to which callers send.
func (l *Lab) ServiceAddress(port int) netip.AddrPort { return l.address(241, port) }

// AddAgent adds a machine with a target and its agent, as a deployment that grows does. index differs
// between them.
func (l *Lab) AddAgent(index, zone int, service string) {
	name := fmt.Sprintf("agent-added-%d", index)
	at := func(port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", l.Subnet, 110+zone, 1+index, port) }
	settings := fmt.Sprintf("mode: flows\nname: %s\ndata_centre: dc-%d\nfleet: %q\nmetrics: %q\nseeds: [\"127.%d.150.1:7400\"]\n"+
		"store: %q\nmemory_mb: 256\nservice: %q\ntarget: %q\nfrom_target: %q\nreports: %q\nready: %q\ncallers_address: %q\n"+
		"heartbeat: %v\naddress_reuse: 2s\n", name, zone, at(7400), at(7401), l.Subnet, l.Store.Address(), service, at(7502),
		at(7503), at(7504), at(7501), at(callerPort), targetHeartbeat)
	path := filepath.Join(l.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		l.Fail("settings of %s: %v", name, err)
	}
	_, err := platformtest.StartTarget(platformtest.TargetOptions{
		ID: "t-added-" + fmt.Sprint(index), Service: service, Zone: fmt.Sprint("dc-", zone),
		Address: netip.MustParseAddrPort(at(7502)), FromTarget: netip.MustParseAddrPort(at(7503)), Reports: at(7504),
		Heartbeat: targetHeartbeat, Slots: 3, RequestTime: 15 * time.Millisecond, OnRun: l.recordRun, OnAltered: func() {},
	})
	if err != nil {
		l.Fail("target of %s: %v", name, err)
	}
	log, err := os.Create(filepath.Join(l.dir, name+".log"))
	if err != nil {
		l.Fail("log of %s: %v", name, err)
	}
	defer log.Close()
	command := exec.Command(filepath.Join(l.bin, "lacewing-agent"), "--config", path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		l.Fail("start of %s: %v", name, err)
	}
	l.mu.Lock()
	l.added = append(l.added, command)
	l.mu.Unlock()
	l.Log("%s started in zone %d", name, zone)
}

// Log writes a line into the record.
func (l *Lab) Log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

func (l *Lab) recordRun(r platformtest.Run) {
	l.mu.Lock()
	l.runs = append(l.runs, r)
	l.mu.Unlock()
	l.Log("run       %s at %s of service %s, flow %v", r.ID, r.Target, r.Service, r.Flow)
}

// Runs returns how often a request has run.
func (l *Lab) Runs(id string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.ID == id {
			n++
		}
	}
	return n
}

// AwaitReady waits until all entries are ready and the agents have found each other.
func (l *Lab) AwaitReady() {
	for _, n := range l.Entries {
		for until := time.Now().Add(10 * time.Second); !l.Ready(n); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				l.Fail("%s is not ready", n.Name)
			}
		}
	}
	time.Sleep(2 * time.Second)
	l.Log("all entries are ready")
}

// Flow is an open flow and the node whose target holds it.
type Flow struct {
	*platformtest.Flow
	Agent   *flows.Node
	Service string
	Used    time.Time // of the last answer
}

// Open opens a flow by a first request. It returns nil if that is not answered.
func (l *Lab) Open(to netip.AddrPort, id string) *Flow {
	f := l.Caller.Open(to)
	if f == nil {
		l.Log("opened    no, for request %s", id)
		return nil
	}
	outcome, target, _ := f.Request(id, 2*time.Second)
	l.Log("answered  %s: %s by %q, flow %v", id, outcome, target, f.ID)
	if outcome != platformtest.Answered {
		return nil
	}
	if n := l.Holder(f.ID); n != nil {
		_, service := l.Target(n)
		return &Flow{Flow: f, Agent: n, Service: service, Used: time.Now()}
	}
	return nil
}

// Holder returns the agent whose target is alive and holds a flow, nil if there is none.
func (l *Lab) Holder(f steering.Flow) *flows.Node {
	for _, n := range l.Agents {
		if t, _ := l.Target(n); t != nil && t.Holds(f) {
			return n
		}
	}
	return nil
}

// Finish ends the deployment and the process.
func (l *Lab) Finish(code int, format string, args ...any) {
	l.Log(format, args...)
	fmt.Printf(format+"\n", args...)
	if l.Cluster != nil {
		l.Close()
	}
	for _, command := range l.added {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	if code == NotRun || os.Getenv("KEEP") != "" {
		fmt.Println("logs:", l.dir)
	} else {
		_ = os.RemoveAll(l.dir)
	}
	os.Exit(code)
}

// Fail ends the process with NotRun.
func (l *Lab) Fail(format string, args ...any) { l.Finish(NotRun, "not run: "+format, args...) }
