// Package fleet connects a node with the others behind a fabric that delivers whole flows, and with the platform's store: who the other nodes are,
// what their targets take, and which routes are in force. Nodes tell each other by heartbeats, and the store holds what must last: the
// operator's routes and one record a node.
package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/audience"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/registry"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

const (
	// beliefLines bounds the lines a second about other nodes. The loss of a data centre changes hundreds at once.
	beliefLines = 50
	// joinEvery is the interval in which a node asks seeds for others until it knows enough.
	joinEvery = 300 * time.Millisecond
	// joinAsks is the number of nodes beside the seeds that are asked at a time. Each answers with all that it knows, some 70 bytes a node: a fleet that
	// starts and asks all sends more than its callers do in a minute.
	joinAsks = 2
	// nodesPerMessage keeps answers to a joining node below the smallest usual MTU.
	nodesPerMessage = 10
	// socketBuffer is the size of socket buffers, in bytes.
	socketBuffer = 1 << 20
	// datagramSize is more than the largest frame, in bytes.
	datagramSize = 4096
)

// Handler takes what concerns the data path.
type Handler interface {
	// HandlePacket takes a caller's packet from another node. r and its packet are valid until Relay returns.
	HandlePacket(now time.Duration, r *ForwardedPacket)
	// RecordOwner takes the word of an agent that its target holds a flow.
	RecordOwner(flow steering.Flow, owner ident.NodeID)
	// FillHeartbeat fills in what this node says of itself.
	FillHeartbeat(now time.Duration, b *roster.Heartbeat)
}

// Options configure a Fleet.
type Options struct {
	Settings  *Settings
	Entry     bool
	Service   string // expected service of an agent's target
	OnDrained func() // called if the target had announced its end before this life of an agent
	Handler   Handler
	Logger    log.Logger
	Metrics   *metrics.Set
}

// Fleet is a node's part in the fleet.
type Fleet struct {
	options Options
	Self    roster.Node
	Roster  *roster.Roster
	Routes  routes.Current
	store   *platform.Store
	conn    *net.UDPConn
	seeds   atomic.Pointer[[]netip.AddrPort]
	started time.Duration

	listed   atomic.Bool // the store has named all nodes in this life
	joined   atomic.Bool // a node has named those that it knows
	leaving  atomic.Bool
	wake     chan struct{} // a heartbeat to all is due
	loaded   chan struct{} // a heartbeat to those that place flows is due
	fetch    chan roster.Peer
	sequence atomic.Uint64 // of heartbeats

	buffers    sync.Pool // *[]byte
	received   *metrics.Counter
	sent       *metrics.Counter
	malformed  *metrics.Counter
	heartbeats *metrics.Counter
	digests    *metrics.Counter
	sendFails  *metrics.Counter
	storeSeen  dependency
	beliefs    *logging.Decisions
	draining   atomic.Bool                          // the target has announced its end
	reported   atomic.Bool                          // the target has reported in this life
	rewrite    chan struct{}                        // the own record is out of date
	records    registry.Observer                    // only used by register
	change     atomic.Pointer[fleetv1.RoutesChange] // to be announced with the next heartbeat to all
	told       telling
}

// New opens the node's socket. It sends nothing before Run.
func New(o Options) (*Fleet, error) {
	address, err := netip.ParseAddrPort(o.Settings.Advertise)
	if err != nil {
		return nil, errors.Wrap(err, "advertised address")
	}
	conn, err := ListenUDP(o.Settings.Fleet)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		options: o,
		Self: roster.Node{
			ID: ident.NewNodeID(o.Settings.Name), Name: o.Settings.Name, Incarnation: ident.Incarnation(time.Now().UnixMicro()),
			Entry: o.Entry, DataCentre: ident.DataCentre(o.Settings.DataCentre), Address: address,
		},
		conn: conn, started: Now(),
		wake: make(chan struct{}, 1), loaded: make(chan struct{}, 1), fetch: make(chan roster.Peer, 16), rewrite: make(chan struct{}, 1),
		storeSeen: dependency{name: "store", logger: o.Logger},
		beliefs:   logging.NewDecisionsWithLimit(o.Logger, beliefLines),
	}
	f.setSeeds(o.Settings.Seeds)
	f.Roster = roster.New(f.Self.ID)
	f.store = platform.NewStore(o.Settings.Store, f.observeStore)
	f.buffers.New = func() any { b := make([]byte, 0, datagramSize); return &b }
	f.addMetrics(o.Metrics)
	return f, nil
}

