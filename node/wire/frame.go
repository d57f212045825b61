// Package wire frames, authenticates and encodes the datagrams between nodes.
//
// A frame is: type (1 byte), key id (1 byte), tag (8 bytes, SipHash-2-4 over type, key id and body), body
// (protobuf). The tag proves that the sender holds a key of the fleet.
package wire

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/dchest/siphash"
	"github.com/go-faster/errors"
)

// Type tells what a frame's body is.
type Type byte

// Types of frame.
const (
	TypeData    Type = 1 // Data towards an agent
	TypeReturn  Type = 2 // Data towards an entry, for the caller
	TypeControl Type = 3 // Control
)

// Sizes of a frame, in bytes.
const (
	tagOffset  = 2
	HeaderSize = 10
	KeySize    = 16
	// MaxFrame is the largest datagram that nodes exchange: a UDP payload over IPv4.
	MaxFrame = 65507
	// MaxPayload is the largest datagram of a caller that is accepted, so that a frame with its header stays below MaxFrame.
	MaxPayload = 65000
)

// Errors of Open. They are counted as drops under these names.
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
		// The text is not repeated, because it may be most of a secret.
		return Key{}, errors.Errorf("fleet key: want %d hexadecimal digits", 2*KeySize)
	}
	return Key{binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:])}, nil
}

// Keyring holds the keys that are accepted and names the one that signs. It is immutable, so that rotation replaces it.
type Keyring struct {
	keys    [256]Key
	present [256]bool
	signer  byte
}

// NewKeyring makes a keyring. The signing id must be one of the keys.
func NewKeyring(keys map[byte]Key, signer byte) (*Keyring, error) {
	if _, ok := keys[signer]; !ok {
		return nil, errors.Errorf("fleet key: signing key id %d is not in the keyring", signer)
	}
	r := &Keyring{signer: signer}
	for id, k := range keys {
		r.keys[id] = k
		r.present[id] = true
	}
	return r, nil
}

// Tag returns the keyed hash of b under the signing key. RPC headers and permits use it.
func (r *Keyring) Tag(b []byte) (keyID byte, tag uint64) {
	k := &r.keys[r.signer]
	return r.signer, siphash.Hash(k.k0, k.k1, b)
}

// Check tells whether tag is the keyed hash of b under the key with this id.
func (r *Keyring) Check(keyID byte, tag uint64, b []byte) bool {
	if !r.present[keyID] {
		return false
	}
	k := &r.keys[keyID]
	return siphash.Hash(k.k0, k.k1, b) == tag
}

// TagWith returns the keyed hash of b under the key with this id, for users that carry only a part of the tag. It returns false if there
// is no such key.
func (r *Keyring) TagWith(keyID byte, b []byte) (uint64, bool) {
	if !r.present[keyID] {
		return 0, false
	}
	k := &r.keys[keyID]
	return siphash.Hash(k.k0, k.k1, b), true
}

// begin appends an unsigned header.
func (r *Keyring) begin(b []byte, t Type) []byte {
	return append(b, byte(t), r.signer, 0, 0, 0, 0, 0, 0, 0, 0)
}

// sign fills in the tag of the frame that starts at start and is complete.
func (r *Keyring) sign(b []byte, start int) {
	frame := b[start:]
	binary.BigEndian.PutUint64(frame[tagOffset:], r.frameTag(frame, &r.keys[r.signer]))
}

// frameTag hashes the body under the key, mixed with the type and key id so that neither can be exchanged.
func (r *Keyring) frameTag(frame []byte, k *Key) uint64 {
	prefix := uint64(frame[0])<<8 | uint64(frame[1])
	return siphash.Hash(k.k0^prefix, k.k1, frame[HeaderSize:])
}

// Open checks a frame's authenticity and returns its type and body, which aliases the frame.
func (r *Keyring) Open(frame []byte) (Type, []byte, error) {
	if len(frame) < HeaderSize {
		return 0, nil, ErrShort
	}
	id := frame[1]
	if !r.present[id] {
		return 0, nil, ErrUnknownKey
	}
	if binary.BigEndian.Uint64(frame[tagOffset:]) != r.frameTag(frame, &r.keys[id]) {
		return 0, nil, ErrBadTag
	}
	return Type(frame[0]), frame[HeaderSize:], nil
}
