package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
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

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/gossip"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/membership"
	"lacewinglever.dev/policy/record"
)

// Limits and times of a peer.
const (
	fanout         = 3
	poolSampleSize = 16 // pool members that receive a heartbeat in one round
	smallPoolSize  = 8  // members, see sendHeartbeats
	// ackRequestAfter is the time without a datagram from an entry after which an agent's
	// heartbeats request an acknowledgement. Agents use an entry for return traffic for 1 s after
	// its last datagram. With a heartbeat every 250 ms, requests go out at 500 ms and 750 ms, so
	// that one acknowledgement may be lost.
	ackRequestAfter = 300 * time.Millisecond
	maxPushBytes    = 1200 // bytes of records per datagram, below the smallest usual MTU
	tickInterval    = 100 * time.Millisecond
	// watchSetInterval limits how often the watched nodes are computed, which costs a rendezvous
	// hash per agent and entry of the data centre.
	watchSetInterval  = 500 * time.Millisecond
	activityRetention = 10 * time.Minute
	// expiryInterval is short compared to the step in which records expire, so that all nodes
	// remove them at nearly the same time.
	expiryInterval = time.Second
	// maxForwardedSyncRecords is the largest number of records in a Sync message that are queued
	// for other peers. More records than that stem from a join or a healed partition; pushing them
	// would fill the queue with records that other peers already have.
	maxForwardedSyncRecords = 16
)

// ErrUnknownNode is the cause of SendControl's error for a node without a record or with an
// unusable address.
var ErrUnknownNode = errors.New("unknown node")

// Options configure a Peer.
type Options struct {
	Self      record.Node
	Transport *transport.Transport
	Keys      *wire.Keyring
	Seeds     []string // RPC addresses of entries, host:port
	Logger    log.Logger
	Metrics   *metrics.Set
}

// Peer implements Mesh.
type Peer struct {
	options  Options
	store    *gossip.Store
	index    *index
	activity *activityTable
	client   *http.Client

	selfMu sync.Mutex
	self   record.Node
	load   func() *lacewingv1.Load
	round  uint64 // number of heartbeat rounds so far

	queueMu sync.Mutex
	queue   *gossip.Queue

	trackMu            sync.Mutex
	tracker            *membership.Tracker
	watchSetStale      bool      // the set of watched nodes must be computed again
	watchSetComputedAt time.Time // time of the last computation
	watcherCache       watcherCache

	lastExpiry time.Time // step of the last removal; used by expire only
	expiryMu   sync.Mutex

	topologyCache atomic.Pointer[topology]
	entries       atomic.Pointer[entryList]

	handlersMu  sync.RWMutex
	subscribers []func(Change)
	handlers    []func(*lacewingv1.Control)

	sent, received   *metrics.Counter
	malformed        *metrics.Counter
	syncs, syncFails *metrics.Counter
}

var _ Mesh = (*Peer)(nil)

// New returns a peer. An incarnation of zero is replaced by the current time.
func New(o Options) (*Peer, error) {
	if o.Self.ID == 0 {
		o.Self.ID = ident.NewNodeID(o.Self.Name)
	}
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = ident.Incarnation(time.Now().UnixMicro())
	}
	if o.Self.State == 0 {
		o.Self.State = record.Ready
	}
	if !o.Self.Entry && o.Self.Service == 0 {
		return nil, errors.Errorf("agent %q has no service", o.Self.Name)
	}
	p := &Peer{
		options:       o,
		store:         gossip.NewStore(),
		index:         newIndex(),
		activity:      newActivityTable(),
		client:        rpcauth.Client(o.Keys, o.Transport.LocalAddr()),
		self:          o.Self,
		queue:         gossip.NewQueue(),
		tracker:       membership.NewTracker(o.Self),
		watchSetStale: true,
	}
	p.addMetrics(o.Metrics)
	p.merge(record.ForNode(p.self), true)
	return p, nil
}

func (p *Peer) addMetrics(m *metrics.Set) {
	p.sent = m.NewCounter("lacewing_control_sent_bytes_total")
	p.received = m.NewCounter("lacewing_control_received_bytes_total")
	p.malformed = m.NewCounter("lacewing_records_malformed_total")
	p.syncs = m.NewCounter("lacewing_syncs_total")
	p.syncFails = m.NewCounter("lacewing_sync_failures_total")
	m.NewGauge("lacewing_records", func() float64 { return float64(p.store.Len()) })
	m.NewGauge("lacewing_suspects", func() float64 {
		p.trackMu.Lock()
		defer p.trackMu.Unlock()
		return float64(p.tracker.Suspects())
	})
	m.NewGauge("lacewing_push_queue_records", func() float64 {
		p.queueMu.Lock()
		defer p.queueMu.Unlock()
		return float64(p.queue.Len())
	})
}

