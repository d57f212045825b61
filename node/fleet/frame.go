package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// Kinds of datagram between nodes. The kind is the first byte of a datagram.
const (
	kindPacket  = 1
	kindControl = 2
)

// Fields of a packet frame, encoded as protobuf without allocation.
const (
	fieldEntry      = 1 // address of the entry that received the packet: 4 bytes IPv4, 2 bytes port, big endian
	fieldOrigin     = 2 // data centre of that entry
	fieldService    = 3 // empty if the entry has no routes yet
	fieldRevision   = 4 // of the routes that the entry applied
	fieldWantsOwner = 5 // 1 if the entry is to get a FlowOwner message for the flow
	fieldTried      = 6 // ids of the agents that must not be tried again, 8 bytes each
	fieldEra        = 7 // of the store, with the revision
	fieldVersion    = 8 // of those routes; missing in frames of older programs
	// Of the search for the owner of an open flow; ignored by older programs.
	fieldSilent        = 9  // ids of agents that are tried last, 8 bytes each, the least recently asked first
	fieldRemembered    = 10 // number of the first agents in fieldTried that were tried with earlier packets
	fieldWantsProgress = 11 // 1 if the entry is to get a SearchProgress message from each agent that passes the packet on
	fieldPacket        = 15
)

// maxTried limits the agents that one packet is offered to, so that a frame fits into
// maxDatagramBytes. It must exceed the size of any pool: with a lower limit, a search never reaches
// targets far down in the rank, and their callers' packets go to all targets except the right one.
const maxTried = 300

var errMalformedFrame = errors.New("malformed packet frame")

// ForwardedPacket is a caller's packet that one node forwards to another. The constants of the
// frame describe its fields.
type ForwardedPacket struct {
	Entry      netip.AddrPort
	Origin     ident.DataCentre
	Service    string
	Routes     routes.Position // of the entry
	WantsOwner bool
	Tried      []ident.NodeID
	Remembered int // see steering.Asked, as for Tried and Silent
	Silent     []ident.NodeID
	// WantsProgress is set if the entry is to be told by each agent that passes the packet on.
	WantsProgress bool
	Packet        []byte
}

// Asked returns what the packet says of the agents that were asked in a search.
func (p *ForwardedPacket) Asked() steering.Asked {
	return steering.Asked{Tried: p.Tried, Remembered: p.Remembered, Silent: p.Silent}
}

// SetAsked sets what the packet says of the agents that were asked in a search.
func (p *ForwardedPacket) SetAsked(a steering.Asked) {
	p.Tried, p.Remembered, p.Silent = a.Tried, a.Remembered, a.Silent
}

// Append appends the encoded frame.
func (p *ForwardedPacket) Append(b []byte) []byte {
	b = append(b, kindPacket)
	b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
	b = protowire.AppendVarint(b, 6)
	ip := p.Entry.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, p.Entry.Port())
	b = protowire.AppendTag(b, fieldOrigin, protowire.BytesType)
	b = protowire.AppendString(b, string(p.Origin))
	b = protowire.AppendTag(b, fieldService, protowire.BytesType)
	b = protowire.AppendString(b, p.Service)
	b = protowire.AppendTag(b, fieldRevision, protowire.VarintType)
	b = protowire.AppendVarint(b, p.Routes.Revision)
	b = protowire.AppendTag(b, fieldEra, protowire.VarintType)
	b = protowire.AppendVarint(b, p.Routes.Era)
	b = protowire.AppendTag(b, fieldVersion, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(p.Routes.Version))
	if p.WantsOwner {
		b = protowire.AppendTag(b, fieldWantsOwner, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	b = appendNodes(b, fieldTried, p.Tried)
	b = appendNodes(b, fieldSilent, p.Silent)
	if p.Remembered > 0 {
		b = protowire.AppendTag(b, fieldRemembered, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(p.Remembered))
	}
	if p.WantsProgress {
		b = protowire.AppendTag(b, fieldWantsProgress, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	b = protowire.AppendTag(b, fieldPacket, protowire.BytesType)
	return protowire.AppendBytes(b, p.Packet)
}

func appendNodes(b []byte, field protowire.Number, nodes []ident.NodeID) []byte {
	if len(nodes) == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(8*len(nodes)))
	for _, id := range nodes {
		b = binary.BigEndian.AppendUint64(b, uint64(id))
	}
	return b
}

// decodeNodes appends the nodes of a field, of which there must be at most limit.
func decodeNodes(nodes []ident.NodeID, v []byte, limit int) ([]ident.NodeID, bool) {
	if len(v)%8 != 0 || len(v) > 8*limit {
		return nodes, false
	}
	for ; len(v) > 0; v = v[8:] {
		nodes = append(nodes, ident.NodeID(binary.BigEndian.Uint64(v)))
	}
	return nodes, true
}

// interner keeps one copy of each name in frames, so that decoding allocates nothing.
type interner map[string]string

// maxInternedNames bounds the names that are kept. A region has some 20 data centres, and a node
// gets frames only for the services of its neighbours.
const maxInternedNames = 4096

func (n interner) intern(b []byte) string {
	if s, ok := n[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(n) < maxInternedNames {
		n[s] = s
	}
	return s
}

// decode decodes a frame without its first byte. The decoded packet aliases b.
func (p *ForwardedPacket) decode(b []byte, n interner) error {
	*p = ForwardedPacket{Tried: p.Tried[:0], Silent: p.Silent[:0]}
	for len(b) > 0 {
		field, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errMalformedFrame
		}
		b = b[size:]
		if kind == protowire.VarintType {
			v, size := protowire.ConsumeVarint(b)
			if size < 0 {
				return errMalformedFrame
			}
			b = b[size:]
			p.setNumber(field, v)
			continue
		}
		if kind != protowire.BytesType {
			return errMalformedFrame
		}
		v, size := protowire.ConsumeBytes(b)
		if size < 0 || !p.setBytes(field, v, n) {
			return errMalformedFrame
		}
		b = b[size:]
	}
	if !p.Entry.IsValid() || p.Packet == nil || p.Remembered > len(p.Tried) {
		return errMalformedFrame
	}
	return nil
}

func (p *ForwardedPacket) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldRevision:
		p.Routes.Revision = v
	case fieldEra:
		p.Routes.Era = v
	case fieldVersion:
		p.Routes.Version = int64(v)
	case fieldWantsOwner:
		p.WantsOwner = v != 0
	case fieldRemembered:
		p.Remembered = int(min(v, maxTried+1))
	case fieldWantsProgress:
		p.WantsProgress = v != 0
	}
}

func (p *ForwardedPacket) setBytes(field protowire.Number, v []byte, n interner) bool {
	switch field {
	case fieldEntry:
		if len(v) != 6 {
			return false
		}
		p.Entry = netip.AddrPortFrom(netip.AddrFrom4([4]byte(v)), binary.BigEndian.Uint16(v[4:]))
	case fieldOrigin:
		p.Origin = ident.DataCentre(n.intern(v))
	case fieldService:
		p.Service = n.intern(v)
	case fieldTried:
		var ok bool
		if p.Tried, ok = decodeNodes(p.Tried, v, maxTried-len(p.Tried)); !ok {
			return false
		}
	case fieldSilent:
		var ok bool
		if p.Silent, ok = decodeNodes(p.Silent, v, flowsearch.MaxSilent-len(p.Silent)); !ok {
			return false
		}
	case fieldPacket:
		p.Packet = v
	}
	return true
}
