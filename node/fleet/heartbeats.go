package fleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/digest"
	"lacewinglever.dev/policy/heartbeat"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

const (
	// roundsPerPlan is the number of rounds after which the heartbeat plan is recomputed, to follow
	// nodes that joined or left.
	roundsPerPlan = 5
	// digestCheckInterval is the interval at which a relay looks for changes to send to other data
	// centres.
	digestCheckInterval = 100 * time.Millisecond
	// leaveRepeats is the number of rounds in which a stopping node repeats its announcement to all
	// receivers, because datagrams may be lost.
	leaveRepeats = 2
	// checksPerDigest is the number of checks of which one sends a digest even without changes.
	checksPerDigest = int(roster.DigestInterval / digestCheckInterval)
)

// outgoingState holds what a node needs to decide which nodes get its heartbeats and digests.
type outgoingState struct {
	plan          atomic.Pointer[heartbeat.Plan]
	planning      sync.Mutex // held while a plan replaces the one before
	mu            sync.Mutex // guards recentEntries and service
	recentEntries heartbeat.ActiveEntries
	service       string       // of the target, in the last heartbeat
	digests       digest.Relay // only used by the goroutine of sendDigests
	isRelay       atomic.Bool
	gone          map[ident.NodeID]struct{} // only used by the goroutine of sendHeartbeats
}

// sendHeartbeats sends heartbeats until the context ends: by the plan in each round, and at once
// when an announcement is due.
func (f *Fleet) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeat.RoundInterval)
	defer ticker.Stop()
	f.replan()
	leaveAnnounced := 0
	for round := uint64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.recordRunning()
			plan := f.outgoing.plan.Load()
			if round%roundsPerPlan == 0 || !plan.Complete && f.knowsNodes(Now()) {
				plan = f.replan()
			}
			due := plan.Due(round)
			if f.leaving.Load() && leaveAnnounced < leaveRepeats {
				due = plan.All()
				leaveAnnounced++
			}
			f.sendHeartbeat(due, nil)
			if !plan.Direct {
				f.sendHeartbeat(f.recentEntries(), nil)
			}
			round++
		case <-f.announceDue:
			plan := f.replan()
			f.sendHeartbeat(plan.All(), f.pendingChange.Swap(nil))
			if !plan.Direct {
				f.sendHeartbeat(f.recentEntries(), nil)
			}
		case <-f.announceLoadDue:
			f.sendHeartbeat(f.recentEntries(), nil)
		}
	}
}

// replan recomputes the heartbeat plan, and removes nodes that have been silent for too long.
func (f *Fleet) replan() *heartbeat.Plan {
	now := Now()
	f.removeSilentNodes(now)
	plan, peers := f.updatePlan(now)
	f.logGoneNodes(now, peers)
	return plan
}

// updatePlan recomputes the heartbeat plan, and returns it and the peers that it was made for.
func (f *Fleet) updatePlan(now time.Duration) (*heartbeat.Plan, []roster.Peer) {
	f.outgoing.planning.Lock()
	defer f.outgoing.planning.Unlock()
	f.outgoing.mu.Lock()
	service := f.outgoing.service
	f.outgoing.mu.Unlock()
	peers := f.Roster.Peers()
	before := f.outgoing.plan.Load()
	plan := heartbeat.NewPlan(now, &f.Self, service, peers, f.knowsNodes(now), before)
	f.outgoing.plan.Store(plan)
	if before == nil || before.Direct != plan.Direct {
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "heartbeat plan changed", "direct", plan.Direct,
			"nodes", len(peers))
	}
	return plan, peers
}

// knowsNodes reports whether the roster contains the nodes of this fleet, as far as they can be known.
func (f *Fleet) knowsNodes(now time.Duration) bool {
	return f.RosterComplete(now) || now-f.started > heartbeatWindow
}

// logGoneNodes logs which nodes have become gone, and by what promise of their last heartbeat: why a
// search for a flow has left them out.
func (f *Fleet) logGoneNodes(now time.Duration, peers []roster.Peer) {
	gone := map[ident.NodeID]struct{}{}
	for i := range peers {
		p := &peers[i]
		if p.Health(now) != roster.Gone {
			continue
		}
		gone[p.ID] = struct{}{}
		if _, known := f.outgoing.gone[p.ID]; known || !f.nodeLog.Allow() {
			continue
		}
		f.nodeLog.Log("node gone", logging.KeyPeer, p.Name, "incarnation", uint64(p.Incarnation), "sequence", p.Sequence,
			logging.KeyAge, now-p.LastSeen, "interval", p.Interval, "via_digest", p.ViaDigest, "silent", p.Silent,
			"leaving", p.Leaving, "heartbeat_seen", p.HeartbeatSeen)
	}
	f.outgoing.gone = gone
}

