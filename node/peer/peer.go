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
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/membership"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/spread"
)

// Limits and times of a peer.
const (
	fanout         = 3
	poolHeartbeats = 16 // pool members per round of heartbeats
	smallPool      = 8  // members, see sendHeartbeats
	// ackAfter is the silence of an entry after which an agent asks it to answer. Agents use an entry for return traffic for 1 s after
	// they heard it; with a heartbeat every 250 ms they ask at 500 ms and again at 750 ms, so that one answer may be lost.
	ackAfter  = 300 * time.Millisecond
	pushSize  = 1200 // bytes of records per datagram, below the smallest usual MTU
	tickEvery = 100 * time.Millisecond
	// watchEvery bounds how often the watched nodes are computed, which costs a rendezvous hash per agent and entry of the data centre.
	watchEvery  = 500 * time.Millisecond
	forgetAfter = 10 * time.Minute
	// expireEvery is short against the step in which records expire, so that all nodes remove them at nearly the same time.
	expireEvery = time.Second
	// bulkRecords is the number of records in one Sync message above which they are taken for a join or a healed partition. Pushing
	// them on would fill the queue with what others know already.
	bulkRecords = 16
)

// ErrUnknownNode is returned by SendControl for a node without a record or with an unusable address.
var ErrUnknownNode = errors.New("unknown node")

// Options configure a Peer.
type Options struct {
	Self      record.Node
	Transport *transport.Transport
	Keys      *wire.Keyring
	Seeds     []string // rpc addresses of entries, host:port
	Logger    log.Logger
	Metrics   *metrics.Set
}

// Peer is a node's part in membership and dissemination. It implements Mesh.
type Peer struct {
	options Options
	store   *spread.Store
	index   *index
	heard   *heardTable
	client  *http.Client

	selfMu sync.Mutex
	self   record.Node
	load   func() *lacewingv1.Load
	round  uint64 // of heartbeats

	queueMu sync.Mutex
	queue   *spread.Queue

	trackMu sync.Mutex
	tracker *membership.Tracker
	stale   bool      // the set of watched nodes has to be computed again
	watched time.Time // when it was computed
	chosen  choices

	expired  time.Time // step of the last removal; only expire uses it
	expiryMu sync.Mutex

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

// New makes a peer. An incarnation of zero is replaced by the present time.
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
		options: o,
		store:   spread.NewStore(),
		index:   newIndex(),
		heard:   newHeardTable(),
		client:  rpcauth.Client(o.Keys, o.Transport.LocalAddr()),
		self:    o.Self,
		queue:   spread.NewQueue(),
		tracker: membership.NewTracker(o.Self),
		stale:   true,
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

// Run joins by the seeds, then sends heartbeats, watches, pushes and synchronises until the context ends.
func (p *Peer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return timing.Every(ctx, membership.HeartbeatInterval, p.sendHeartbeats) })
	g.Go(func() error { return timing.Every(ctx, tickEvery, p.tick) })
	g.Go(func() error { return timing.Every(ctx, tickEvery/2, p.push) })
	g.Go(func() error { return timing.Every(ctx, forgetAfter, func(time.Time) { p.heard.forget(forgetAfter) }) })
	g.Go(func() error { return timing.Every(ctx, expireEvery, p.expire) })
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

// SetState changes the own state and announces it at once.
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

// Leave announces that the node ends, and who admits its permits from now on.
func (p *Peer) Leave(to record.Successor) {
	p.selfMu.Lock()
	p.self.Successor = to
	p.selfMu.Unlock()
	p.SetState(record.Left)
}

// announce disseminates the own record and sends it directly to those who act on it first.
func (p *Peer) announce(own record.Node) {
	r := record.ForNode(own)
	// The receivers are chosen before the merge: an entry that left watches nobody any more.
	targets := append(p.watchers(), p.somePool()...)
	for _, n := range p.watchedAgents() {
		targets = append(targets, n.ID)
	}
	p.Publish(r)
	gossip := &lacewingv1.Gossip{Records: []*lacewingv1.Record{ToProto(r)}}
	for _, id := range targets {
		_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: gossip}})
	}
}

// SetLoadFunc sets the function that is called for the load in each heartbeat.
func (p *Peer) SetLoadFunc(f func() *lacewingv1.Load) {
	p.selfMu.Lock()
	defer p.selfMu.Unlock()
	p.load = f
}

// Node returns what is known of a node.
func (p *Peer) Node(id ident.NodeID) (record.Node, bool) {
	n, ok := p.index.node(id)
	return n.node, ok
}

// Entries returns the live entries, those of the own data centre first.
func (p *Peer) Entries() []record.Node {
	cached := p.entries.Load()
	list := p.index.allEntries(cached)
	if list != cached {
		ownFirst(list.nodes, p.options.Self.DataCentre)
		p.entries.Store(list)
	}
	return slices.Clone(list.nodes)
}