// ListenUDP opens a socket with buffers that hold a burst.
func ListenUDP(address string) (*net.UDPConn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// Smaller buffers than asked for still serve, so that failures are only a loss under bursts.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

func (f *Fleet) addMetrics(m *metrics.Set) {
	f.received = m.NewCounter("lacewing_fleet_received_bytes_total")
	f.sent = m.NewCounter("lacewing_fleet_sent_bytes_total")
	f.malformed = m.NewCounter("lacewing_fleet_malformed_total")
	f.heartbeats = m.NewCounter("lacewing_fleet_heartbeats_sent_total")
	f.digests = m.NewCounter("lacewing_fleet_digests_sent_total")
	f.sendFails = m.NewCounter("lacewing_fleet_send_failures_total")
	m.NewGauge("lacewing_routes_revision", func() float64 { return float64(f.Routes.Revision()) })
	m.NewGauge("lacewing_fleet_nodes", func() float64 { return float64(len(f.Roster.Peers())) })
}

// Run takes part in the fleet until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.receive(ctx) })
	g.Go(func() error { f.beats(ctx); return nil })
	g.Go(func() error { return f.relay(ctx) })
	g.Go(func() error { f.join(ctx); return nil })
	g.Go(func() error { f.register(ctx); return nil })
	g.Go(func() error { f.readRoutes(ctx); return nil })
	g.Go(func() error { f.fetchRoutes(ctx); return nil })
	g.Go(func() error { return f.serveRoutes(ctx) })
	return g.Wait()
}

// RosterComplete tells whether all nodes that may hold flows are in the roster: the store has named those that registered, and another node, or the
// heartbeats of one round, those that could not register. Whether each of them was heard is for the roster to tell.
func (f *Fleet) RosterComplete(now time.Duration) bool {
	return f.listed.Load() && (f.joined.Load() || now-f.started > oneRound)
}

// oneRound is the time in which every node that knows this one has told it of itself, or its data centre has by a digest.
const oneRound = 1200 * time.Millisecond

// Leave announces that the process stops.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.Announce()
}

// SetDraining notes in this node's record whether its target has announced its end.
func (f *Fleet) SetDraining(draining bool) {
	f.reported.Store(true)
	if f.draining.Swap(draining) == draining {
		return
	}
	select {
	case f.rewrite <- struct{}{}:
	default:
	}
}

// Announce sends a heartbeat to all nodes at once.
func (f *Fleet) Announce() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// AnnounceLoad sends a heartbeat at once to those that place flows on this node's target.
func (f *Fleet) AnnounceLoad() {
	select {
	case f.loaded <- struct{}{}:
	default:
	}
}

// Send sends a caller's packet to an agent. It returns false if the packet has been offered to as many agents as a frame can name.
func (f *Fleet) Send(to netip.AddrPort, r *ForwardedPacket) bool {
	if len(r.Tried) > maxTried {
		return false
	}
	buffer := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(buffer)
	*buffer = r.Append((*buffer)[:0])
	f.write(to, *buffer)
	return true
}

// SendOwner tells an entry that this node's target holds a flow.
func (f *Fleet) SendOwner(entry netip.AddrPort, flow steering.Flow) {
	f.sendMessage(entry, &fleetv1.Message{FlowOwner: &fleetv1.FlowOwner{Flow: flow.Append(nil), Owner: f.Self.Name}})
}

func (f *Fleet) write(to netip.AddrPort, b []byte) {
	if _, err := f.conn.WriteToUDPAddrPort(b, to); err != nil {
		f.sendFails.Inc()
		return
	}
	f.sent.Add(len(b))
}

func (f *Fleet) sendMessage(to netip.AddrPort, m *fleetv1.Message) {
	f.write(to, encode(m))
}

func encode(m *fleetv1.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kindControl}, m)
	if err != nil {
		panic("message can't be encoded: " + err.Error()) // only for text that is not UTF-8, which settings exclude
	}
	return b
}

// forget removes nodes that were silent for long.
func (f *Fleet) forget(now time.Duration) {
	for _, p := range f.Roster.Expire(now) {
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "node forgotten", logging.KeyPeer, p.Name, logging.KeyAge, now-p.LastSeen)
	}
}

// join asks the seeds and a few others for nodes until one has answered.
func (f *Fleet) join(ctx context.Context) {
	for timing.Sleep(ctx, joinEvery) {
		if f.joined.Load() {
			return
		}
		now := Now()
		message := encode(f.heartbeat(now, audience.Receiver{}, true))
		for _, seed := range *f.seeds.Load() {
			if seed != f.Self.Address {
				f.write(seed, message)
			}
		}
		for _, p := range audience.Sample(joinAsks, f.Roster.Peers(), func(p *roster.Peer) bool { return p.Running(now) }, rand.IntN) {
			f.write(p.Address, message)
		}
	}
}

// receive reads datagrams of other nodes until the context ends.
func (f *Fleet) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	buffer := make([]byte, datagramSize)
	known := names{}
	var relay ForwardedPacket
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.malformed.Inc()
			continue
		}
		f.received.Add(n)
		if n == 0 {
			continue
		}
		now := Now()
		switch buffer[0] {
		case kindRelay:
			if relay.decode(buffer[1:n], known) != nil {
				f.malformed.Inc()
				continue
			}
			f.options.Handler.HandlePacket(now, &relay)
		case kindControl:
			f.control(now, buffer[1:n])
		default:
			f.malformed.Inc()
		}
	}
}

