// Package wire encodes and authenticates the datagrams between nodes.
//
// A frame is: type (1 byte), key ID (1 byte), tag (8 bytes, SipHash-2-4 over type, key ID and
// body), body (protobuf). The tag proves that the sender holds a key of the fleet.
package wire

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"
)

// Type is the type of a frame's body.
type Type byte

// Types of frame.
const (
	TypeData    Type = 1 // Data to an agent
	TypeReturn  Type = 2 // Data to an entry, for the caller
	TypeControl Type = 3 // Control
)

// Sizes of a frame, in bytes.
const (
	tagOffset  = 2
	HeaderSize = 10
	KeySize    = 16
	// MaxFrameSize is the size of the largest datagram that nodes exchange: a UDP payload over IPv4.
	MaxFrameSize = 65507
	// MaxPayloadSize is the size of the largest datagram that is accepted from a caller, so that a
	// frame with its header stays below MaxFrameSize.
	MaxPayloadSize = 65000
)

// Errors of Open and of the parsers. Their texts are the reasons in the counters of dropped frames.
var (
	ErrShort      = errors.New("frame shorter than its header")
	ErrUnknownKey = errors.New("frame signed with an unknown key id")
	ErrBadTag     = errors.New("frame with a wrong tag")
	ErrMalformed  = errors.New("frame with a malformed body")
)

// Key is one key of the fleet.
type Key struct{ k0, k1 uint64 }

// ParseKey reads a key written as 32 hexadecimal digits.
func ParseKey(s string) (Key, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != KeySize {
		// The error does not contain the text, which may be most of a secret.
		return Key{}, errors.Errorf("fleet key: must have %d hexadecimal digits", 2*KeySize)
	}
	return Key{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])}, nil
}

// Keyring holds the accepted keys and the ID of the signing key. It is immutable: a key rotation
// replaces it.
type Keyring struct {
	keys         [256]Key
	present      [256]bool
	signingKeyID byte
}

// NewKeyring returns a keyring. signingKeyID must be the ID of one of the keys.
func NewKeyring(keys map[byte]Key, signingKeyID byte) (*Keyring, error) {
	if _, ok := keys[signingKeyID]; !ok {
		return nil, errors.Errorf("fleet key: signing key id %d is not in the keyring", signingKeyID)
	}
	r := &Keyring{signingKeyID: signingKeyID}
	for id, k := range keys {
		r.keys[id] = k
		r.present[id] = true
	}
	return r, nil
}

// Tag returns the keyed hash of b under the signing key. Signatures of RPCs, permits and connection
// IDs use it.
func (r *Keyring) Tag(b []byte) (keyID byte, tag uint64) {
	k := &r.keys[r.signingKeyID]
	return r.signingKeyID, siphash.Hash(k.k0, k.k1, b)
}

// Check reports whether tag is the keyed hash of b under the key with this ID.
func (r *Keyring) Check(keyID byte, tag uint64, b []byte) bool {
	if !r.present[keyID] {
		return false
	}
	k := &r.keys[keyID]
	return siphash.Hash(k.k0, k.k1, b) == tag
}

// TagWith returns the keyed hash of b under the key with this ID, for formats that carry only a
// part of the tag. It returns false if there is no such key.
func (r *Keyring) TagWith(keyID byte, b []byte) (uint64, bool) {
	if !r.present[keyID] {
		return 0, false
	}
	k := &r.keys[keyID]
	return siphash.Hash(k.k0, k.k1, b), true
}

// appendHeader appends an unsigned header.
func (r *Keyring) appendHeader(b []byte, t Type) []byte {
	return append(b, byte(t), r.signingKeyID, 0, 0, 0, 0, 0, 0, 0, 0)
}

// signFrame sets the tag of the complete frame that begins at frameStart.
func (r *Keyring) signFrame(b []byte, frameStart int) {
	frame := b[frameStart:]
	binary.BigEndian.PutUint64(frame[tagOffset:], r.computeFrameTag(frame, &r.keys[r.signingKeyID]))
}

// computeFrameTag hashes the body under the key. The type and the key ID are mixed into the key, so
// that neither can be replaced.
func (r *Keyring) computeFrameTag(frame []byte, k *Key) uint64 {
	prefix := uint64(frame[0])<<8 | uint64(frame[1])
	return siphash.Hash(k.k0^prefix, k.k1, frame[HeaderSize:])
}

// Open checks the authenticity of a frame and returns its type and its body, which aliases the
// frame.
func (r *Keyring) Open(frame []byte) (Type, []byte, error) {
	if len(frame) < HeaderSize {
		return 0, nil, ErrShort
	}
	keyID := frame[1]
	if !r.present[keyID] {
		return 0, nil, ErrUnknownKey
	}
	if binary.BigEndian.Uint64(frame[tagOffset:]) != r.computeFrameTag(frame, &r.keys[keyID]) {
		return 0, nil, ErrBadTag
	}
	return Type(frame[0]), frame[HeaderSize:], nil
}
