// Package ident defines the identifiers that entries, agents and policy packages share.
package ident

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// ServiceID is the 64-bit hash of a service's "team/name". Zero stands for no service.
type ServiceID uint64

// NodeID is the 64-bit hash of a node's name. Zero stands for no node.
type NodeID uint64

// Incarnation is the start time of a process in microseconds since the epoch, so that a restarted
// process has a higher one.
type Incarnation uint64

// DataCentre is the name of a data centre, as written in settings.
type DataCentre string

// Caller is a caller's address in wire order: a 16-byte IPv6 or IPv4-mapped address, then the port,
// big endian.
type Caller [18]byte

// FlowKey identifies a flow: all datagrams from one caller address to one service.
type FlowKey struct {
	Service ServiceID
	Caller  Caller
}

// ServiceName is a team and the name of one of its services.
type ServiceName struct {
	Team string
	Name string
}

// NewNodeID returns the id of the node with the given name.
func NewNodeID(name string) NodeID { return NodeID(xxhash.Sum64String(name)) }

// String formats the id as 16 hexadecimal digits.
func (id NodeID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// String formats the id as 16 hexadecimal digits.
func (id ServiceID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ParseServiceName parses "team/name".
func ParseServiceName(s string) (ServiceName, error) {
	team, name, ok := strings.Cut(s, "/")
	if !ok || team == "" || name == "" || strings.Contains(name, "/") {
		return ServiceName{}, errors.Errorf("service %q: want team/name", s)
	}
	return ServiceName{Team: team, Name: name}, nil
}

// ID returns the service's id.
func (n ServiceName) ID() ServiceID { return ServiceID(xxhash.Sum64String(n.String())) }

// String returns "team/name".
func (n ServiceName) String() string { return n.Team + "/" + n.Name }

// CallerFrom converts an address. IPv4 addresses become IPv4-mapped; an IPv6 zone is dropped.
func CallerFrom(a netip.AddrPort) Caller {
	var c Caller
	ip := a.Addr().As16()
	copy(c[:16], ip[:])
	binary.BigEndian.PutUint16(c[16:], a.Port())
	return c
}

// AddrPort returns the caller's address, as IPv4 if it is IPv4-mapped.
func (c Caller) AddrPort() netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(c[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(c[16:]))
}

// String formats the caller as host:port.
func (c Caller) String() string { return c.AddrPort().String() }

// Hash returns the flow's 64-bit hash, the same at every node.
func (k FlowKey) Hash() uint64 {
	var b [8 + len(k.Caller)]byte
	binary.BigEndian.PutUint64(b[:8], uint64(k.Service))
	copy(b[8:], k.Caller[:])
	return xxhash.Sum64(b[:])
}
