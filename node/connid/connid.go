// Package connid makes and reads QUIC connection IDs that name the agent which serves the
// connection, so that an entry routes the datagrams of an established connection without a table.
//
// A connection ID has Size bytes: agent ID (8), low 32 bits of the incarnation (4), serial (4), key
// ID (1), tag (3). The tag is the truncated keyed hash of a label and all before the key ID. A
// caller cannot forge one, and the agent ID is complete, so two agents never share a connection ID.
package connid

import (
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
)

// Layout of a connection ID, in bytes.
const (
	// Size is the length of every connection ID that agents make. It is the largest that QUIC
	// version 1 allows.
	Size              = 20
	incarnationOffset = 8
	serialOffset      = 12
	keyIDOffset       = 16
	tagOffset         = 17
)

// Layout of QUIC's invariant header (RFC 8999), in bytes.
const (
	longHeaderBit      = 0x80
	longIDLengthOffset = 5
	longIDOffset       = 6
	shortIDOffset      = 1
)

// tagLabel separates the tags of connection IDs from those of permits and RPCs, which are made with
// the same keys.
var tagLabel = [4]byte{'c', 'i', 'd', '1'}

// serialStep is odd, so that serial numbers repeat only after 2^32 connection IDs.
const serialStep = 0x9e3779b1

// ID is the content of a connection ID.
type ID struct {
	Agent       ident.NodeID
	Incarnation uint32 // low 32 bits of the agent's incarnation
}

// Matches reports whether this incarnation of the agent made the connection ID.
func (id ID) Matches(incarnation ident.Incarnation) bool {
	return id.Incarnation == uint32(incarnation)
}

// Generator makes the connection IDs of one incarnation of an agent. It implements
// quic.ConnectionIDGenerator.
type Generator struct {
	agent       ident.NodeID
	incarnation ident.Incarnation
	keys        atomic.Pointer[wire.Keyring]
	serial      atomic.Uint32
}

// NewGenerator returns the generator of an agent.
func NewGenerator(agent ident.NodeID, incarnation ident.Incarnation, keys *wire.Keyring) *Generator {
	g := &Generator{agent: agent, incarnation: incarnation}
	g.keys.Store(keys)
	var first [4]byte
	_, _ = rand.Read(first[:]) // never fails
	g.serial.Store(binary.BigEndian.Uint32(first[:]))
	return g
}

// SetKeys replaces the keyring, for key rotation.
func (g *Generator) SetKeys(keys *wire.Keyring) { g.keys.Store(keys) }

// ConnectionIDLen returns Size.
func (g *Generator) ConnectionIDLen() int { return Size }

// GenerateConnectionID returns a new connection ID.
func (g *Generator) GenerateConnectionID() (quic.ConnectionID, error) {
	var b [Size]byte
	binary.BigEndian.PutUint64(b[:], uint64(g.agent))
	binary.BigEndian.PutUint32(b[incarnationOffset:], uint32(g.incarnation))
	binary.BigEndian.PutUint32(b[serialOffset:], g.serial.Add(serialStep))
	input := tagInput(b[:])
	keyID, tag := g.keys.Load().Tag(input[:])
	b[keyIDOffset] = keyID
	putTag(b[tagOffset:], tag)
	return quic.ConnectionIDFromBytes(b[:]), nil
}

// FromDatagram reads the destination connection ID of a caller's datagram. It returns false if the
// caller chose the connection ID, as in the first packets of a connection, or if the datagram is
// not a QUIC packet. It doesn't allocate.
func FromDatagram(keys *wire.Keyring, datagram []byte) (ID, bool) {
	if len(datagram) < shortIDOffset+Size {
		return ID{}, false
	}
	if datagram[0]&longHeaderBit == 0 {
		return Parse(keys, datagram[shortIDOffset:shortIDOffset+Size])
	}
	if datagram[longIDLengthOffset] != Size || len(datagram) < longIDOffset+Size {
		return ID{}, false
	}
	return Parse(keys, datagram[longIDOffset:longIDOffset+Size])
}

// Parse reads a connection ID and checks its tag.
func Parse(keys *wire.Keyring, b []byte) (ID, bool) {
	if len(b) != Size {
		return ID{}, false
	}
	input := tagInput(b)
	if !hasValidTag(keys, b[keyIDOffset], b[tagOffset:], input[:]) {
		return ID{}, false
	}
	agent := ident.NodeID(binary.BigEndian.Uint64(b))
	return ID{Agent: agent, Incarnation: binary.BigEndian.Uint32(b[incarnationOffset:])}, true
}

// tagInput returns what the tag covers. It does not include the key ID, which is known only once
// the tag is made.
func tagInput(b []byte) [len(tagLabel) + keyIDOffset]byte {
	var input [len(tagLabel) + keyIDOffset]byte
	copy(input[:], tagLabel[:])
	copy(input[len(tagLabel):], b[:keyIDOffset])
	return input
}

func putTag(b []byte, tag uint64) {
	b[0], b[1], b[2] = byte(tag>>16), byte(tag>>8), byte(tag)
}

// hasValidTag reports whether the truncated tag is valid.
func hasValidTag(keys *wire.Keyring, keyID byte, tag, input []byte) bool {
	want, ok := keys.TagWith(keyID, input)
	if !ok {
		return false
	}
	var b [Size - tagOffset]byte
	putTag(b[:], want)
	return b == [Size - tagOffset]byte(tag)
}