// Run joins through the seeds, then sends heartbeats, watches nodes, pushes records and
// synchronises until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return timing.Every(ctx, membership.HeartbeatInterval, p.sendHeartbeats) })
	g.Go(func() error { return timing.Every(ctx, tickInterval, p.tick) })
	g.Go(func() error { return timing.Every(ctx, tickInterval/2, p.push) })
	g.Go(func() error {
		return timing.Every(ctx, activityRetention, func(time.Time) { p.activity.removeOlder(activityRetention) })
	})
	g.Go(func() error { return timing.Every(ctx, expiryInterval, p.expire) })
	g.Go(func() error { return p.join(ctx) })
	g.Go(func() error { return p.antiEntropy(ctx) })
	g.Go(func() error { return p.reconnect(ctx) })
	return g.Wait()
}

// Self returns the node's own record.
func (p *Peer) Self() record.Node {
	p.selfMu.Lock()
	defer p.selfMu.Unlock()
	return p.self
}

// SetState changes the node's own state and disseminates it at once.
func (p *Peer) SetState(s record.State) {
	p.selfMu.Lock()
	if p.self.State == s {
		p.selfMu.Unlock()
		return
	}
	p.self.State = s
	p.self.Sequence++
	if !p.self.Alive() {
		p.self.Ended = time.Now()
	}
	own := p.self
	p.selfMu.Unlock()
	p.announce(own)
}

// Leave disseminates that the node has ended, and the process that admits its permits from then on.
func (p *Peer) Leave(to record.Successor) {
	p.selfMu.Lock()
	p.self.Successor = to
	p.selfMu.Unlock()
	p.SetState(record.Left)
}

// announce disseminates the node's own record, and sends it directly to the nodes that act on it
// first: its watchers, a sample of its pool and the agents that it watches.
func (p *Peer) announce(own record.Node) {
	r := record.ForNode(own)
	// The receivers are collected before the merge, because an entry that has left watches no
	// nodes.
	targets := append(p.watchers(), p.samplePool()...)
	for _, n := range p.watchedAgents() {
		targets = append(targets, n.ID)
	}
	p.Publish(r)
	message := &lacewingv1.Gossip{Records: []*lacewingv1.Record{ToProto(r)}}
	for _, id := range targets {
		_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: message}})
	}
}

// SetLoadFunc sets the function that returns the load for each heartbeat.
func (p *Peer) SetLoadFunc(f func() *lacewingv1.Load) {
	p.selfMu.Lock()
	defer p.selfMu.Unlock()
	p.load = f
}

// Node returns the newest record of a node.
func (p *Peer) Node(id ident.NodeID) (record.Node, bool) {
	n, ok := p.index.node(id)
	return n.node, ok
}

// Entries returns the live entries, those of the node's own data centre first.
func (p *Peer) Entries() []record.Node {
	cached := p.entries.Load()
	list := p.index.allEntries(cached)
	if list != cached {
		sortLocalFirst(list.nodes, p.options.Self.DataCentre)
		p.entries.Store(list)
	}
	return slices.Clone(list.nodes)
}

// sortLocalFirst moves the nodes of the own data centre before the others.
func sortLocalFirst(nodes []record.Node, own ident.DataCentre) {
	slices.SortStableFunc(nodes, func(a, b record.Node) int {
		switch {
		case a.DataCentre == own && b.DataCentre != own:
			return -1
		case a.DataCentre != own && b.DataCentre == own:
			return 1
		}
		return 0
	})
}

// Pool returns the agents of the service that are joining, ready or draining and in no scope that
// is down.
func (p *Peer) Pool(service ident.ServiceID) []record.Node { return p.index.pool(service) }

// Services returns the newest accepted revision of every service, without deleted services.
func (p *Peer) Services() []record.Revision { return p.index.revisions() }

// Revision returns the newest accepted revision of a service.
func (p *Peer) Revision(id ident.ServiceID) (record.Revision, bool) { return p.index.revision(id) }

// SinceLastSeen returns the time since the last datagram from a node arrived.
func (p *Peer) SinceLastSeen(id ident.NodeID) (time.Duration, bool) {
	at, ok := p.activity.lastSeen(id)
	return time.Since(at), ok
}

// MarkSeen records that a datagram from a node arrived on the data path.
func (p *Peer) MarkSeen(id ident.NodeID) { p.activity.markSeen(id) }

