// Package fleet is what entries and agents share in the mode flows (config.ModeFlows), in which the
// platform's fabric delivers whole flows. It connects a node with the other nodes and with the
// platform's store, and keeps the membership, the load of the targets and the routes in force.
// Nodes exchange heartbeats; the store holds what must persist: the operator's routes, and one
// record for each node.
package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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
	"lacewinglever.dev/policy/digest"
	"lacewinglever.dev/policy/evacuation"
	"lacewinglever.dev/policy/heartbeat"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/stalerecords"
	"lacewinglever.dev/policy/steering"
)

const (
	// nodeLinesPerSecond limits the log lines about other nodes, per second. The loss of a data
	// centre changes hundreds of nodes at once.
	nodeLinesPerSecond = 50
	// joinInterval is the interval at which a starting node requests nodes from the seeds until one
	// has answered.
	joinInterval = 300 * time.Millisecond
	// joinPeers is the number of known nodes that get a join request in addition to the seeds. Each
	// answers with all nodes of its roster, at some 70 bytes per node: if all nodes of a starting
	// fleet sent requests to all others, the answers would exceed its callers' traffic of a minute.
	joinPeers = 2
	// settlingTime is how much earlier than this node another one must have started to know of nodes that
	// were away when this one started. It exceeds the spread of a common start.
	settlingTime = 2 * time.Second
	// nodesPerMessage keeps each answer to a join request below the smallest usual MTU.
	nodesPerMessage   = 10
	socketBufferBytes = 1 << 20
	// maxDatagramBytes is more than the size of the largest frame.
	maxDatagramBytes = 4096
)

// Handler is the node's data path.
type Handler interface {
	// HandlePacket handles a caller's packet from another node. p and its bytes are valid until
	// HandlePacket returns.
	HandlePacket(now time.Duration, p *ForwardedPacket)
	// RecordOwner handles an agent's message that its target holds a flow.
	RecordOwner(flow steering.Flow, owner ident.NodeID)
	// RecordProgress handles an agent's message that it has passed a packet of a flow on to the next agent, or holds it
	// if next is 0.
	RecordProgress(now time.Duration, flow steering.Flow, agent, next ident.NodeID)
	// AnswerOwnerQuery returns, for each of the flows, whether the target of this node holds it.
	AnswerOwnerQuery(now time.Duration, flows []steering.Flow) []ownerquery.Verdict
	// RecordOwnerAnswer handles an agent's answer to a query of this node.
	RecordOwnerAnswer(now time.Duration, agent ident.NodeID, id uint32, verdicts []ownerquery.Verdict)
	// FillHeartbeat fills in the fields of this node's heartbeat that the data path owns.
	FillHeartbeat(now time.Duration, hb *roster.Heartbeat)
}

// Options configure a Fleet.
type Options struct {
	Settings  *Settings
	Entry     bool
	Service   string // service that an agent's target is expected to have
	OnDrained func() // called if the target announced its end to an earlier incarnation of the agent
	Handler   Handler
	Logger    log.Logger
	Metrics   *metrics.Set
}

