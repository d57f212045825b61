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
	"lacewinglever.dev/policy/audience"
	"lacewinglever.dev/policy/digest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

const (
	// planRounds is the number of rounds after which the plan of heartbeats is made anew, for nodes that came and went.
	planRounds = 5
	// relayEvery is the interval in which a relay looks for changes that other data centres have to be told of.
	relayEvery = 100 * time.Millisecond
	// digestChecks is the number of such looks of which one sends a digest in any case.
	digestChecks = int(roster.DigestInterval / relayEvery)
)

// telling is what a node remembers of whom it tells of itself.
type telling struct {
	plan    atomic.Pointer[audience.Plan]
	mu      sync.Mutex
	askers  audience.ActiveEntries
	service string       // in the last heartbeat
	digests digest.Relay // only used by relay
}

// beats sends heartbeats until the context ends.
func (f *Fleet) beats(ctx context.Context) {
	ticker := time.NewTicker(audience.RoundInterval)
	defer ticker.Stop()
	f.replan()
	for round := uint64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if round%planRounds == 0 {
				f.replan()
			}
			plan := f.told.plan.Load()
			f.beat(plan.Due(round), nil)
			if !plan.Direct {
				f.beat(f.recentAskers(), nil)
			}
			round++
		case <-f.wake:
			plan := f.replan()
			f.beat(plan.All(), f.change.Swap(nil))
			if !plan.Direct {
				f.beat(f.recentAskers(), nil)
			}
		case <-f.loaded:
			f.beat(f.recentAskers(), nil)
		}
	}
}

// replan decides anew whom to tell, and forgets nodes that were silent for long.
func (f *Fleet) replan() *audience.Plan {
	now := Now()
	f.forget(now)
	f.told.mu.Lock()
	service := f.told.service
	f.told.mu.Unlock()
	plan := audience.NewPlan(now, &f.Self, service, f.Roster.Peers())
	f.told.plan.Store(plan)
	return plan
}

// beat sends a heartbeat, with a change of the routes if there is one.
func (f *Fleet) beat(to []audience.Receiver, change *fleetv1.RoutesChange) {
	now := Now()
	var encoded []byte
	for i, r := range to {
		// Receivers with the same interval stand together and get the same bytes.
		if i == 0 || r.Interval != to[i-1].Interval || r.ViaDigest != to[i-1].ViaDigest {
			message := f.heartbeat(now, r, false)
			message.Routes = change
			encoded = encode(message)
		}
		f.write(r.Address, encoded)
	}
	f.heartbeats.Add(len(to))
}

// heartbeat returns what this node says of itself to a receiver.
func (f *Fleet) heartbeat(now time.Duration, to audience.Receiver, join bool) *fleetv1.Message {
	b := f.ownBeat(now)
	b.Interval, b.ViaDigest = to.Interval, to.ViaDigest
	return &fleetv1.Message{Heartbeat: toHeartbeat(&f.Self, &b, join)}
}

// ownBeat returns what this node says of itself.
func (f *Fleet) ownBeat(now time.Duration) roster.Heartbeat {
	b := roster.Heartbeat{Revision: f.Routes.Revision(), Leaving: f.leaving.Load()}
	f.options.Handler.FillHeartbeat(now, &b)
	b.Sequence = f.sequence.Add(1)
	f.told.mu.Lock()
	f.told.service = b.Target.Service
	f.told.mu.Unlock()
	return b
}

// seldom returns a node as a receiver of a heartbeat outside of the plan.
func (f *Fleet) seldom(dc ident.DataCentre, address netip.AddrPort) audience.Receiver {
	plan := f.told.plan.Load()
	if plan == nil {
		return audience.Receiver{Address: address}
	}
	return plan.OneOff(f.Self.DataCentre, dc, address)
}

// introduce tells another node of this one.
func (f *Fleet) introduce(now time.Duration, n *roster.Node) {
	f.sendMessage(n.Address, f.heartbeat(now, f.seldom(n.DataCentre, n.Address), false))
}