// IsSuspect reports whether a watched node is suspect.
func (p *Peer) IsSuspect(id ident.NodeID) bool {
	p.trackMu.Lock()
	defer p.trackMu.Unlock()
	return p.tracker.Suspect(id)
}

// Load returns the newest load report of an agent and its age.
func (p *Peer) Load(id ident.NodeID) (*lacewingv1.Load, time.Duration, bool) {
	a := p.activity.get(id)
	if a == nil {
		return nil, 0, false
	}
	report := a.load.Load()
	if report == nil {
		return nil, 0, false
	}
	return report.load, time.Since(report.receivedAt), true
}

// Publish merges a record that originates here and disseminates it.
func (p *Peer) Publish(r record.Record) bool { return p.merge(r, true) }

// Subscribe adds a function that is called after each change.
func (p *Peer) Subscribe(f func(Change)) {
	p.handlersMu.Lock()
	defer p.handlersMu.Unlock()
	p.subscribers = append(p.subscribers, f)
}

// HandleControl adds a function for control messages that the peer does not process itself.
func (p *Peer) HandleControl(f func(*lacewingv1.Control)) {
	p.handlersMu.Lock()
	defer p.handlersMu.Unlock()
	p.handlers = append(p.handlers, f)
}

func (p *Peer) notify(c Change) {
	p.handlersMu.RLock()
	subscribers := p.subscribers
	p.handlersMu.RUnlock()
	for _, f := range subscribers {
		f(c)
	}
}

// SendControl sends a control message to a node.
func (p *Peer) SendControl(id ident.NodeID, c *lacewingv1.Control) error {
	n, ok := p.index.node(id)
	if !ok || !n.address.IsValid() {
		return errors.Wrapf(ErrUnknownNode, "send control message to %s", id)
	}
	bytes, err := p.options.Transport.SendControl(n.address, c)
	p.sent.Add(bytes)
	return err
}

// filter selects the records that this node keeps.
func (p *Peer) filter() gossip.Filter { return p.filterOf(&p.options.Self) }

// filterOf selects the records that a node keeps. An agent whose data centre has too few entries to
// watch it keeps the entries of all data centres, so that it can reach its watchers in others.
func (p *Peer) filterOf(n *record.Node) gossip.Filter {
	if n.Entry {
		return gossip.Filter{}
	}
	f := gossip.Filter{Service: n.Service, DataCentre: n.DataCentre}
	if len(p.topology().byDC[n.DataCentre]) <= membership.Watchers {
		f.DataCentre = ""
	}
	return f
}

// merge adds a record and reports whether it was new. It refutes a record about this node that
// another node issued. With push set, a new record is queued for the peers.
func (p *Peer) merge(r record.Record, push bool) bool {
	if p.refute(r) {
		return false
	}
	if p.isExpiredCopy(&r) || !p.store.Merge(r) {
		return false
	}
	p.index.add(&r)
	if push {
		p.queueMu.Lock()
		p.queue.Add(r)
		p.queueMu.Unlock()
	}
	p.updateTracker(&r)
	change := Change{Record: &r}
	if r.Node != nil {
		change.Node = r.Node.ID
		p.logNode(r.Node)
	}
	p.notify(change)
	return true
}

// isExpiredCopy reports whether the record of an ended node has expired and is no longer held here,
// but was received from a peer that still has it. An expired record that replaces an older one is
// merged and removed later: otherwise the ended node would stay alive here.
func (p *Peer) isExpiredCopy(r *record.Record) bool {
	if r.Node == nil || !r.Node.Expired(time.Now()) {
		return false
	}
	_, held := p.store.Get(r.Key)
	return !held
}

// expire removes expired records of ended nodes, once per step of the clock.
func (p *Peer) expire(now time.Time) {
	step := now.Truncate(record.ExpiryStep)
	if step.Equal(p.lastExpiry) {
		return
	}
	p.lastExpiry = step
	p.removeExpired(now)
}

// removeExpired removes expired records from the store and the index. The lock ensures that, when
// it returns, no other call has removed a record from the store but not yet from the index.
func (p *Peer) removeExpired(now time.Time) {
	p.expiryMu.Lock()
	defer p.expiryMu.Unlock()
	for _, r := range p.store.Expire(now) {
		p.index.remove(&r)
	}
}

func (p *Peer) logNode(n *record.Node) {
	_ = level.Debug(p.options.Logger).Log(logging.KeyMessage, "node record", "peer", n.Name, logging.KeyState, n.State)
}