// sendHeartbeat sends a heartbeat to each receiver. A change of the routes that is not nil goes
// with it.
func (f *Fleet) sendHeartbeat(to []heartbeat.Receiver, change *fleetv1.RoutesChange) {
	now := Now()
	var encoded []byte
	for i, r := range to {
		// Receivers with the same interval are adjacent and get the same bytes.
		if i == 0 || r.Interval != to[i-1].Interval || r.ViaDigest != to[i-1].ViaDigest {
			message := f.heartbeatMessage(now, r, false)
			message.Routes = change
			encoded = f.encode(message)
		}
		f.write(r.Address, encoded)
	}
	f.heartbeatsSent.Add(len(to))
}

// heartbeatMessage returns this node's next heartbeat to a receiver. join requests the nodes that
// the receiver has in its roster.
func (f *Fleet) heartbeatMessage(now time.Duration, to heartbeat.Receiver, join bool) *fleetv1.Message {
	hb := f.ownHeartbeat(now)
	hb.Interval, hb.ViaDigest = to.Interval, to.ViaDigest
	m := toHeartbeat(f.self(), &hb, join)
	m.Evacuations = toEvacuations(f.evacuations.current.Load())
	return &fleetv1.Message{Heartbeat: m}
}

// ownHeartbeat returns this node's next heartbeat, without the fields that depend on the receiver.
func (f *Fleet) ownHeartbeat(now time.Duration) roster.Heartbeat {
	hb := roster.Heartbeat{Routes: f.Routes.Position(), StoreEra: f.storeEra.Load(), Leaving: f.leaving.Load(),
		Direct: f.reachesAll(now), StoreLost: f.storeLost.Load(), Uptime: now - f.started}
	f.options.Handler.FillHeartbeat(now, &hb)
	hb.Sequence = f.sequence.Add(1)
	f.outgoing.mu.Lock()
	f.outgoing.service = hb.Target.Service
	f.outgoing.mu.Unlock()
	return hb
}

// reachesAll reports whether this node sends heartbeats to the nodes of all data centres, so that
// relays needn't report it.
func (f *Fleet) reachesAll(now time.Duration) bool {
	plan := f.outgoing.plan.Load()
	return plan != nil && plan.ReachesAll(now)
}

// receiverOutsidePlan returns a node as the receiver of a single heartbeat outside of the rounds. If
// this node sends to all nodes, that one becomes part of the plan first.
func (f *Fleet) receiverOutsidePlan(now time.Duration, dc ident.DataCentre, address netip.AddrPort) heartbeat.Receiver {
	plan := f.outgoing.plan.Load()
	if plan == nil {
		return heartbeat.Receiver{Address: address, ViaDigest: dc != f.Self.DataCentre}
	}
	if plan.Direct && plan.Complete && dc != f.Self.DataCentre && !plan.Promises(address) {
		plan, _ = f.updatePlan(now)
	}
	return plan.OneOff(f.Self.DataCentre, dc, address)
}

// introduceSelf sends a heartbeat of this node to a node that may not have it in its roster.
func (f *Fleet) introduceSelf(now time.Duration, n *roster.Node) {
	f.sendMessage(n.Address, f.heartbeatMessage(now, f.receiverOutsidePlan(now, n.DataCentre, n.Address), false))
}

// RecordOffer records that an entry of a data centre has placed a flow on this node, and sends the
// entry a heartbeat at once if it waits for a sign that this node is alive.
func (f *Fleet) RecordOffer(now time.Duration, dc ident.DataCentre, entry netip.AddrPort) {
	plan := f.outgoing.plan.Load()
	if plan == nil {
		return
	}
	f.outgoing.mu.Lock()
	receiver, due := f.outgoing.recentEntries.RecordPlacement(now, plan, f.Self.DataCentre, dc, entry)
	f.outgoing.mu.Unlock()
	if due {
		f.sendHeartbeat([]heartbeat.Receiver{receiver}, nil)
	}
}

// recentEntries returns the entries that have recently placed flows on this node.
func (f *Fleet) recentEntries() []heartbeat.Receiver {
	f.outgoing.mu.Lock()
	defer f.outgoing.mu.Unlock()
	return f.outgoing.recentEntries.TakeReceivers(Now())
}

