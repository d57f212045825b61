// Package agent is the data plane beside one target: it owns flows, is the directory of those it is home of, and passes
// datagrams between entries, other agents and the target.
package agent

import (
	"context"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// FlowServer serves the flows that an agent owns: the target's UDP socket for feeds, the HTTP/3 server for requests.
type FlowServer interface {
	// Deliver passes on a caller's datagram. The payload is valid only during the call.
	Deliver(caller ident.Caller, payload []byte)
	// Drain returns when the work in progress has ended or the context ends.
	Drain(context.Context) error
	// HandOver passes what has to outlive the process to another agent of the service, after Drain. It returns that agent, zero if there is
	// nothing to pass on or nobody to take it.
	HandOver(context.Context) record.Successor
}

// ReturnFunc sends a datagram of a flow back to its caller.
type ReturnFunc func(caller ident.Caller, payload []byte) error
