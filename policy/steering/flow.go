// Package steering decides where the packets of a flow go: at which target a new flow opens, and
// which target holds a flow that the node has no record of. It uses no sockets and no clock.
package steering

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// FlowSize is the size of an encoded flow, in bytes.
const FlowSize = 12

// Flow identifies a flow by the two addresses that the caller sees: its own and that of the route.
type Flow struct {
	CallerIP    [4]byte
	CallerPort  uint16
	ServiceIP   [4]byte
	ServicePort uint16
}

// Caller returns the caller's address.
func (f Flow) Caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.CallerIP), f.CallerPort)
}

// Service returns the service address that the caller sends to.
func (f Flow) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.ServiceIP), f.ServicePort)
}

// Append appends the encoded flow to b.
func (f Flow) Append(b []byte) []byte {
	b = append(b, f.CallerIP[:]...)
	b = binary.BigEndian.AppendUint16(b, f.CallerPort)
	b = append(b, f.ServiceIP[:]...)
	return binary.BigEndian.AppendUint16(b, f.ServicePort)
}

// DecodeFlow decodes a flow of FlowSize bytes.
func DecodeFlow(b []byte) (Flow, error) {
	var f Flow
	if len(b) != FlowSize {
		return f, errors.Errorf("flow has %d bytes, want %d", len(b), FlowSize)
	}
	copy(f.CallerIP[:], b)
	f.CallerPort = binary.BigEndian.Uint16(b[4:])
	copy(f.ServiceIP[:], b[6:])
	f.ServicePort = binary.BigEndian.Uint16(b[10:])
	return f, nil
}

// Hash returns the flow's hash, the same at every node.
func (f Flow) Hash() uint64 {
	var b [FlowSize]byte
	return xxhash.Sum64(f.Append(b[:0]))
}

// String formats the flow as "caller>service", which identifies the flow in logs.
func (f Flow) String() string { return f.Caller().String() + ">" + f.Service().String() }