// sendDigests sends digests of this data centre to the others while this node is one of its relays
// and a node there needs one, until the context ends.
func (f *Fleet) sendDigests(ctx context.Context) error {
	check := 0
	return timing.Every(ctx, digestCheckInterval, func(time.Time) {
		due := check%checksPerDigest == 0
		check++
		isRelay := f.outgoing.isRelay.Load()
		if f.leaving.Load() || !due && !isRelay {
			return
		}
		now := Now()
		if f.reachesAll(now) && !f.Roster.NeedsRelay(f.Self.DataCentre) {
			f.updateRelayRole(false, 0)
			return
		}
		peers := f.Roster.Peers()
		if due {
			isRelay = digest.IsRelay(now, &f.Self, peers)
			f.updateRelayRole(isRelay, len(peers))
		}
		if isRelay {
			f.sendDigest(now, peers, due)
		}
	})
}

// updateRelayRole records whether this node is a relay of its data centre. A change of the role clears
// the record of what the digests contained.
func (f *Fleet) updateRelayRole(isRelay bool, nodes int) {
	if f.outgoing.isRelay.Swap(isRelay) == isRelay {
		return
	}
	f.outgoing.digests = digest.Relay{}
	_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "relay role changed", "relays", isRelay, "nodes", nodes)
}

// sendDigest sends the changed nodes of this data centre to each other data centre, and some of the
// unchanged ones if a digest is due.
func (f *Fleet) sendDigest(now time.Duration, peers []roster.Peer, due bool) {
	items := f.outgoing.digests.Select(now, f.digestItems(now, peers), due)
	if len(items) == 0 {
		return
	}
	receivers := digest.Receivers(now, &f.Self, peers, rand.IntN)
	for len(items) > 0 {
		n := min(digest.NodesPerDatagram, len(items))
		d := toDigest(f.Self.DataCentre, items[:n], true)
		// This node has the newest set of those that it reports, so that one of them carries it for all.
		d.News[0].Heartbeat.Evacuations = toEvacuations(f.evacuations.current.Load())
		b := f.encode(&fleetv1.Message{Digest: d})
		for i := range receivers {
			f.write(receivers[i].Address, b)
		}
		f.digestsSent.Add(len(receivers))
		items = items[n:]
	}
}

// digestItems returns the state of this node and of each node of its data centre that has sent a
// heartbeat, without those that send heartbeats to the other data centres themselves.
func (f *Fleet) digestItems(now time.Duration, peers []roster.Peer) []digest.NodeUpdate {
	var items []digest.NodeUpdate
	if !f.reachesAll(now) {
		items = append(items, digest.NodeUpdate{Node: *f.self(), Heartbeat: f.ownHeartbeat(now)})
	}
	for i := range peers {
		if p := &peers[i]; p.DataCentre == f.Self.DataCentre && p.HeartbeatSeen && !p.Direct {
			items = append(items, digest.NodeUpdate{Node: p.Node, Heartbeat: p.Heartbeat, Age: now - p.LastSeen,
				Silent: p.Overdue(now)})
		}
	}
	return items
}

// handleDigest applies a digest of another data centre, and forwards it to the running nodes of
// this one if the digest requests it.
func (f *Fleet) handleDigest(now time.Duration, latest ident.Incarnation, d *fleetv1.Digest) {
	dc := ident.DataCentre(d.GetDataCentre())
	if dc == f.Self.DataCentre {
		return
	}
	f.Roster.RecordDigest(now, dc)
	for _, m := range d.GetNews() {
		n, err := fromNews(latest, m)
		if err == nil {
			err = f.checkStart(now, latest, &n.Node, true)
		}
		if err != nil {
			f.rejectMessage("digest", err)
			continue
		}
		f.receiveEvacuations(now, m.GetHeartbeat())
		f.handleNodeChange(&n.Node, &n.Heartbeat, f.Roster.RecordRelayed(now, n.Age, n.Node, n.Heartbeat, n.Silent))
	}
	if !d.GetPassOn() {
		return
	}
	d.PassOn = false
	b := f.encode(&fleetv1.Message{Digest: d})
	for _, p := range f.Roster.Peers() {
		if p.DataCentre == f.Self.DataCentre && p.Running(now) {
			f.write(p.Address, b)
			f.digestsSent.Inc()
		}
	}
}
