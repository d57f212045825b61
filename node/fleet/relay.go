package fleet

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"lacewinglever.dev/policy/ident"
)

// Kinds of datagram between nodes. The kind is the first byte of a datagram.
const (
	kindPacket  = 1
	kindControl = 2
)

// Fields of a packet frame, encoded as protobuf without allocation.
const (
	fieldEntry    = 1 // address of the entry that received the packet: 4 bytes IPv4, 2 bytes port, big endian
	fieldOrigin   = 2 // data centre of that entry
	fieldService  = 3 // empty if the entry has no routes yet
	fieldRevision = 4 // of the routes that the entry applied
	fieldSearch   = 5 // 1 if the entry requests a FlowOwner message for the flow
	fieldTried    = 6 // ids of the agents whose targets bounced the packet, 8 bytes each
	fieldPacket   = 15
)

// maxTried limits the agents that one packet is offered to, so that a frame fits into
// maxDatagramBytes. It must exceed the size of any pool: with a lower limit, a search never reaches
// targets far down in the rank, and their callers' packets go to all targets except the right one.
const maxTried = 300

var errMalformedFrame = errors.New("malformed packet frame")

// ForwardedPacket is a caller's packet that one node forwards to another.
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
	b = append(b, kindPacket)
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
func (r *ForwardedPacket) decode(b []byte, n interner) error {
	*r = ForwardedPacket{Tried: r.Tried[:0]}
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
			r.setNumber(field, v)
			continue
		}
		if kind != protowire.BytesType {
			return errMalformedFrame
		}
		v, size := protowire.ConsumeBytes(b)
		if size < 0 || !r.setBytes(field, v, n) {
			return errMalformedFrame
		}
		b = b[size:]
	}
	if !r.Entry.IsValid() || r.Packet == nil {
		return errMalformedFrame
	}
	return nil
}

func (r *ForwardedPacket) setNumber(field protowire.Number, v uint64) {
	switch field {
	case fieldRevision:
		r.Revision = v
	case fieldSearch:
		r.WantsOwner = v != 0
	}
}

func (r *ForwardedPacket) setBytes(field protowire.Number, v []byte, n interner) bool {
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
