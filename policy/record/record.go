// Package record defines the units of dissemination: versioned records about services, nodes and lost scopes.
package record

import (
	"cmp"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Version orders the records of one key: by Major, then Minor, then Rank. It only increases.
type Version struct {
	Major uint64 // revision number, incarnation or time issued
	Minor uint64 // sequence or issuer
	Rank  uint32 // rank of the state
}

// Compare returns -1, 0 or +1.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Major, w.Major), cmp.Compare(v.Minor, w.Minor), cmp.Compare(v.Rank, w.Rank))
}

// State is the state of a node. A higher state wins over a lower one of the same incarnation and sequence.
type State uint8

// States of a node. The values are those of the protocol.
const (
	Joining  State = iota + 1 // announced, not hashed
	Ready                     // hashed, takes new work
	Draining                  // hashed, takes no new work
	Dead                      // silent, as a watcher found
	Left                      // ended by itself
)

// String returns the state's name as in logs and status.
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
	Ended       time.Time // when the node left or was found dead; zero while it lives, and from a node that doesn't tell
	Successor   Successor // of an agent that left
}

// Successor names the process that admits the permits of an agent that left. The zero value means that there is none.
type Successor struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
}

// Alive tells whether the node is neither dead nor left.
func (n *Node) Alive() bool { return n.State == Joining || n.State == Ready || n.State == Draining }

// Times of the removal of records of nodes that have ended.
const (
	// Retention is longer than any partition that is expected, so that no part of the fleet still holds such a node to be alive.
	Retention = time.Hour
	// ExpiryStep aligns removals to the clock. Nodes that remove a record at different times hold different digests until then, and
	// exchange buckets in every Sync.
	ExpiryStep = time.Minute
)

// Expired tells whether the node ended longer than Retention ago.
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
	SourceVersion uint64 // object version of the spec it came from
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

// Scope tells that a whole rack or data centre is down or back.
type Scope struct {
	Kind   ScopeKind
	Name   string
	Down   bool
	Issued time.Time
	Issuer ident.NodeID
}

// Record is one unit of dissemination. Exactly one of Service, Node and Scope is set.
type Record struct {
	Key     string
	Version Version
	Service *Revision
	Node    *Node
	Scope   *Scope
}

// ForNode wraps n, with the version that its incarnation, sequence and state give.
func ForNode(n Node) Record {
	return Record{
		Key:     "node/" + n.ID.String(),
		Version: Version{Major: uint64(n.Incarnation), Minor: n.Sequence, Rank: uint32(n.State)},
		Node:    &n,
	}
}

// ForRevision wraps r, versioned by its number.
func ForRevision(r Revision) Record {
	return Record{
		Key:     "service/" + r.Service.String(),
		Version: Version{Major: r.Number},
		Service: &r,
	}
}

// ForScope wraps s, versioned by the time of issue and the issuer.
func ForScope(s Scope) Record {
	return Record{
		Key:     "scope/" + string(s.Kind) + "/" + s.Name,
		Version: Version{Major: uint64(s.Issued.UnixMilli()), Minor: uint64(s.Issuer)},
		Scope:   &s,
	}
}