// Fleet is a node's membership of the fleet, and its client of the store.
type Fleet struct {
	options Options
	Self    roster.Node
	Roster  *roster.Roster
	Routes  routes.Current
	store   *platform.Store
	conn    *net.UDPConn
	seeds   atomic.Pointer[[]netip.AddrPort]
	started time.Duration
	// incarnation is that of Self, or a later one if other nodes know a later one: the clock has gone back
	// since the last start.
	incarnation atomic.Uint64

	storeListed     atomic.Bool // the store's node records have been read since the start
	joined          atomic.Bool // a node has answered that knows all nodes that may hold flows
	joining         atomic.Bool // the node requests nodes, or has done so
	answered        atomic.Bool // any node has answered with the nodes of its roster
	joinedRunning   atomic.Bool // a node whose roster is complete has answered
	leaving         atomic.Bool
	announceDue     chan struct{}    // receives when a heartbeat to all receivers of the plan is due
	announceLoadDue chan struct{}    // receives when a heartbeat to the recent entries is due
	fetch           chan roster.Peer // nodes that have newer routes
	sequence        atomic.Uint64    // of the last heartbeat

	buffers         sync.Pool // *[]byte
	bytesReceived   *metrics.Counter
	bytesSent       *metrics.Counter
	malformed       *metrics.Counter
	heartbeatsSent  *metrics.Counter
	digestsSent     *metrics.Counter
	sendFailures    *metrics.Counter
	probesSent      *metrics.Counter
	stalls          *metrics.Counter
	instanceProbes  chan struct{} // holds an element for each connection that is being tried
	storeDependency dependency
	storeLost       atomic.Bool   // the last read of the routes has failed
	storeEra        atomic.Uint64 // highest era of the store that this node knows, 0 if none
	nodeLog         *logging.Decisions
	draining        atomic.Bool                          // the target has announced its end
	targetReported  atomic.Bool                          // the target has reported since the start
	recordDue       chan struct{}                        // receives when this node's record may be out of date
	recordObserver  stalerecords.Observer                // only used by the goroutine of maintainRecord
	pendingChange   atomic.Pointer[fleetv1.RoutesChange] // sent with the next announcement
	flowLists       flowLists
	formerServices  routes.FormerServices
	outgoing        outgoingState
	evacuations     evacuationState
	locality        localityState
}

// New opens the node's socket. Nothing is sent before Run.
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
			ID: ident.NewNodeID(o.Settings.Name), Name: o.Settings.Name,
			Incarnation: ident.Incarnation(time.Now().UnixMicro()),
			Entry:       o.Entry, DataCentre: ident.DataCentre(o.Settings.DataCentre), Address: address,
		},
		conn: conn, started: Now(),
		announceDue: make(chan struct{}, 1), announceLoadDue: make(chan struct{}, 1),
		fetch: make(chan roster.Peer, 16), recordDue: make(chan struct{}, 1),
		instanceProbes:  make(chan struct{}, maxConnectionsAtOnce),
		storeDependency: dependency{name: "store", logger: o.Logger},
		nodeLog:         logging.NewDecisionsWithLimit(o.Logger, nodeLinesPerSecond),
		evacuations:     evacuationState{unknown: map[ident.DataCentre]struct{}{}},
	}
	f.evacuations.freshness = evacuation.NewFreshness(f.started, o.Settings.EvacuateWithin)
	f.incarnation.Store(uint64(f.Self.Incarnation))
	f.setSeeds(o.Settings.Seeds)
	f.Roster = roster.New(f.Self.ID)
	f.store = platform.NewStore(o.Settings.Store, f.observeStore)
	f.buffers.New = func() any { b := make([]byte, 0, maxDatagramBytes); return &b }
	f.addMetrics(o.Metrics)
	return f, nil
}