// ownFirst puts the nodes of a data centre before the others.
func ownFirst(nodes []record.Node, own ident.DataCentre) {
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

// Pool returns the service's agents that are joining, ready or draining and not in a scope that is down.
func (p *Peer) Pool(service ident.ServiceID) []record.Node { return p.index.pool(service) }

// Services returns the newest accepted revision of every known service, without deleted ones.
func (p *Peer) Services() []record.Revision { return p.index.revisions() }

// Revision returns the newest accepted revision of a service.
func (p *Peer) Revision(id ident.ServiceID) (record.Revision, bool) { return p.index.revision(id) }

// SinceLastSeen returns how long ago the last datagram of a node arrived.
func (p *Peer) SinceLastSeen(id ident.NodeID) (time.Duration, bool) {
	at, ok := p.heard.at(id)
	return time.Since(at), ok
}

// MarkSeen notes that a datagram of a node arrived on the data path.
func (p *Peer) MarkSeen(id ident.NodeID) { p.heard.touch(id) }

// IsSuspect tells whether a watched node is silent.
func (p *Peer) IsSuspect(id ident.NodeID) bool {
	p.trackMu.Lock()
	defer p.trackMu.Unlock()
	return p.tracker.Suspect(id)
}

// Load returns the newest load report of an agent and its age.
func (p *Peer) Load(id ident.NodeID) (*lacewingv1.Load, time.Duration, bool) {
	c := p.heard.get(id)
	if c == nil {
		return nil, 0, false
	}
	report := c.load.Load()
	if report == nil {
		return nil, 0, false
	}
	return report.load, time.Since(report.at), true
}

// Publish merges a record that originates here and disseminates it.
func (p *Peer) Publish(r record.Record) bool { return p.merge(r, true) }

// Subscribe adds a function that is called after each change.
func (p *Peer) Subscribe(f func(Change)) {
	p.handlersMu.Lock()
	defer p.handlersMu.Unlock()
	p.subscribers = append(p.subscribers, f)
}

// HandleControl adds a function for control messages that the peer doesn't consume.
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
func (p *Peer) filter() spread.Filter { return p.filterOf(&p.options.Self) }

// filterOf selects the records that a node keeps. An agent keeps the entries of all data centres where its own has too few to watch it, so
// that it can reach the watchers in others.
func (p *Peer) filterOf(n *record.Node) spread.Filter {
	if n.Entry {
		return spread.Filter{}
	}
	f := spread.Filter{Service: n.Service, DataCentre: n.DataCentre}
	if len(p.topology().byDC[n.DataCentre]) <= membership.Watchers {
		f.DataCentre = ""
	}
	return f
}

// merge takes in a record and tells whether it was new. It refutes one about this node. With push, a new record is queued for the peers.
func (p *Peer) merge(r record.Record, push bool) bool {
	if p.refute(r) {
		return false
	}
	if p.outlived(&r) || !p.store.Merge(r) {
		return false
	}
	p.index.add(&r)
	if push {
		p.queueMu.Lock()
		p.queue.Add(r)
		p.queueMu.Unlock()
	}
	p.follow(&r)
	change := Change{Record: &r}
	if r.Node != nil {
		change.Node = r.Node.ID
		p.logNode(r.Node)
	}
	p.notify(change)
	return true
}

// outlived tells whether a record of an ended node was removed here, and comes back from a peer that still holds it. One that replaces an
// older record is taken in, and removed later: otherwise a node that ended would stay alive here.
func (p *Peer) outlived(r *record.Record) bool {
	if r.Node == nil || !r.Node.Expired(time.Now()) {
		return false
	}
	_, known := p.store.Get(r.Key)
	return !known
}

// expire removes the records of nodes that ended long ago, once in each step of the clock.
func (p *Peer) expire(now time.Time) {
	step := now.Truncate(record.ExpiryStep)
	if step.Equal(p.expired) {
		return
	}
	p.expired = step
	p.removeExpired(now)
}

// removeExpired removes expired records from the store and the index. When it returns, no other call has removed one from the store alone.
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

// follow keeps the tracker in step with the records.
func (p *Peer) follow(r *record.Record) {
	concerned := r.Node != nil && p.concerns(r.Node)
	p.trackMu.Lock()
	p.stale = p.stale || concerned
	if r.Scope != nil {
		name := membership.ScopeName{Kind: r.Scope.Kind, Name: r.Scope.Name}
		p.tracker.SetScope(time.Now(), name, r.Scope.Down)
	}
	p.trackMu.Unlock()
	if r.Scope != nil && r.Scope.Down {
		p.refuteScope(r.Scope)
	}
}

// refute answers a record about this node that another node issued. It returns true if there was one.
func (p *Peer) refute(r record.Record) bool {
	if r.Node == nil || r.Node.ID != p.options.Self.ID {
		return false
	}
	p.selfMu.Lock()
	raised, needed := membership.Refute(p.self, r)
	p.self = raised
	p.selfMu.Unlock()
	if needed {
		_ = level.Warn(p.options.Logger).Log(logging.KeyMessage, "refuted a record about this node", logging.KeyState, r.Node.State)
		p.announce(raised)
	}
	return needed
}

// refuteScope marks a scope up that this node, which is in it, learnt to be down: what reaches the node is reachable from it.
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
	_ = level.Warn(p.options.Logger).Log(logging.KeyMessage, "scope", "kind", name.Kind, "name", name.Name, "down", down)
	p.Publish(record.ForScope(s))
}

// push sends waiting records to random entries, and to the agents that are watched here and need them.
func (p *Peer) push(now time.Time) {
	entries, agents := p.randomEntries(fanout), p.watchedAgents()
	if len(entries)+len(agents) == 0 {
		return // records wait until there is somebody to send them to
	}
	p.queueMu.Lock()
	batch := p.queue.Take(now, pushSize, func(r *record.Record) int { return proto.Size(ToProto(*r)) })
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

// sendRecords pushes records to a node and returns the bytes sent. Records that don't fit in a datagram go by RPC.
func (p *Peer) sendRecords(id ident.NodeID, records []record.Record) int {
	if len(records) == 0 {
		return 0
	}
	gossip := &lacewingv1.Gossip{}
	for _, r := range records {
		gossip.Records = append(gossip.Records, ToProto(r))
	}
	size := proto.Size(gossip)
	if size > 2*pushSize {
		go p.pushByRPC(id, gossip.Records)
		return size
	}
	_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Gossip{Gossip: gossip}})
	return size
}

// randomEntries returns up to n reachable entries other than this node.
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
