// Package feed encodes the datagrams that callers and targets of the stand-ins exchange.
//
// A datagram is: magic (2 bytes), kind (1), flow (8), number (8), sent (8, nanoseconds since the epoch), length and text of
// the target's name, length and text of the service's name, then padding. Numbers are big endian.
package feed

import (
	"encoding/binary"

	"github.com/go-faster/errors"
)

// Kind tells what a datagram is.
type Kind byte

// Kinds of datagram.
const (
	Call    Kind = 1 // caller to target; the target's name is empty, the service is the one that the caller wants
	Answer  Kind = 2 // target to caller, with the number and the time of the call
	Reading Kind = 3 // target to caller, numbered by the target from 1
)

const (
	magic      = 0x4c66
	fixedSize  = 2 + 1 + 8 + 8 + 8
	maxNameLen = 255
)

// ErrMalformed is the error of Parse.
var ErrMalformed = errors.New("malformed feed datagram")

// Datagram is one datagram of a feed.
type Datagram struct {
	Kind     Kind
	Flow     uint64
	Sequence uint64
	SentNs   int64
	Target   string
	Service  string
}

// Append appends the datagram to b, padded to size bytes if it is shorter.
func (d *Datagram) Append(b []byte, size int) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint16(b, magic)
	b = append(b, byte(d.Kind))
	b = binary.BigEndian.AppendUint64(b, d.Flow)
	b = binary.BigEndian.AppendUint64(b, d.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(d.SentNs))
	b = appendName(b, d.Target)
	b = appendName(b, d.Service)
	if missing := size - (len(b) - start); missing > 0 {
		b = append(b, make([]byte, missing)...)
	}
	return b
}

func appendName(b []byte, name string) []byte {
	name = name[:min(len(name), maxNameLen)]
	return append(append(b, byte(len(name))), name...)
}

// Parse reads a datagram.
func Parse(b []byte) (Datagram, error) {
	if len(b) < fixedSize || binary.BigEndian.Uint16(b) != magic {
		return Datagram{}, ErrMalformed
	}
	d := Datagram{
		Kind:     Kind(b[2]),
		Flow:     binary.BigEndian.Uint64(b[3:]),
		Sequence: binary.BigEndian.Uint64(b[11:]),
		SentNs:   int64(binary.BigEndian.Uint64(b[19:])),
	}
	b = b[fixedSize:]
	var ok bool
	if d.Target, b, ok = cutName(b); !ok {
		return Datagram{}, ErrMalformed
	}
	if d.Service, _, ok = cutName(b); !ok {
		return Datagram{}, ErrMalformed
	}
	return d, nil
}

func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := int(b[0])
	return string(b[1 : 1+n]), b[1+n:], true
}
