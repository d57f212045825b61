package packetagent

import (
	"net/netip"
	"sync"
	"time"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/steering"
)

// offersKept is the number of packets that are remembered after they were passed to the target, a power of two. A target gives a packet back
// within milliseconds; at 10,000 packets a second this is half a second.
const offersKept = 4096

// offer is what must be known of a packet if the target gives it back. The packet itself comes back with its token.
type offer struct {
	token    uint32
	flow     steering.Flow
	entry    netip.AddrPort
	origin   ident.DataCentre
	service  string
	revision uint64
	search   bool
	tried    []ident.NodeID
}

// offers remembers the last packets that were passed to the target, and which entry asked for each flow.
type offers struct {
	mu      sync.Mutex
	last    uint32
	ring    [offersKept]offer
	entries map[steering.Flow]asked // entries to be told where a flow is
}

type asked struct {
	entry netip.AddrPort
	at    time.Duration
}

// askedFor is how long an entry's question is kept if the target sends nothing.
const askedFor = 10 * time.Second

// add remembers a packet and returns its token, which is never 0.
func (o *offers) add(flow steering.Flow, r *fleet.ForwardedPacket) uint32 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last++
	if o.last == 0 {
		o.last = 1
	}
	at := &o.ring[o.last%offersKept]
	*at = offer{o.last, flow, r.Entry, r.Origin, r.Service, r.Revision, r.WantsOwner, append(at.tried[:0], r.Tried...)}
	if r.WantsOwner || len(r.Tried) > 0 {
		o.ask(flow, r.Entry)
	}
	return o.last
}

func (o *offers) ask(flow steering.Flow, entry netip.AddrPort) {
	if o.entries == nil {
		o.entries = map[steering.Flow]asked{}
	}
	now := fleet.Now()
	if len(o.entries) >= offersKept {
		for f, a := range o.entries {
			if now-a.at > askedFor {
				delete(o.entries, f)
			}
		}
	}
	o.entries[flow] = asked{entry, now}
}

// take returns the relay of a packet that the target gave back.
func (o *offers) take(token uint32, flow steering.Flow) (fleet.ForwardedPacket, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := &o.ring[token%offersKept]
	if token == 0 || at.token != token || at.flow != flow {
		return fleet.ForwardedPacket{}, false
	}
	delete(o.entries, flow)
	return fleet.ForwardedPacket{
		Entry: at.entry, Origin: at.origin, Service: at.service, Revision: at.revision, WantsOwner: at.search,
		Tried: append([]ident.NodeID(nil), at.tried...),
	}, true
}

// asker returns the entry that asked where a flow is, once.
func (o *offers) asker(flow steering.Flow) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.entries[flow]
	delete(o.entries, flow)
	return a.entry, ok
}