// ListenUDP opens a socket with buffers that hold a burst of datagrams.
func ListenUDP(address string) (*net.UDPConn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// The system may grant smaller buffers. The only consequence is more loss under bursts.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

func (f *Fleet) addMetrics(m *metrics.Set) {
	f.bytesReceived = m.NewCounter("lacewing_fleet_received_bytes_total")
	f.bytesSent = m.NewCounter("lacewing_fleet_sent_bytes_total")
	f.malformed = m.NewCounter("lacewing_fleet_malformed_total")
	f.heartbeatsSent = m.NewCounter("lacewing_fleet_heartbeats_sent_total")
	f.digestsSent = m.NewCounter("lacewing_fleet_digests_sent_total")
	f.sendFailures = m.NewCounter("lacewing_fleet_send_failures_total")
	f.probesSent = m.NewCounter("lacewing_fleet_probes_sent_total")
	f.stalls = m.NewCounter("lacewing_stalls_total")
	f.flowLists.awaiting = m.NewCounter("lacewing_searches_awaiting_agent_total")
	m.NewGauge("lacewing_routes_revision", func() float64 { return float64(f.Routes.Position().Revision) })
	m.NewGauge("lacewing_routes_version", func() float64 { return float64(f.Routes.Position().Version) })
	m.NewGauge("lacewing_store_era", func() float64 { return float64(f.storeEra.Load()) })
	m.NewGauge("lacewing_fleet_nodes", func() float64 { return float64(len(f.Roster.Peers())) })
	m.NewGauge("lacewing_fleet_direct", func() float64 { return gaugeOf(f.reachesAll(Now())) })
	m.NewGauge("lacewing_fleet_relay", func() float64 { return gaugeOf(f.outgoing.isRelay.Load()) })
}

func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Run runs the background work of the node until the context ends.
func (f *Fleet) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.receive(ctx) })
	g.Go(func() error { f.sendHeartbeats(ctx); return nil })
	g.Go(func() error { return f.sendDigests(ctx) })
	g.Go(func() error { f.join(ctx); return nil })
	g.Go(func() error { f.maintainRecord(ctx); return nil })
	g.Go(func() error { f.readRoutes(ctx); return nil })
	g.Go(func() error { f.fetchRoutes(ctx); return nil })
	if f.readsEvacuations() {
		g.Go(func() error { f.readEvacuations(ctx); return nil })
		g.Go(func() error { return f.watchEvacuations(ctx) })
		g.Go(func() error { return f.reportEvacuations(ctx) })
	}
	g.Go(func() error { return f.serveRoutes(ctx) })
	g.Go(func() error { return f.measureRoundTrips(ctx) })
	return g.Wait()
}

// recordRunning records that this process is running.
func (f *Fleet) recordRunning() {
	if pause := f.Roster.RecordRunning(Now()); pause > 0 {
		f.stalls.Inc()
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "process was stalled", logging.KeyAge, pause)
	}
}

// self returns this node with its present incarnation.
func (f *Fleet) self() *roster.Node {
	n := f.Self
	n.Incarnation = ident.Incarnation(f.incarnation.Load())
	return &n
}

// observeOwnIncarnation takes note of an incarnation of this node that others know. Its heartbeats have to
// be of a later one to count there.
func (f *Fleet) observeOwnIncarnation(known ident.Incarnation, from string) {
	for {
		before := f.incarnation.Load()
		if uint64(known) <= before {
			return
		}
		if f.incarnation.CompareAndSwap(before, uint64(known)+1) {
			_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "a later incarnation of this node is known",
				"incarnation", uint64(known), "before", before, "from", from)
			f.Announce()
			f.checkRecordNow()
			return
		}
	}
}

// RosterComplete reports whether the roster contains all nodes that may hold flows. The store lists
// those that have registered. Nodes that run introduce themselves. Of those that are away and will
// return, only a node that has run for longer knows; the heartbeats of one round show whether there is
// such a node.
func (f *Fleet) RosterComplete(now time.Duration) bool {
	return f.storeListed.Load() && (f.joined.Load() || now-f.started > heartbeatWindow)
}

// JoinedRunning reports whether this node has joined a fleet that was running already.
func (f *Fleet) JoinedRunning() bool { return f.joinedRunning.Load() }

// recordAnswer records that a node has answered a join request, settled or not. Its answer completes the
// roster also if all known nodes have started together.
func (f *Fleet) recordAnswer(now time.Duration, settled bool) {
	f.answered.Store(true)
	if settled {
		f.joinedRunning.Store(true)
	}
	if !settled && f.Roster.MayHaveEarlier(now, now-f.started, f.Self.Incarnation, settlingTime) {
		return
	}
	if !f.joined.Swap(true) {
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "roster complete", "settled", settled,
			"nodes", len(f.Roster.Peers()), "store_listed", f.storeListed.Load(), logging.KeyAge, now-f.started)
	}
}

