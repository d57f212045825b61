package datapath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"lacewinglever.dev/node/agent"
	"lacewinglever.dev/node/entry"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/socket"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

const (
	keyText           = "000102030405060708090a0b0c0d0e0f"
	targetCount       = 7
	entryCount        = 4
	readersPerSocket  = 4 // as in the programs
	socketBufferBytes = 4 << 20
	// readyTime is the time until an agent announces that it is ready, and the time limit for an entry
	// to bind the service.
	readyTime = 800 * time.Millisecond
)

var serviceName = ident.ServiceName{Team: "bench", Name: "datapath"}

func keyring() (*wire.Keyring, error) {
	key, err := wire.ParseKey(keyText)
	if err != nil {
		return nil, err
	}
	return wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
}

// staticMesh is a peer that isn't running, with a fixed pool, fixed entries and one revision.
type staticMesh struct {
	peer.Mesh
	pool     []record.Node
	entries  []record.Node
	revision record.Revision
}

func (m *staticMesh) Pool(ident.ServiceID) []record.Node               { return m.pool }
func (m *staticMesh) Entries() []record.Node                           { return m.entries }
func (m *staticMesh) Services() []record.Revision                      { return []record.Revision{m.revision} }
func (m *staticMesh) Revision(ident.ServiceID) (record.Revision, bool) { return m.revision, true }
func (m *staticMesh) SinceLastSeen(ident.NodeID) (time.Duration, bool) { return 0, true }
func (m *staticMesh) IsSuspect(ident.NodeID) bool                      { return false }

func entryNode(i int) record.Node { return newNode(fmt.Sprint("entry-", i), true) }
func agentNode(i int) record.Node { return newNode(fmt.Sprint("agent-", i), false) }

// newNodes returns n nodes, all with the same UDP address.
func newNodes(n int, nodeAt func(int) record.Node, udpAddress string) []record.Node {
	var out []record.Node
	for i := range n {
		r := nodeAt(i)
		r.UDPAddress = udpAddress
		out = append(out, r)
	}
	return out
}

func newNode(name string, isEntry bool) record.Node {
	n := record.Node{
		ID: ident.NewNodeID(name), Name: name, Entry: isEntry, DataCentre: "dc1", Incarnation: 1, State: record.Ready, Weight: 1,
	}
	if !isEntry {
		n.Service, n.ServiceName = serviceName.ID(), serviceName
	}
	return n
}

// runMeasured runs a measured program until the input ends. For each input line it writes a line
// with its processor time in nanoseconds and its number of allocations.
func runMeasured(ctx context.Context, o *Options, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	startRole, ok := map[string]func(context.Context, *Options) error{
		"entry": startEntry, "agent": startAgent, "bare-entry": startBareEntry, "bare-agent": startBareAgent,
	}[o.Role]
	if !ok {
		return errors.Errorf("unknown role %q", o.Role)
	}
	if err := startRole(ctx, o); err != nil {
		return err
	}
	if o.Profile != "" {
		f, err := os.Create(o.Profile)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var r unix.Rusage
		if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
			return errors.Wrap(err, "resource usage")
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		fmt.Fprintf(out, "%d %d\n", r.Utime.Nano()+r.Stime.Nano(), m.Mallocs)
	}
	return nil
}

// openNode opens the transport of a node and creates its mesh.
func openNode(o *Options, self record.Node) (*transport.Transport, *staticMesh, *wire.Keyring, *metrics.Set, error) {
	keys, err := keyring()
	if err != nil {
		return nil, nil, nil, nil, err
	}
	set := metrics.NewSet()
	self.UDPAddress = o.address(portNode)
	t, err := transport.Open(transport.Options{
		Self: self.ID, Listen: self.UDPAddress, Advertise: self.UDPAddress, Keys: keys,
		Readers: readersPerSocket, Metrics: set,
	})
	if err != nil {
		return nil, nil, nil, nil, err
	}
	p, err := peer.New(peer.Options{Self: self, Transport: t, Keys: keys, Logger: log.NewNopLogger(), Metrics: set})
	if err != nil {
		return nil, nil, nil, nil, err
	}
	m := &staticMesh{Mesh: p, revision: record.Revision{
		Service: serviceName, Number: 1, Spec: []byte("kind: feed\naddress: " + o.address(portService) + "\n"),
		Accepted: time.Now(),
	}}
	return t, m, keys, set, nil
}

