package admission

import (
	"time"

	"lacewinglever.dev/policy/steering"
)

const (
	// maxCopies bounds the flows of which the copies are recorded, at about 100 bytes each. A flow
	// that isn't recorded is not refused.
	maxCopies = 4096
	// copiesExpireAfter is the time after its last copy at which a flow is forgotten: the caller's
	// attempt has ended.
	copiesExpireAfter = AttemptTime
)

// copies records which copies of opening packets this node has kept, so that a refusal is true: only
// a node that has received every copy of a flow so far, and has passed on none, knows that no target
// has seen the flow. Losing the record means that flows aren't refused.
//
// A copy may have been on its way for longer than it seems: a frozen node, this one or the one before
// it, reads it when another entry has long since opened the flow by a later copy. A reset would then
// break an open flow.
type copies struct {
	flows     map[steering.Flow]copyRecord
	lastSweep time.Duration
}

type copyRecord struct {
	received int // copies, without a gap from the first; -1 if others were received elsewhere
	passed   bool
	admitted bool
	first    time.Duration // arrival of the first copy
	last     time.Duration // arrival of the last copy
}

// record records that a copy has arrived, 0 being the first packet. It returns false if a copy of the
// flow was recorded before.
func (c *copies) record(now time.Duration, flow steering.Flow, index int) bool {
	if now-c.lastSweep > copiesExpireAfter || len(c.flows) >= maxCopies {
		c.lastSweep = now
		for f, r := range c.flows {
			if now-r.last > copiesExpireAfter {
				delete(c.flows, f)
			}
		}
	}
	r, ok := c.flows[flow]
	switch {
	case !ok && index == 0:
		r = copyRecord{received: 1, first: now}
	case ok && index <= r.received:
		r.received = max(r.received, index+1)
	default:
		r.received = -1
	}
	r.last = now
	if ok || len(c.flows) < maxCopies {
		c.flows[flow] = r
	}
	return !ok
}

// recordPassed records that a copy was passed on to a target or another node.
func (c *copies) recordPassed(flow steering.Flow) {
	if r, ok := c.flows[flow]; ok {
		r.passed = true
		c.flows[flow] = r
	}
}

// recordAdmitted records that a copy got room. It returns false if an earlier one did.
func (c *copies) recordAdmitted(flow steering.Flow) bool {
	r, ok := c.flows[flow]
	if !ok {
		return true
	}
	first := !r.admitted
	r.passed, r.admitted = true, true
	c.flows[flow] = r
	return first
}

// unseen reports whether no target can have seen the flow of an offer.
func (c *copies) unseen(now time.Duration, o *Offer) bool {
	r, ok := c.flows[o.Flow]
	return ok && !r.passed && o.Copy < r.received &&
		(o.Copy > 0 || !o.Relayed) && // the first packet alone doesn't show for how long another node had it
		now-r.first >= o.Age-maxPause && // the copies arrived as far apart as the caller sent them
		now-r.last+maxPause <= o.ValidFor // the next one isn't under way
}