// heartbeatWindow is the time within which every node whose roster contains this one has sent it a
// heartbeat, or a relay of that node's data centre a digest.
const heartbeatWindow = 1200 * time.Millisecond

// Leave announces that this process is stopping.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	f.Announce()
}

// RecordTargetReport records that the target has reported, and whether it has announced its end. A
// change is written to this node's record in the store.
func (f *Fleet) RecordTargetReport(draining bool) {
	f.targetReported.Store(true)
	if f.draining.Swap(draining) == draining {
		return
	}
	f.checkRecordNow()
}

// checkRecordNow makes maintainRecord check this node's record at once.
func (f *Fleet) checkRecordNow() {
	select {
	case f.recordDue <- struct{}{}:
	default:
	}
}

// Announce sends a heartbeat at once to all receivers of the heartbeat plan, whether or not they
// are due. In a large fleet these are the nodes of this data centre; the recent entries get one
// as well, and relays send the change to the other data centres.
func (f *Fleet) Announce() {
	select {
	case f.announceDue <- struct{}{}:
	default:
	}
}

// AnnounceLoad sends a heartbeat at once to the entries that have recently placed flows on this
// node's target.
func (f *Fleet) AnnounceLoad() {
	select {
	case f.announceLoadDue <- struct{}{}:
	default:
	}
}

// Send sends a caller's packet to an agent. It returns false if the packet has been offered to more
// agents than a frame can list.
func (f *Fleet) Send(to netip.AddrPort, p *ForwardedPacket) bool {
	if len(p.Tried) > maxTried {
		return false
	}
	buffer := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(buffer)
	*buffer = p.Append((*buffer)[:0])
	f.write(to, *buffer)
	return true
}

// SendOwner sends an entry the message that this node's target holds a flow.
func (f *Fleet) SendOwner(entry netip.AddrPort, flow steering.Flow) {
	f.sendMessage(entry, &fleetv1.Message{FlowOwner: &fleetv1.FlowOwner{Flow: flow.Append(nil), Owner: f.Self.Name}})
}

// SendProgress sends an entry the message that this node has passed a packet of a flow on to the next agent, or holds it
// if next is 0.
func (f *Fleet) SendProgress(entry netip.AddrPort, flow steering.Flow, next ident.NodeID) {
	f.sendMessage(entry, &fleetv1.Message{SearchProgress: &fleetv1.SearchProgress{
		Flow: flow.Append(nil), Agent: uint64(f.Self.ID), Next: uint64(next),
	}})
}

func (f *Fleet) write(to netip.AddrPort, b []byte) {
	if len(b) == 0 {
		f.sendFailures.Inc()
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(b, to); err != nil {
		f.sendFailures.Inc()
		return
	}
	f.bytesSent.Add(len(b))
}

func (f *Fleet) sendMessage(to netip.AddrPort, m *fleetv1.Message) {
	f.write(to, f.encode(m))
}

// encode returns a datagram with a message, nil if the message can't be encoded.
func (f *Fleet) encode(m *fleetv1.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend([]byte{kindControl}, m)
	if err != nil {
		// Text that is not UTF-8 can't be encoded. It is rejected where it enters the process.
		_ = level.Error(f.options.Logger).Log(logging.KeyMessage, "message can't be encoded", logging.KeyError, err)
		return nil
	}
	return b
}

// removeSilentNodes removes nodes that have been silent for too long from the roster.
func (f *Fleet) removeSilentNodes(now time.Duration) {
	for _, p := range f.Roster.Expire(now) {
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "node removed after silence",
			logging.KeyPeer, p.Name, logging.KeyAge, now-p.LastSeen)
	}
}

