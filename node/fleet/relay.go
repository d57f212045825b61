package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"lacewinglever.dev/policy/ident"
)

// Kinds of datagram between nodes, the first byte of each.
const (
	kindRelay   = 1
	kindControl = 2
)

// Fields of a relay frame, encoded as protobuf without allocation.
const (
	fieldEntry    = 1 // address of the entry that received the packet: 4 bytes IPv4, 2 bytes port, big endian
	fieldOrigin   = 2 // data centre of that entry
	fieldService  = 3 // empty if the entry knows no routes
	fieldRevision = 4 // of the routes that the entry used
	fieldSearch   = 5 // the entry wants to be told where the flow is
	fieldTried    = 6 // ids of the agents that gave the packet back, 8 bytes each
	fieldPacket   = 15
)

// maxTried bounds the agents that one packet is offered to, so that a frame fits into datagramSize. A search that ends earlier than the pool never
// reaches targets far down in the rank, and their callers' packets go everywhere but there.
const maxTried = 300

var errFrame = errors.New("malformed relay frame")

// ForwardedPacket is a caller's packet on its way from an entry to a target.
type ForwardedPacket struct {
	Entry      netip.AddrPort
	Origin     ident.DataCentre
	Service    string
	Revision   uint64
	WantsOwner bool
	Tried      []ident.NodeID
	Packet     []byte
}

// Append appends the encoded frame.
func (r *ForwardedPacket) Append(b []byte) []byte {
	b = append(b, kindRelay)
	b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
	b = protowire.AppendVarint(b, 6)
	ip := r.Entry.Addr().As4()
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Entry.Port())
	b = protowire.AppendTag(b, fieldOrigin, protowire.BytesType)
	b = protowire.AppendString(b, string(r.Origin))
	b = protowire.AppendTag(b, fieldService, protowire.BytesType)
	b = protowire.AppendString(b, r.Service)
	b = protowire.AppendTag(b, fieldRevision, protowire.VarintType)
	b = protowire.AppendVarint(b, r.Revision)
	if r.WantsOwner {
		b = protowire.AppendTag(b, fieldSearch, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	if len(r.Tried) > 0 {
		b = protowire.AppendTag(b, fieldTried, protowire.BytesType)
		b = protowire.AppendVarint(b, uint64(8*len(r.Tried)))
		for _, id := range r.Tried {
			b = binary.BigEndian.AppendUint64(b, uint64(id))
		}
	}
	b = protowire.AppendTag(b, fieldPacket, protowire.BytesType)
	return protowire.AppendBytes(b, r.Packet)
}

// names keeps one copy of each name that frames carry, so that decoding allocates nothing.
type names map[string]string

// maxNames bounds the names that are kept. A region has some 20 data centres, and a node meets the services of its neighbours.
const maxNames = 4096

func (n names) intern(b []byte) string {
	if s, ok := n[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(n) < maxNames {
		n[s] = s
	}
	return s
}

// decode decodes a frame without its first byte. The packet refers to b.
func (r *ForwardedPacket) decode(b []byte, n names) error {
	*r = ForwardedPacket{Tried: r.Tried[:0]}
	for len(b) > 0 {
		field, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return errFrame
		}
		b = b[size:]
		if kind == protowire.VarintType {
			v, size := protowire.ConsumeVarint(b)
			if size < 0 {
				return errFrame
			}
			b = b[size:]
			r.number(field, v)
			continue
		}
		if kind != protowire.BytesType {
			return errFrame
		}
		v, size := protowire.ConsumeBytes(b)
		if size < 0 || !r.bytes(field, v, n) {
			return errFrame
		}
		b = b[size:]
	}
	if !r.Entry.IsValid() || r.Packet == nil {
		return errFrame
	}
	return nil
}

func (r *ForwardedPacket) number(field protowire.Number, v uint64) {
	switch field {
	case fieldRevision:
		r.Revision = v
	case fieldSearch:
		r.WantsOwner = v != 0
	}
}

func (r *ForwardedPacket) bytes(field protowire.Number, v []byte, n names) bool {
	switch field {
	case fieldEntry:
		if len(v) != 6 {
			return false
		}
		r.Entry = netip.AddrPortFrom(netip.AddrFrom4([4]byte(v)), binary.BigEndian.Uint16(v[4:]))
	case fieldOrigin:
		r.Origin = ident.DataCentre(n.intern(v))
	case fieldService:
		r.Service = n.intern(v)
	case fieldTried:
		if len(v)%8 != 0 || len(v) > 8*maxTried {
			return false
		}
		for ; len(v) > 0; v = v[8:] {
			r.Tried = append(r.Tried, ident.NodeID(binary.BigEndian.Uint64(v)))
		}
	case fieldPacket:
		r.Packet = v
	}
	return true
}