func (f *Fleet) control(now time.Duration, b []byte) {
	var m fleetv1.Message
	if proto.Unmarshal(b, &m) != nil {
		f.malformed.Inc()
		return
	}
	if m.GetRoutes() != nil {
		f.hearRoutes(m.GetRoutes(), m.GetHeartbeat().GetSender().GetName())
	}
	if h := m.GetHeartbeat(); h != nil {
		f.hear(now, h)
	}
	if d := m.GetDigest(); d != nil {
		f.hearDigest(now, d)
	}
	for _, n := range m.GetNodes() {
		f.learn(now, n, "node")
	}
	if len(m.GetNodes()) > 0 {
		f.joined.Store(true)
	}
	if o := m.GetFlowOwner(); o != nil {
		flow, err := steering.DecodeFlow(o.GetFlow())
		if err != nil {
			f.malformed.Inc()
			return
		}
		f.options.Handler.RecordOwner(flow, ident.NewNodeID(o.GetOwner()))
	}
}

// hear takes a heartbeat, answers a node that is new here, and asks it for newer routes.
func (f *Fleet) hear(now time.Duration, h *fleetv1.Heartbeat) {
	n, b, err := fromHeartbeat(h)
	if err != nil {
		f.malformed.Inc()
		return
	}
	if n.ID == f.Self.ID {
		return
	}
	change := f.Roster.RecordHeartbeat(now, n, b)
	if change == roster.Joined || h.GetJoin() {
		f.introduce(now, &n)
	}
	if h.GetJoin() {
		f.sendNodes(n)
	}
	f.heard(&n, &b, change)
}

// heard acts on what a heartbeat or a digest has changed, and asks a node with newer routes for them.
func (f *Fleet) heard(n *roster.Node, b *roster.Heartbeat, change roster.Change) {
	if change > roster.Unchanged {
		f.logBelief(n, b, change)
	}
	if b.Revision > f.Routes.Revision() {
		p, _ := f.Roster.Find(n.ID)
		select {
		case f.fetch <- p:
		default: // as many fetches wait as are useful
		}
	}
}

func (f *Fleet) logBelief(n *roster.Node, b *roster.Heartbeat, change roster.Change) {
	if !f.beliefs.Allow() {
		return
	}
	f.beliefs.Log(
		"node "+changeNames[change], logging.KeyPeer, n.Name, "incarnation", uint64(n.Incarnation), "sequence", b.Sequence,
		"leaving", b.Leaving, logging.KeyService, b.Target.Service, logging.KeyTarget, b.Target.ID, "accepting", b.Target.Accepting,
		"absent", b.Target.Ended, logging.KeyRevision, b.Revision)
}

var changeNames = map[roster.Change]string{roster.Returned: "heard again", roster.Changed: "changed", roster.Joined: "joined"}

// learn adds a node that the store or another node names, and introduces this node to it.
func (f *Fleet) learn(now time.Duration, n *fleetv1.Node, source string) {
	node, err := fromNode(n)
	if err != nil {
		f.malformed.Inc()
		return
	}
	f.learnNode(now, node, "", false, source)
}

// learnNode adds a node, introduces this node to it, and returns whether it was unknown.
func (f *Fleet) learnNode(now time.Duration, n roster.Node, service string, drained bool, source string) bool {
	if !f.Roster.Add(now, n, service, drained) {
		return false
	}
	if f.beliefs.Allow() {
		f.beliefs.Log("node learnt", logging.KeyPeer, n.Name, "from", source, logging.KeyService, service, "drained", drained)
	}
	f.introduce(now, &n)
	return true
}

// sendNodes tells a node which others there are.
func (f *Fleet) sendNodes(to roster.Node) {
	now := Now()
	nodes := []*fleetv1.Node{toNode(&f.Self)}
	for _, p := range f.Roster.Peers() {
		if p.Running(now) {
			nodes = append(nodes, toNode(&p.Node))
		}
	}
	for len(nodes) > 0 {
		n := min(nodesPerMessage, len(nodes))
		f.sendMessage(to.Address, &fleetv1.Message{Nodes: nodes[:n]})
		nodes = nodes[n:]
	}
}

// setSeeds replaces the nodes that are asked for others. Seeds that can't be read are left out.
func (f *Fleet) setSeeds(seeds []string) {
	var addresses []netip.AddrPort
	for _, seed := range seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "seed left out", "seed", seed, logging.KeyError, err)
			continue
		}
		addresses = append(addresses, netip.AddrPortFrom(a.Addr(), f.Self.Address.Port()))
	}
	f.seeds.Store(&addresses)
}