// join requests nodes from the seeds and a few known nodes until one has answered that knows all nodes
// that may hold flows, or until those have sent a heartbeat and a node has answered.
func (f *Fleet) join(ctx context.Context) {
	f.joining.Store(true)
	for timing.Sleep(ctx, joinInterval) {
		now := Now()
		if f.joined.Load() {
			return
		}
		if f.answered.Load() && now-f.started > heartbeatWindow {
			_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "roster complete", "settled", false,
				"nodes", len(f.Roster.Peers()), "store_listed", f.storeListed.Load(), logging.KeyAge, now-f.started)
			return
		}
		// The seeds are of any data centre, and may never be in the heartbeat plan.
		message := f.encode(f.heartbeatMessage(now, heartbeat.Receiver{ViaDigest: true}, true))
		if !f.answered.Load() {
			for _, seed := range *f.seeds.Load() {
				if seed != f.Self.Address {
					f.write(seed, message)
				}
			}
		}
		peers := f.Roster.Peers()
		settled := func(p *roster.Peer) bool {
			return p.Running(now) && p.RanBefore(now, now-f.started, f.Self.Incarnation, settlingTime)
		}
		if !slices.ContainsFunc(peers, func(p roster.Peer) bool { return settled(&p) }) {
			if f.answered.Load() {
				continue // the others know no more; one that has run for longer may still be heard
			}
			settled = func(p *roster.Peer) bool { return p.Running(now) }
		}
		for _, p := range heartbeat.Sample(joinPeers, peers, settled, rand.IntN) {
			f.write(p.Address, message)
		}
	}
}

// receive handles datagrams of other nodes until the context ends.
func (f *Fleet) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	interned := interner{}
	var packet ForwardedPacket
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			f.malformed.Inc()
			continue
		}
		f.bytesReceived.Add(n)
		if n == 0 {
			continue
		}
		now := Now()
		switch buffer[0] {
		case kindPacket:
			if err := packet.decode(buffer[1:n], interned); err != nil {
				f.rejectMessage("packet", err)
				continue
			}
			f.options.Handler.HandlePacket(now, &packet)
		case kindControl:
			f.handleControl(now, buffer[1:n])
		default:
			f.rejectMessage("datagram", errors.Errorf("kind %d", buffer[0]))
		}
	}
}

// rejectMessage counts and logs a message of another node, or a part of one, that isn't used.
func (f *Fleet) rejectMessage(part string, err error) {
	f.malformed.Inc()
	if f.nodeLog.Allow() {
		f.nodeLog.Log("message rejected", "part", part, logging.KeyReason, err)
	}
}

func (f *Fleet) handleControl(now time.Duration, b []byte) {
	var m fleetv1.Message
	if err := proto.Unmarshal(b, &m); err != nil {
		f.rejectMessage("message", err)
		return
	}
	latest := latestIncarnation()
	if m.GetRoutes() != nil {
		f.handleRoutesChange(m.GetRoutes(), m.GetHeartbeat().GetSender().GetName())
	}
	if h := m.GetHeartbeat(); h != nil {
		f.handleHeartbeat(now, latest, h)
	}
	if d := m.GetDigest(); d != nil {
		f.handleDigest(now, latest, d)
	}
	for _, n := range m.GetNodes() {
		f.addReceivedNode(now, latest, n, "node")
	}
	for _, n := range m.GetAbsent() {
		f.addAbsentNode(now, latest, n)
	}
	if l := m.GetFlowList(); l != nil {
		f.handleFlowList(now, l)
	}
	if len(m.GetNodes()) > 0 {
		f.recordAnswer(now, m.GetSettled())
	}
	if o := m.GetFlowOwner(); o != nil {
		flow, err := steering.DecodeFlow(o.GetFlow())
		if err != nil {
			f.rejectMessage("flow owner", err)
			return
		}
		f.options.Handler.RecordOwner(flow, ident.NewNodeID(o.GetOwner()))
	}
	if p := m.GetSearchProgress(); p != nil {
		flow, err := steering.DecodeFlow(p.GetFlow())
		if err != nil {
			f.rejectMessage("search progress", err)
			return
		}
		f.options.Handler.RecordProgress(now, flow, ident.NodeID(p.GetAgent()), ident.NodeID(p.GetNext()))
	}
	f.handleOwnerMessages(now, &m)
}

