// Package agent is the data plane beside one target. It owns flows, keeps the directory of the
// flows whose home it is, and forwards datagrams between entries, other agents and the target.
package agent

import (
	"context"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// FlowServer serves the flows that an agent owns: the target's UDP socket for a service of kind
// feed, the HTTP/3 server for one of kind request.
type FlowServer interface {
	// Deliver processes a caller's datagram. The payload is valid only during the call.
	Deliver(caller ident.Caller, payload []byte)
	// Drain returns when the work in progress has ended or the context ends.
	Drain(context.Context) error
	// HandOver passes the state that must outlive the process to another agent of the service,
	// after Drain. It returns that agent, or zero if there is nothing to hand over or no agent
	// accepts it.
	HandOver(context.Context) record.Successor
}

// ReturnFunc sends a datagram of a flow back to its caller.
type ReturnFunc func(caller ident.Caller, payload []byte) error