// startEntry starts an entry and waits until it has bound the service.
func startEntry(ctx context.Context, o *Options) error {
	t, m, keys, set, err := openNode(o, entryNode(0))
	if err != nil {
		return err
	}
	m.pool = newNodes(targetCount, agentNode, o.address(portPeers))
	logger := logging.New(io.Discard, "entry-0", "info")
	e, err := entry.New(entry.Options{
		Mesh: m, Transport: t, Keys: keys, Logger: logger, Decisions: logging.NewDecisions(logger), Metrics: set,
	})
	if err != nil {
		return err
	}
	go func() { _ = t.Run(ctx, e.Handlers(nil)) }()
	go func() { _ = e.Run(ctx) }()
	for end := time.Now().Add(readyTime); e.AppliedRevision(serviceName.ID()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("service not bound")
		}
	}
	return nil
}

// startAgent starts an agent and waits until it is ready.
func startAgent(ctx context.Context, o *Options) error {
	self := agentNode(0)
	t, m, _, set, err := openNode(o, self)
	if err != nil {
		return err
	}
	self.UDPAddress = o.address(portNode)
	m.pool = []record.Node{self}
	m.entries = newNodes(entryCount, entryNode, o.address(portPeers))
	a, err := agent.New(agent.Options{
		Mesh: m, Transport: t, Service: serviceName, TargetUDP: o.address(portSink), Slots: 1, Parse: settings.Parse,
		Logger: logging.New(io.Discard, "agent-0", "info"), Metrics: set,
	})
	if err != nil {
		return err
	}
	go func() { _ = t.Run(ctx, a.Handlers(nil)) }()
	go func() { _ = a.Run(ctx, ctx) }()
	time.Sleep(readyTime)
	return nil
}

// startBareEntry starts copy loops between the service's socket and the node's socket.
func startBareEntry(_ context.Context, o *Options) error {
	serviceConn, err := listen(o.address(portService))
	if err != nil {
		return err
	}
	nodeConn, err := listen(o.address(portNode))
	if err != nil {
		return err
	}
	return errors.Join(
		startCopyLoop(serviceConn, nodeConn, o.address(portPeers)),
		startCopyLoop(nodeConn, serviceConn, o.address(portSink)),
	)
}

// startBareAgent starts copy loops between the node's socket and a socket for the target.
func startBareAgent(_ context.Context, o *Options) error {
	nodeConn, err := listen(o.address(portNode))
	if err != nil {
		return err
	}
	targetConn, err := listen(o.address(portService))
	if err != nil {
		return err
	}
	return errors.Join(
		startCopyLoop(nodeConn, targetConn, o.address(portSink)),
		startCopyLoop(targetConn, nodeConn, o.address(portPeers)),
	)
}

func listen(address string) (*net.UDPConn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// startCopyLoop starts goroutines that send the datagrams received at one socket through the other.
// There is at most one per core, because more of them contend for the socket and make the loop
// slower.
func startCopyLoop(source, output *net.UDPConn, to string) error {
	destination, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	in, err := socket.NewConn(source)
	if err != nil {
		return err
	}
	out, err := socket.NewConn(output)
	if err != nil {
		return err
	}
	for range min(readersPerSocket, runtime.GOMAXPROCS(0)) {
		r, w := socket.NewReader(in, wire.MaxFrameSize, 0), socket.NewWriter(out)
		go func() {
			for {
				n, err := r.Read()
				if errors.Is(err, net.ErrClosed) {
					return
				}
				for i := range n {
					w.Add(destination, r.Payload(i), nil)
				}
				w.Flush()
			}
		}()
	}
	return nil
}