// checkStart returns an error if another node, or a record, describes a node with a start in the future
// and the node's heartbeats show that it is of another writer.
func (f *Fleet) checkStart(now time.Duration, latest ident.Incarnation, n *roster.Node, relayed bool) error {
	if f.Roster.IsCredible(now, latest, *n, relayed) {
		return nil
	}
	return errors.Errorf("incarnation %d of %s is in the future", n.Incarnation, n.Name)
}

// handleHeartbeat applies a heartbeat. It answers with one of this node if the sender is new, or
// requests a heartbeat or nodes, and with the list of nodes if requested.
func (f *Fleet) handleHeartbeat(now time.Duration, latest ident.Incarnation, h *fleetv1.Heartbeat) {
	n, hb, err := fromHeartbeat(latest, h)
	if err == nil {
		err = f.checkStart(now, latest, &n, false)
	}
	if err != nil {
		f.rejectMessage("heartbeat", err)
		return
	}
	if n.ID == f.Self.ID {
		return
	}
	f.locality.roundTrips.RecordMessage(now, n.DataCentre, n.ID)
	f.receiveEvacuations(now, h)
	change := f.Roster.RecordHeartbeat(now, n, hb)
	if change == roster.Stale {
		f.answerStale(now, &n)
	}
	if change == roster.Joined || h.GetJoin() || h.GetProbe() {
		f.introduceSelf(now, &n)
	}
	if h.GetJoin() {
		f.sendNodes(n)
	}
	f.handleNodeChange(&n, &hb, change)
}

// answerStale tells the sender of a stale heartbeat of its later incarnation that is known here, if there is
// one. The sender is then either an earlier process, which has ended, or one whose clock has gone back.
func (f *Fleet) answerStale(now time.Duration, sender *roster.Node) {
	p, ok := f.Roster.Find(sender.ID)
	if !ok || p.Incarnation <= sender.Incarnation {
		return
	}
	f.sendMessage(sender.Address, &fleetv1.Message{Absent: []*fleetv1.News{
		toNews(&digest.NodeUpdate{Node: p.Node, Heartbeat: p.Heartbeat, Age: now - p.LastSeen}),
	}})
}

// handleNodeChange logs what a heartbeat or a digest has changed, queues a fetch of the routes if the
// node has newer ones, and takes note of the store's era.
func (f *Fleet) handleNodeChange(n *roster.Node, hb *roster.Heartbeat, change roster.Change) {
	f.observeStoreEra(hb.StoreEra, n.Name)
	if change > roster.Unchanged {
		f.logNodeChange(n, hb, change)
	}
	if AreRoutesNewer(hb.Routes, f.Routes.Position()) {
		p, _ := f.Roster.Find(n.ID)
		select {
		case f.fetch <- p:
		default: // more waiting fetches would not be useful
		}
	}
}

func (f *Fleet) logNodeChange(n *roster.Node, hb *roster.Heartbeat, change roster.Change) {
	if !f.nodeLog.Allow() {
		return
	}
	f.nodeLog.Log(
		"node "+changeNames[change], logging.KeyPeer, n.Name, "incarnation", uint64(n.Incarnation),
		"sequence", hb.Sequence, "leaving", hb.Leaving, logging.KeyService, hb.Target.Service,
		logging.KeyTarget, hb.Target.ID, "accepting", hb.Target.Accepting, "absent", hb.Target.Ended,
		logging.KeyRevision, hb.Routes.Revision, logging.KeyVersion, hb.Routes.Version)
}

var changeNames = map[roster.Change]string{roster.Returned: "returned", roster.Changed: "changed", roster.Joined: "joined"}

