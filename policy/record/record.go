// Package record defines the records that nodes exchange: versioned descriptions of services, nodes
// and lost scopes.
package record

import (
	"cmp"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Version orders the records of one key by Major, then Minor, then Rank. It only increases.
type Version struct {
	Major uint64 // revision number, incarnation or time of issue
	Minor uint64 // sequence or issuer
	Rank  uint32 // rank of the state
}

// Compare returns -1, 0 or +1.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Major, w.Major), cmp.Compare(v.Minor, w.Minor), cmp.Compare(v.Rank, w.Rank))
}

// State is the state of a node. Within one incarnation and sequence, a higher state overrides a
// lower one.
type State uint8

// States of a node. The values are those of the protocol.
const (
	Joining  State = iota + 1 // announced, not yet part of rendezvous hashing
	Ready                     // part of rendezvous hashing, takes new work
	Draining                  // part of rendezvous hashing, takes no new work
	Dead                      // silent, declared by a watcher
	Left                      // ended by itself
)

// String returns the name of the state as it appears in logs and status output.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unspecified"
}

// Node describes an entry or an agent.
type Node struct {
	ID          ident.NodeID
	Name        string
	Entry       bool
	DataCentre  ident.DataCentre
	Rack        string
	UDPAddress  string // advertised host:port
	RPCAddress  string // advertised host:port
	Service     ident.ServiceID
	ServiceName ident.ServiceName
	Incarnation ident.Incarnation
	Sequence    uint64
	State       State
	Weight      float64   // of the target, relative to others of the pool
	Ended       time.Time // when the node left or was declared dead; zero if it is running or its end was not recorded
	Successor   Successor // of an agent that left
}

// Successor identifies the process that admits the permits of an agent that left. The zero value
// stands for none.
type Successor struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
}

// Alive reports whether the node is neither dead nor left.
func (n *Node) Alive() bool { return n.State == Joining || n.State == Ready || n.State == Draining }

// Timing of the removal of records of ended nodes.
const (
	// Retention is longer than any expected partition, so that such a node counts as alive in no
	// part of the fleet.
	Retention = time.Hour
	// ExpiryStep aligns removals to the clock. Nodes that remove a record at different times have
	// different digests until then, and exchange buckets in every Sync.
	ExpiryStep = time.Minute
)

// Expired reports whether the node ended longer than Retention ago.
func (n *Node) Expired(now time.Time) bool {
	return !n.Alive() && !n.Ended.IsZero() && now.Truncate(ExpiryStep).Sub(n.Ended) > Retention
}

// Revision is an accepted revision of a service's settings.
type Revision struct {
	Service       ident.ServiceName
	Number        uint64
	Spec          []byte // YAML as the operator wrote it
	Writer        string
	Accepted      time.Time
	SourceVersion uint64 // object version of the spec from which it was made
	WriteID       string
	Deleted       bool
}

// ScopeKind is the kind of a group of nodes that can fail together.
type ScopeKind string

// Kinds of scope.
const (
	ScopeRack       ScopeKind = "rack"
	ScopeDataCentre ScopeKind = "data_centre"
)

// Scope states that a whole rack or data centre is down, or up again.
type Scope struct {
	Kind   ScopeKind
	Name   string
	Down   bool
	Issued time.Time
	Issuer ident.NodeID
}

// Record is the unit of exchange between nodes. Exactly one of Service, Node and Scope is set.
type Record struct {
	Key     string
	Version Version
	Service *Revision
	Node    *Node
	Scope   *Scope
}

// ForNode returns the record of n, versioned by its incarnation, sequence and state.
func ForNode(n Node) Record {
	return Record{
		Key:     "node/" + n.ID.String(),
		Version: Version{Major: uint64(n.Incarnation), Minor: n.Sequence, Rank: uint32(n.State)},
		Node:    &n,
	}
}

// ForRevision returns the record of r, versioned by its number.
func ForRevision(r Revision) Record {
	return Record{
		Key:     "service/" + r.Service.String(),
		Version: Version{Major: r.Number},
		Service: &r,
	}
}

// ForScope returns the record of s, versioned by the time of issue and the issuer.
func ForScope(s Scope) Record {
	return Record{
		Key:     "scope/" + string(s.Kind) + "/" + s.Name,
		Version: Version{Major: uint64(s.Issued.UnixMilli()), Minor: uint64(s.Issuer)},
		Scope:   &s,
	}
}
