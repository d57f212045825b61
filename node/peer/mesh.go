// Package peer implements a node's part in membership and dissemination: heartbeats, gossip and
// anti-entropy.
package peer

import (
	"time"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Mesh is the interface of a node's peer to the packages entry, agent, request and controller. Its
// methods are safe for concurrent use.
type Mesh interface {
	// Self returns the node's own record.
	Self() record.Node
	// SetState changes the node's own state and disseminates it.
	SetState(record.State)
	// Leave disseminates that the node has ended, and the process that admits its permits from then
	// on.
	Leave(record.Successor)
	// SetLoadFunc sets the function that returns the load for each heartbeat.
	SetLoadFunc(func() *lacewingv1.Load)

	// Node returns the newest record of a node, also of a dead one.
	Node(ident.NodeID) (record.Node, bool)
	// Entries returns the live entries, those of the node's own data centre first.
	Entries() []record.Node
	// Pool returns the agents of the service that are joining, ready or draining and in no scope
	// that is down.
	Pool(ident.ServiceID) []record.Node
	// Services returns the newest accepted revision of every service, without deleted services.
	Services() []record.Revision
	// Revision returns the newest accepted revision of a service, which may be a deletion.
	Revision(ident.ServiceID) (record.Revision, bool)

	// SinceLastSeen returns the time since the last datagram from a node arrived here.
	SinceLastSeen(ident.NodeID) (time.Duration, bool)
	// IsSuspect reports whether no datagram from a node that is watched here arrived for the
	// suspicion timeout.
	IsSuspect(ident.NodeID) bool
	// Load returns the newest load report of an agent and its age.
	Load(ident.NodeID) (*lacewingv1.Load, time.Duration, bool)
	// MarkSeen records that a datagram from a node arrived on the data path.
	MarkSeen(ident.NodeID)

	// Publish merges a record that originates here and disseminates it. It returns false if a newer
	// one is present.
	Publish(record.Record) bool
	// Subscribe adds a function that is called after each change of a record or of a node's
	// suspicion. It must not block.
	Subscribe(func(Change))

	// SendControl sends a control message to a node.
	SendControl(ident.NodeID, *lacewingv1.Control) error
	// HandleControl adds a function for control messages that the peer does not process itself:
	// claims, registrations, applied queries.
	HandleControl(func(*lacewingv1.Control))
}

// Change describes a change to subscribers. Record is nil when only the suspicion of Node changed.
type Change struct {
	Record  *record.Record
	Node    ident.NodeID
	Suspect bool
}
