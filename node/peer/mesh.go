// Package peer runs a node's part in membership and dissemination: heartbeats, gossip and anti-entropy.
package peer

import (
	"time"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Mesh is what the packages entry, agent, request and duty use of a node's peer. Its methods may be called from any goroutine.
type Mesh interface {
	// Self returns the node's own record.
	Self() record.Node
	// SetState changes the own state and announces it.
	SetState(record.State)
	// Leave announces that the node ends, and who admits its permits from now on.
	Leave(record.Successor)
	// SetLoadFunc sets the function that is called for the load in each heartbeat.
	SetLoadFunc(func() *lacewingv1.Load)

	// Node returns what is known of a node, dead ones included.
	Node(ident.NodeID) (record.Node, bool)
	// Entries returns the live entries, those of the own data centre first.
	Entries() []record.Node
	// Pool returns the service's agents that are joining, ready or draining and not in a scope that is down.
	Pool(ident.ServiceID) []record.Node
	// Services returns the newest accepted revision of every service that is known, deleted ones left out.
	Services() []record.Revision
	// Revision returns the newest accepted revision of a service.
	Revision(ident.ServiceID) (record.Revision, bool)

	// SinceLastSeen returns how long ago the last datagram of a node arrived here.
	SinceLastSeen(ident.NodeID) (time.Duration, bool)
	// IsSuspect tells whether a node that should be heard here has been silent for longer than the suspicion timeout.
	IsSuspect(ident.NodeID) bool
	// Load returns the newest load report of an agent and its age.
	Load(ident.NodeID) (*lacewingv1.Load, time.Duration, bool)
	// MarkSeen notes that a datagram of a node arrived on the data path.
	MarkSeen(ident.NodeID)

	// Publish merges a record that originates here and disseminates it. It returns false if a newer one is known.
	Publish(record.Record) bool
	// Subscribe adds a function that is called after each change of a record or of a node's suspicion. It must not block.
	Subscribe(func(Change))

	// SendControl sends a control message to a node.
	SendControl(ident.NodeID, *lacewingv1.Control) error
	// HandleControl adds a function for control messages that the peer doesn't consume: claims, registrations, applied queries.
	HandleControl(func(*lacewingv1.Control))
}

// Change tells subscribers what changed. Record is nil when only the suspicion of Node changed.
type Change struct {
	Record  *record.Record
	Node    ident.NodeID
	Suspect bool
}
