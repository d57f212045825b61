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
	keyText      = "000102030405060708090a0b0c0d0e0f"
	targets      = 7
	entries      = 4
	readers      = 4 // of each socket, as in the programs
	socketBuffer = 4 << 20
	// joinTime is how long an agent takes to announce itself as ready.
	joinTime = 800 * time.Millisecond
)

var serviceName = ident.ServiceName{Team: "bench", Name: "datapath"}

func keyring() (*wire.Keyring, error) {
	key, err := wire.ParseKey(keyText)
	if err != nil {
		return nil, err
	}
	return wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
}

// mesh is a peer that doesn't run and knows a fixed pool and fixed entries.
type mesh struct {
	peer.Mesh
	pool     []record.Node
	entries  []record.Node
	revision record.Revision
}

func (m *mesh) Pool(ident.ServiceID) []record.Node               { return m.pool }
func (m *mesh) Entries() []record.Node                           { return m.entries }
func (m *mesh) Services() []record.Revision                      { return []record.Revision{m.revision} }
func (m *mesh) Revision(ident.ServiceID) (record.Revision, bool) { return m.revision, true }
func (m *mesh) SinceLastSeen(ident.NodeID) (time.Duration, bool) { return 0, true }
func (m *mesh) IsSuspect(ident.NodeID) bool                      { return false }
func entryNode(i int) record.Node                                { return node(fmt.Sprint("entry-", i), true) }
func agentNode(i int) record.Node                                { return node(fmt.Sprint("agent-", i), false) }
func nodesOf(n int, make func(int) record.Node, at string) []record.Node {
	var out []record.Node
	for i := range n {
		r := make(i)
		r.UDPAddress = at
		out = append(out, r)
	}
	return out
}

func node(name string, isEntry bool) record.Node {
	n := record.Node{ID: ident.NewNodeID(name), Name: name, Entry: isEntry, DataCentre: "dc1", Incarnation: 1, State: record.Ready, Weight: 1}
	if !isEntry {
		n.Service, n.ServiceName = serviceName.ID(), serviceName
	}
	return n
}

// serve runs a measured program until the input ends. It answers each line with its processor time and number of allocations.
func serve(ctx context.Context, o *Options, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	run, ok := map[string]func(context.Context, *Options) error{
		"entry": runEntry, "agent": runAgent, "bare-entry": bareEntry, "bare-agent": bareAgent,
	}[o.Role]
	if !ok {
		return errors.Errorf("unknown role %q", o.Role)
	}
	if err := run(ctx, o); err != nil {
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

// open opens the transport and the mesh of a node.
func open(o *Options, self record.Node) (*transport.Transport, *mesh, *wire.Keyring, *metrics.Set, error) {
	keys, err := keyring()
	if err != nil {
		return nil, nil, nil, nil, err
	}
	set := metrics.NewSet()
	self.UDPAddress = o.address(portNode)
	t, err := transport.Open(transport.Options{
		Self: self.ID, Listen: self.UDPAddress, Advertise: self.UDPAddress, Keys: keys, Readers: readers, Metrics: set,
	})
	if err != nil {
		return nil, nil, nil, nil, err
	}
	p, err := peer.New(peer.Options{Self: self, Transport: t, Keys: keys, Logger: log.NewNopLogger(), Metrics: set})
	if err != nil {
		return nil, nil, nil, nil, err
	}
	m := &mesh{Mesh: p, revision: record.Revision{
		Service: serviceName, Number: 1, Spec: []byte("kind: feed\naddress: " + o.address(portOuter) + "\n"), Accepted: time.Now(),
	}}
	return t, m, keys, set, nil
}

func runEntry(ctx context.Context, o *Options) error {
	t, m, keys, set, err := open(o, entryNode(0))
	if err != nil {
		return err
	}
	m.pool = nodesOf(targets, agentNode, o.address(portMesh))
	logger := logging.New(io.Discard, "entry-0", "info")
	e, err := entry.New(entry.Options{
		Mesh: m, Transport: t, Keys: keys, Logger: logger, Decisions: logging.NewDecisions(logger), Metrics: set,
	})
	if err != nil {
		return err
	}
	go func() { _ = t.Run(ctx, e.Handlers(nil)) }()
	go func() { _ = e.Run(ctx) }()
	for end := time.Now().Add(joinTime); e.AppliedRevision(serviceName.ID()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("service not bound")
		}
	}
	return nil
}

func runAgent(ctx context.Context, o *Options) error {
	self := agentNode(0)
	t, m, _, set, err := open(o, self)
	if err != nil {
		return err
	}
	self.UDPAddress = o.address(portNode)
	m.pool = []record.Node{self}
	m.entries = nodesOf(entries, entryNode, o.address(portMesh))
	a, err := agent.New(agent.Options{
		Mesh: m, Transport: t, Service: serviceName, TargetUDP: o.address(portSink), Slots: 1, Parse: settings.Parse,
		Logger: logging.New(io.Discard, "agent-0", "info"), Metrics: set,
	})
	if err != nil {
		return err
	}
	go func() { _ = t.Run(ctx, a.Handlers(nil)) }()
	go func() { _ = a.Run(ctx, ctx) }()
	time.Sleep(joinTime)
	return nil
}

// bareEntry copies between the service's socket and the node's socket.
func bareEntry(_ context.Context, o *Options) error {
	outer, err := listen(o.address(portOuter))
	if err != nil {
		return err
	}
	inner, err := listen(o.address(portNode))
	if err != nil {
		return err
	}
	return errors.Join(copyLoop(outer, inner, o.address(portMesh)), copyLoop(inner, outer, o.address(portSink)))
}

// bareAgent copies between the node's socket and the target's socket.
func bareAgent(_ context.Context, o *Options) error {
	inner, err := listen(o.address(portNode))
	if err != nil {
		return err
	}
	local, err := listen(o.address(portOuter))
	if err != nil {
		return err
	}
	return errors.Join(copyLoop(inner, local, o.address(portSink)), copyLoop(local, inner, o.address(portMesh)))
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
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// copyLoop starts goroutines that send what one socket receives from the other socket: one for each core, because more of them contend for the
// socket and make the loop slower.
func copyLoop(from, through *net.UDPConn, to string) error {
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	in, err := socket.NewConn(from)
	if err != nil {
		return err
	}
	out, err := socket.NewConn(through)
	if err != nil {
		return err
	}
	for range min(readers, runtime.GOMAXPROCS(0)) {
		r, w := socket.NewReader(in, wire.MaxFrame, 0), socket.NewWriter(out)
		go func() {
			for {
				n, err := r.Read()
				if errors.Is(err, net.ErrClosed) {
					return
				}
				for i := range n {
					w.Add(at, r.Payload(i), nil)
				}
				w.Flush()
			}
		}()
	}
	return nil
}