// updateTracker applies a merged record to the tracker.
func (p *Peer) updateTracker(r *record.Record) {
	affectsWatchSet := r.Node != nil && p.mayChangeWatchSet(r.Node)
	p.trackMu.Lock()
	p.watchSetStale = p.watchSetStale || affectsWatchSet
	if r.Scope != nil {
		name := membership.ScopeName{Kind: r.Scope.Kind, Name: r.Scope.Name}
		p.tracker.SetScope(time.Now(), name, r.Scope.Down)
	}
	p.trackMu.Unlock()
	if r.Scope != nil && r.Scope.Down {
		p.refuteScope(r.Scope)
	}
}

// refute refutes a record about this node that another node issued. It reports whether that was
// necessary.
func (p *Peer) refute(r record.Record) bool {
	if r.Node == nil || r.Node.ID != p.options.Self.ID {
		return false
	}
	p.selfMu.Lock()
	raised, needed := membership.Refute(p.self, r)
	p.self = raised
	p.selfMu.Unlock()
	if needed {
		_ = level.Warn(p.options.Logger).Log(logging.KeyMessage, "refuted a record about this node",
			logging.KeyState, r.Node.State)
		p.announce(raised)
	}
	return needed
}

// refuteScope marks a scope up again if this node is in it. The record that marks the scope down
// arrived here, so the scope is reachable.
func (p *Peer) refuteScope(s *record.Scope) {
	own := p.Self()
	rack, hasRack := membership.RackOf(&own)
	name := membership.ScopeName{Kind: s.Kind, Name: s.Name}
	if name != membership.DataCentreOf(&own) && (!hasRack || name != rack) || !own.Alive() {
		return
	}
	p.publishScope(name, false, s.Issued)
}

// publishScope issues a scope record that is newer than the one issued at the given time.
func (p *Peer) publishScope(name membership.ScopeName, down bool, after time.Time) {
	issued := time.Now()
	if !issued.After(after.Add(time.Millisecond)) {
		issued = after.Add(time.Millisecond)
	}
	s := record.Scope{Kind: name.Kind, Name: name.Name, Down: down, Issued: issued, Issuer: p.options.Self.ID}
	_ = level.Warn(p.options.Logger).Log(logging.KeyMessage, "scope",
		"kind", name.Kind, "name", name.Name, "down", down)
	p.Publish(record.ForScope(s))
}

// push sends queued records to random entries, and to the agents that are watched here and keep
// them.
func (p *Peer) push(now time.Time) {
	entries, agents := p.randomEntries(fanout), p.watchedAgents()
	if len(entries)+len(agents) == 0 {
		return // records stay queued until there is a receiver
	}
	p.queueMu.Lock()
	batch := p.queue.Take(now, maxPushBytes, func(r *record.Record) int { return proto.Size(ToProto(*r)) })
	p.queueMu.Unlock()
	if len(batch) == 0 {
		return
	}
	bytes := 0
	for _, id := range entries {
		bytes += p.sendRecords(id, batch)
	}
	for _, n := range agents {
		f := p.filterOf(&n)
		wanted := slices.DeleteFunc(slices.Clone(batch), func(r record.Record) bool { return !f.Matches(&r) })
		bytes += p.sendRecords(n.ID, wanted)
	}
	p.queueMu.Lock()
	p.queue.Spend(bytes)
	p.queueMu.Unlock()
}

// sendRecords pushes records to a node and returns the bytes sent. Records that do not fit into a
// datagram are sent by RPC.
func (p *Peer) sendRecords(id ident.NodeID, records []record.Record) int {
	if len(records) == 0 {
		return 0
	}
	message := &lacewingv1.Gossip{}
	for _, r := range records {
		message.Records = append(message.Records, ToProto(r))
	}
	size := proto.Size(message)
	if size > 2*maxPushBytes {
		go p.pushByRPC(id, message.Records)
		return size
	}
	_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: message}})
	return size
}

// randomEntries returns up to n random reachable entries other than this node.
func (p *Peer) randomEntries(n int) []ident.NodeID {
	reachable := p.topology().reachable
	out := make([]ident.NodeID, 0, n)
	for _, i := range sample(len(reachable), n+1) {
		if id := reachable[i]; id != p.options.Self.ID && len(out) < n {
			out = append(out, id)
		}
	}
	return out
}

// sample returns up to n different indexes below size, in random order.
func sample(size, n int) []int {
	if size <= 4*n {
		return rand.Perm(size)[:min(size, n)]
	}
	out := make([]int, 0, n)
	for len(out) < n {
		if i := rand.IntN(size); !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	return out
}