// addReceivedNode adds a node from another node's answer to a join request.
func (f *Fleet) addReceivedNode(now time.Duration, latest ident.Incarnation, n *fleetv1.Node, source string) {
	node, err := fromNode(n)
	if err == nil {
		err = f.checkStart(now, latest, &node, false)
	}
	if err != nil {
		f.rejectMessage("node", err)
		return
	}
	service := n.GetService()
	if len(service) > maxNameBytes {
		f.rejectMessage("node", errors.Errorf("service of %d bytes", len(service)))
		return
	}
	f.addNode(now, node, service, false, source)
}

// addAbsentNode records what another node knows of a node that is away.
func (f *Fleet) addAbsentNode(now time.Duration, latest ident.Incarnation, m *fleetv1.News) {
	n, err := fromNews(latest, m)
	if err == nil {
		err = f.checkStart(now, latest, &n.Node, false)
	}
	if err != nil {
		f.rejectMessage("absent node", err)
		return
	}
	if n.Node.ID == f.Self.ID {
		f.observeOwnIncarnation(n.Node.Incarnation, "node")
		return
	}
	if f.Roster.RecordAbsent(now, n.Age, n.Node, n.Heartbeat) != roster.Stale && f.nodeLog.Allow() {
		f.nodeLog.Log("absent node discovered", logging.KeyPeer, n.Node.Name, "incarnation", uint64(n.Node.Incarnation),
			"leaving", n.Heartbeat.Leaving, logging.KeyAge, n.Age)
	}
}

// addNode adds a node to the roster. If the node was unknown, it sends it a heartbeat of this node
// and returns true.
func (f *Fleet) addNode(now time.Duration, n roster.Node, service string, drained bool, source string) bool {
	if !f.Roster.Add(now, n, service, drained) {
		return false
	}
	if f.nodeLog.Allow() {
		f.nodeLog.Log("node discovered", logging.KeyPeer, n.Name, "from", source, logging.KeyService, service,
			"drained", drained)
	}
	f.introduceSelf(now, &n)
	return true
}

// sendNodes sends a node the list of all running nodes, and what is known of those that may return. If there
// are any of the latter, only the datagram with them (the last of them) says that this node is settled, so
// that the roster of the receiver isn't complete without them.
func (f *Fleet) sendNodes(to roster.Node) {
	now := Now()
	f.sendKeptLists(now, to)
	settled := f.RosterComplete(now)
	self := toListedNode(f.self(), f.service())
	absent := slices.Collect(slices.Chunk(f.Roster.Absent(now), digest.NodesPerDatagram-1)) // leaves room for this node
	for i, part := range absent {
		m := &fleetv1.Message{}
		if i == len(absent)-1 {
			m.Nodes, m.Settled = []*fleetv1.Node{self}, settled
		}
		for _, p := range part {
			m.Absent = append(m.Absent, toNews(&digest.NodeUpdate{Node: p.Node, Heartbeat: p.Heartbeat, Age: now - p.LastSeen}))
		}
		f.sendMessage(to.Address, m)
	}
	nodes := []*fleetv1.Node{self}
	for _, p := range f.Roster.Peers() {
		if p.Running(now) {
			nodes = append(nodes, toListedNode(&p.Node, p.Service))
		}
	}
	for part := range slices.Chunk(nodes, nodesPerMessage) {
		f.sendMessage(to.Address, &fleetv1.Message{Nodes: part, Settled: settled && len(absent) == 0})
	}
}

// service returns the service of this node's target, empty if it is an entry.
func (f *Fleet) service() string {
	f.outgoing.mu.Lock()
	defer f.outgoing.mu.Unlock()
	if f.outgoing.service != "" {
		return f.outgoing.service
	}
	return f.options.Service
}

// setSeeds replaces the seeds. Invalid ones are skipped. Each gets the port of this node, because
// all nodes use one port.
func (f *Fleet) setSeeds(seeds []string) {
	var addresses []netip.AddrPort
	for _, seed := range seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "invalid seed skipped", "seed", seed,
				logging.KeyError, err)
			continue
		}
		addresses = append(addresses, netip.AddrPortFrom(a.Addr(), f.Self.Address.Port()))
	}
	f.seeds.Store(&addresses)
}
