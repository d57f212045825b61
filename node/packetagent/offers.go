package packetagent

import (
	"net/netip"
	"sync"
	"time"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// maxOffers is the number of packets that are kept after they were sent to the target, a power of
// two. A target bounces a packet within milliseconds; at 10,000 packets per second, the last
// maxOffers packets are those of almost half a second.
const maxOffers = 4096

// offer holds what is needed to forward a packet that the target bounces. The packet itself comes
// back with its token.
type offer struct {
	token      uint32
	flow       steering.Flow
	entry      netip.AddrPort
	origin     ident.DataCentre
	service    string
	routes     routes.Position
	wantsOwner bool
	tried      []ident.NodeID
	// Of a search, as in fleet.ForwardedPacket.
	remembered    int
	silent        []ident.NodeID
	wantsProgress bool
}

// offers keeps the last packets that were sent to the target, and the entries that have requested
// the owner of a flow.
type offers struct {
	mu            sync.Mutex
	lastToken     uint32
	ring          [maxOffers]offer
	ownerRequests map[steering.Flow]ownerRequest // entries that get the owner of a flow once it is known
}

type ownerRequest struct {
	entry       netip.AddrPort
	requestedAt time.Duration
}

// ownerRequestTimeout is how long an entry's request is kept if the target sends nothing.
const ownerRequestTimeout = 10 * time.Second

// add records a packet and returns its token, which is never 0. It also records an owner request of
// the entry, if the packet has one or has been tried at other agents.
func (o *offers) add(flow steering.Flow, fp *fleet.ForwardedPacket) uint32 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastToken++
	if o.lastToken == 0 {
		o.lastToken = 1
	}
	slot := &o.ring[o.lastToken%maxOffers]
	*slot = offer{o.lastToken, flow, fp.Entry, fp.Origin, fp.Service, fp.Routes, fp.WantsOwner,
		append(slot.tried[:0], fp.Tried...), fp.Remembered, append(slot.silent[:0], fp.Silent...), fp.WantsProgress}
	if fp.WantsOwner || len(fp.Tried) > 0 {
		o.addOwnerRequest(flow, fp.Entry)
	}
	return o.lastToken
}

// addOwnerRequest records the request of an entry. From maxOffers requests on, it first removes the
// expired ones.
func (o *offers) addOwnerRequest(flow steering.Flow, entry netip.AddrPort) {
	if o.ownerRequests == nil {
		o.ownerRequests = map[steering.Flow]ownerRequest{}
	}
	now := fleet.Now()
	if len(o.ownerRequests) >= maxOffers {
		for f, request := range o.ownerRequests {
			if now-request.requestedAt > ownerRequestTimeout {
				delete(o.ownerRequests, f)
			}
		}
	}
	o.ownerRequests[flow] = ownerRequest{entry, now}
}

// take returns the offer of a bounced packet as a packet to forward, without its bytes.
func (o *offers) take(token uint32, flow steering.Flow) (fleet.ForwardedPacket, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	slot := &o.ring[token%maxOffers]
	if token == 0 || slot.token != token || slot.flow != flow {
		return fleet.ForwardedPacket{}, false
	}
	delete(o.ownerRequests, flow)
	return fleet.ForwardedPacket{
		Entry: slot.entry, Origin: slot.origin, Service: slot.service, Routes: slot.routes, WantsOwner: slot.wantsOwner,
		Tried: append([]ident.NodeID(nil), slot.tried...), Remembered: slot.remembered,
		Silent: append([]ident.NodeID(nil), slot.silent...), WantsProgress: slot.wantsProgress,
	}, true
}

// takeOwnerRequest returns and removes the entry that has requested the owner of a flow.
func (o *offers) takeOwnerRequest(flow steering.Flow) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	request, ok := o.ownerRequests[flow]
	delete(o.ownerRequests, flow)
	return request.entry, ok
}