// RecordOffer notes that an entry of a data centre has placed a flow on this node, and shows the entry at once that this node lives.
func (f *Fleet) RecordOffer(now time.Duration, dc ident.DataCentre, entry netip.AddrPort) {
	plan := f.told.plan.Load()
	if plan == nil {
		return
	}
	f.told.mu.Lock()
	receiver, tell := f.told.askers.RecordPlacement(now, plan, f.Self.DataCentre, dc, entry)
	f.told.mu.Unlock()
	if tell {
		f.beat([]audience.Receiver{receiver}, nil)
	}
}

// recentAskers returns the entries that have lately placed flows here.
func (f *Fleet) recentAskers() []audience.Receiver {
	f.told.mu.Lock()
	defer f.told.mu.Unlock()
	return f.told.askers.TakeReceivers(Now())
}

// relay sends digests of this data centre to the others while this node is one of its relays, until the context ends.
func (f *Fleet) relay(ctx context.Context) error {
	check, relays := 0, false
	return timing.Every(ctx, relayEvery, func(time.Time) {
		plan := f.told.plan.Load()
		if plan == nil || !plan.Relayed || f.leaving.Load() {
			return
		}
		due := check%digestChecks == 0
		check++
		if !due && !relays {
			return
		}
		now := Now()
		peers := f.Roster.Peers()
		if due {
			relays = f.relays(now, peers, relays)
		}
		if relays {
			f.sendDigest(now, peers, due)
		}
	})
}

// relays decides whether this node is a relay, and forgets what it has told when it is none any more.
func (f *Fleet) relays(now time.Duration, peers []roster.Peer, before bool) bool {
	relays := digest.IsRelay(now, &f.Self, peers)
	if relays != before {
		f.told.digests = digest.Relay{}
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "relay of its data centre", "relays", relays, "nodes", len(peers))
	}
	return relays
}

// sendDigest sends what has changed to each other data centre, and a part of the rest if it is due.
func (f *Fleet) sendDigest(now time.Duration, peers []roster.Peer, due bool) {
	news := f.told.digests.Select(now, f.news(now, peers), due)
	if len(news) == 0 {
		return
	}
	receivers := digest.Receivers(now, &f.Self, peers, rand.IntN)
	for len(news) > 0 {
		n := min(digest.NodesPerDatagram, len(news))
		b := encode(&fleetv1.Message{Digest: toDigest(f.Self.DataCentre, news[:n], true)})
		for i := range receivers {
			f.write(receivers[i].Address, b)
		}
		f.digests.Add(len(receivers))
		news = news[n:]
	}
}

// news returns what is known of the nodes of this data centre.
func (f *Fleet) news(now time.Duration, peers []roster.Peer) []digest.NodeUpdate {
	news := []digest.NodeUpdate{{Node: f.Self, Heartbeat: f.ownBeat(now)}}
	for i := range peers {
		if p := &peers[i]; p.DataCentre == f.Self.DataCentre && p.HeartbeatSeen {
			news = append(news, digest.NodeUpdate{Node: p.Node, Heartbeat: p.Heartbeat, Age: now - p.LastSeen, Silent: p.Overdue(now)})
		}
	}
	return news
}

// hearDigest takes a digest of another data centre and passes it on to the nodes of this one if it asks for that.
func (f *Fleet) hearDigest(now time.Duration, d *fleetv1.Digest) {
	dc := ident.DataCentre(d.GetDataCentre())
	if dc == f.Self.DataCentre {
		return
	}
	f.Roster.RecordDigest(now, dc)
	for _, m := range d.GetNews() {
		n, err := fromNews(m)
		if err != nil {
			f.malformed.Inc()
			continue
		}
		f.heard(&n.Node, &n.Heartbeat, f.Roster.RecordRelayed(now, n.Age, n.Node, n.Heartbeat, n.Silent))
	}
	if !d.GetPassOn() {
		return
	}
	d.PassOn = false
	b := encode(&fleetv1.Message{Digest: d})
	for _, p := range f.Roster.Peers() {
		if p.DataCentre == f.Self.DataCentre && p.Running(now) {
			f.write(p.Address, b)
			f.digests.Inc()
		}
	}
}
