// Package flow decides what an agent does with each datagram: it holds the flows that the agent owns and the directory of those it is home
// of. It has no clock and no socket: time and messages are arguments, decisions and messages are results.
package flow

import (
	"time"

	"lacewinglever.dev/policy/ident"
)

// Limits and timeouts.
const (
	// MaxHops is how many agents a datagram may pass. It ends loops between agents whose directories contradict each other.
	MaxHops = 4
	// homeHops is from where on an agent acts as home, so that differing views cannot pass a datagram on for ever.
	homeHops = 2

	SettlingWindow = 10 * time.Second
	// pauseLimit is the time without Tick after which this agent may have been taken for dead, and its flows opened elsewhere.
	pauseLimit     = time.Second
	redirectTTL    = 2 * time.Second
	slotReuseDelay = 10 * time.Second

	claimSends    = 3
	claimInterval = 80 * time.Millisecond
	claimTimeout  = 250 * time.Millisecond
	// claimAll is the largest pool in which a claim goes to every member.
	claimAll     = 64
	claimRandom  = 8
	viewHistory  = 4
	maxClaims    = 256     // per shard
	maxHeld      = 8       // datagrams per claim
	maxHeldBytes = 1 << 16 // per shard

	// verifyAfter is after how many idle timeouts the owner of an unused directory entry is asked whether it still owns the flow.
	verifyAfter = 4

	// batchFlows keeps a registration below 1,200 bytes, which every link carries unfragmented.
	batchFlows     = 34
	batchDelay     = 100 * time.Millisecond
	batchRetry     = 200 * time.Millisecond
	batchSends     = 6
	maxOutstanding = 64 // batches that are not acknowledged
)

// Action is what becomes of a datagram.
type Action uint8

// Actions.
const (
	Drop    Action = iota
	Deliver        // to the local target, from the address of Slot
	Forward        // to the agent To
	Hold           // until a claim ends
)

// Reason tells why an action was chosen, for counters and the decision log.
type Reason uint8

// Reasons. Those from WrongDestination on are reasons of drops.
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
	reasons
)

var reasonNames = [reasons]string{
	"owned", "opened", "in directory", "redirected to claimant", "to home", "placed", "claiming",
	"wrong destination", "too many hops", "no eligible target", "flow table full", "too many held datagrams",
}

// String returns the reason as in counters and logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons, for the registration of counters.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Datagram is an encapsulated datagram as it arrived. Payload is copied if the datagram is held.
type Datagram struct {
	Service       ident.ServiceID
	Sender        ident.NodeID
	Destination   ident.NodeID
	Caller        ident.Caller
	Entry         ident.NodeID // that received it from the caller
	View          uint64       // digest of the sender's view
	Hops          uint8
	Placed        bool // the sender chose this agent as owner
	NamesReceiver bool // the payload itself names this agent, as a connection id does
	Payload       []byte
}

// Decision is the outcome for one datagram. For Forward, the datagram goes to To with Hops and Placed.
type Decision struct {
	Action Action
	Reason Reason
	Placed bool
	Hops   uint8
	Slot   uint32
	To     ident.NodeID
}

// Released is a held datagram with its decision.
type Released struct {
	Datagram Datagram
	Decision Decision
}

// Claim asks whether the receiver knows the flow's owner.
type Claim struct {
	ID     uint64
	Caller ident.Caller
}

// ClaimReply answers a Claim. Owner is 0 if none is known.
type ClaimReply struct {
	ID     uint64
	Caller ident.Caller
	Owner  ident.NodeID
}

// Owner tells who owns a flow. Node is 0 if the sender no longer owns it.
type Owner struct {
	Caller ident.Caller
	Node   ident.NodeID
}

// Register tells a home the owners of flows. View 0 marks a ruling: two agents own the flow, and the home's directory decides for Node.
// Without flows and Last it asks the receiver to register all its flows with the sender.
type Register struct {
	Batch    uint64
	View     uint64
	Flows    []Owner
	Complete bool // the sender has registered everything with this home
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

// Effects collects what has to be sent besides the decision. The caller empties it between calls and may reuse it.
type Effects struct {
	Outgoing []Outgoing
	Released []Released
}

// Reset empties e and keeps its memory.
func (e *Effects) Reset() {
	e.Outgoing = e.Outgoing[:0]
	e.Released = e.Released[:0]
}

func (e *Effects) send(to ident.NodeID, m Message) { e.Outgoing = append(e.Outgoing, Outgoing{to, m}) }

// Placer chooses the owner of a new flow. It returns false if no target is eligible.
type Placer interface {
	Place(own int) (ident.NodeID, bool)
}
