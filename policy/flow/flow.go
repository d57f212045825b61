// Package flow decides what an agent does with each datagram. It holds the flows that the agent
// owns and the directory of the flows whose home it is: the owner of each. The owner of a flow is
// the agent whose target serves it; its home is the member of the pool that package view assigns to
// it. The package has no clock and no socket: time and messages are arguments, decisions and
// messages are results.
package flow

import (
	"time"

	"lacewinglever.dev/policy/ident"
)

// Limits and timeouts.
const (
	// MaxHops is the number of agents that a datagram may pass. It ends loops between agents whose
	// directories contradict each other.
	MaxHops = 4
	// maxHopsToHome is the hop count from which an agent handles a datagram as if it were the home.
	// Without it, agents with differing views could forward a datagram to each other's home
	// endlessly.
	maxHopsToHome = 2

	// SettlingWindow is the time after a change of the pool's membership, a start or a pause of
	// this process in which a flow that is not in the directory is placed only after a claim.
	SettlingWindow = 10 * time.Second
	// pauseLimit is the time without Tick after which the other agents may have declared this agent
	// dead and opened its flows elsewhere.
	pauseLimit = time.Second
	// redirectTTL is the lifetime of a redirect to an agent that is claiming a flow.
	redirectTTL = 2 * time.Second
	// slotReuseDelay is how long late packets of the target may still arrive at the slot of a flow
	// that ended.
	slotReuseDelay = 10 * time.Second

	// A claim is sent at most maxClaimSends times, at claimInterval, and ends after claimTimeout.
	maxClaimSends = 3
	claimInterval = 80 * time.Millisecond
	claimTimeout  = 250 * time.Millisecond
	// maxFullClaimPool is the largest pool in which a claim goes to every member.
	maxFullClaimPool = 64
	// randomClaimRecipients is how many random members receive a claim in a larger pool, besides
	// the present and former homes of the flow.
	randomClaimRecipients = 8
	// maxPastViews is the number of earlier views that are kept, for the former homes.
	maxPastViews         = 4
	maxClaimsPerShard    = 256
	maxHeldPerClaim      = 8 // datagrams
	maxHeldBytesPerShard = 1 << 16

	// verifyAfterIdleTimeouts is the age of an unused directory entry, in idle timeouts, at which
	// it is verified with its owner.
	verifyAfterIdleTimeouts = 4

	// maxBatchFlows keeps a registration below 1,200 bytes, which every link carries unfragmented.
	maxBatchFlows = 34
	// maxBatchDelay is how long a batch that is not full waits for more flows.
	maxBatchDelay = 100 * time.Millisecond
	// An unacknowledged batch is sent maxBatchSends times, at batchRetryInterval.
	batchRetryInterval       = 200 * time.Millisecond
	maxBatchSends            = 6
	maxUnacknowledgedBatches = 64
)

// Action is what an agent does with a datagram.
type Action uint8

// Actions on a datagram.
const (
	Drop    Action = iota
	Deliver        // to the local target, from the address of Slot
	Forward        // to the agent To
	Hold           // until the claim of its flow ends
)

// Reason is why an action was taken, for counters and the decision log.
type Reason uint8

// Reasons of decisions. Those from WrongDestination on are reasons for drops.
const (
	Owned Reason = iota
	Opened
	InDirectory
	Redirected
	ToHome
	Placed
	Claiming
	WrongDestination
	TooManyHops
	NoTarget
	TableFull
	HoldQueueFull
	reasonCount
)

var reasonNames = [reasonCount]string{
	"owned", "opened", "in directory", "redirected to claimant", "to home", "placed", "claiming",
	"wrong destination", "too many hops", "no eligible target", "flow table full", "too many held datagrams",
}

// String returns the reason as counters and logs show it.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons, for the registration of counters.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Datagram is an encapsulated datagram as it was received. Payload is copied if the datagram is
// held.
type Datagram struct {
	Service       ident.ServiceID
	Sender        ident.NodeID
	Destination   ident.NodeID
	Caller        ident.Caller
	Entry         ident.NodeID // the entry that received it from the caller
	View          uint64       // digest of the sender's view
	Hops          uint8
	Placed        bool // the sender chose this agent as owner
	NamesReceiver bool // the payload itself names this agent, as a connection ID does
	Payload       []byte
}

// Decision is what happens to one datagram. With Forward, the datagram goes to To with Hops and
// Placed.
type Decision struct {
	Action Action
	Reason Reason
	Placed bool
	Hops   uint8
	Slot   uint32
	To     ident.NodeID
}

// Released is a datagram that is no longer held, with its decision.
type Released struct {
	Datagram Datagram
	Decision Decision
}

// Claim queries the receiver for the owner of a flow that the sender is about to place or to
// verify.
type Claim struct {
	ID     uint64
	Caller ident.Caller
}

// ClaimReply answers a Claim. Owner is 0 if the sender of the reply has no owner for the flow.
type ClaimReply struct {
	ID     uint64
	Caller ident.Caller
	Owner  ident.NodeID
}

// Owner names the owner of a flow. Node is 0 if the sender no longer owns it.
type Owner struct {
	Caller ident.Caller
	Node   ident.NodeID
}

// Register carries the owners of flows to a home. With View 0 it resolves a conflict: two agents
// own the flow, and the directory of its home decides for Node. With neither Flows nor Complete it
// requests that the receiver registers all its flows with the sender.
type Register struct {
	Batch    uint64
	View     uint64
	Flows    []Owner
	Complete bool // all flows of the sender are registered with this home
}

// RegisterAck acknowledges a Register.
type RegisterAck struct {
	Batch uint64
	View  uint64
}

// Message is a control message between agents of a pool. Exactly one of the pointers is set.
type Message struct {
	Claim      *Claim
	ClaimReply *ClaimReply
	Register   *Register
	Ack        *RegisterAck
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To ident.NodeID
	Message
}

// Effects collects the messages to send and the datagrams released besides the decision. The caller
// empties it between calls and may reuse it.
type Effects struct {
	Outgoing []Outgoing
	Released []Released
}

// Reset empties e but keeps its memory.
func (e *Effects) Reset() {
	e.Outgoing = e.Outgoing[:0]
	e.Released = e.Released[:0]
}

func (e *Effects) send(to ident.NodeID, m Message) { e.Outgoing = append(e.Outgoing, Outgoing{to, m}) }

// Placer chooses the owner of a new flow. own is the number of flows that this agent owns. Place
// returns false if no target is eligible.
type Placer interface {
	Place(own int) (ident.NodeID, bool)
}
