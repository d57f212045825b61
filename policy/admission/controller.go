package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

// maxCheckInterval is the longest time between two checks of a priority that has no room all the
// while. Waiting flows are checked every holding.RetryInterval; a longer pause means that none waits.
const maxCheckInterval = 100 * time.Millisecond

// maxPause is the longest pause of the process, or delay of a packet, that may pass unnoticed. It is less
// than the 200 ms after which a caller sends the first copy. RunInterval is the interval at which a node
// records that it is running.
const (
	maxPause    = 150 * time.Millisecond
	RunInterval = 50 * time.Millisecond
)

// Controller holds what a node knows for its decisions: recent demand, and the copies of opening
// packets. It is lost with the process. Its methods are safe for concurrent use.
type Controller struct {
	cache classCache

	mu       sync.Mutex
	services map[string][]*class // by service, the highest priority first
	copies   copies
	lastRun  time.Duration // when the node has last recorded that it runs, 0 before the first time
	pausedAt time.Duration // end of the last pause
}

// New returns a controller without demand.
func New() *Controller {
	return &Controller{services: map[string][]*class{}, copies: copies{flows: map[steering.Flow]copyRecord{}}}
}

// Offer is an opening packet.
type Offer struct {
	Flow     steering.Flow
	Service  string
	Route    *routes.Route
	Copy     int           // number of the copy, 0 for the first packet
	Age      time.Duration // since the caller sent the first copy
	ValidFor time.Duration // after its arrival, until the caller sends the next copy
	Relayed  bool          // another node had the packet before
}

// RecordRunning records that the process runs. A node that was frozen refuses nothing until the attempts
// of that time have ended.
func (c *Controller) RecordRunning(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.lastRun > maxPause {
		c.pausedAt = now
	}
	c.lastRun = now
}

// Input returns the part of the decision's input that the offer and the controller give. It is the zero value if
// all routes that lead to the service have the same priority.
func (c *Controller) Input(now time.Duration, t *routes.Table, o Offer) Input {
	classes := c.cache.of(t, o.Service)
	if len(classes) < 2 {
		return Input{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	in := Input{
		Service: o.Service, Priority: o.Route.Priority, Classes: classes, Objective: o.Route.Objective, Timeout: o.Route.Timeout,
		Age:    o.Age,
		Unseen: now-c.lastRun <= maxPause && now-c.pausedAt >= AttemptTime && c.copies.unseen(now, &o),
		Demand: demandOf(now, c.services[o.Service], o.Route.Priority),
	}
	if s := c.class(o.Service, o.Route.Priority); s.lastChecked != 0 && now-s.lastChecked <= maxCheckInterval {
		in.FullFor = now - s.fullSince
	}
	return in
}

// RecordOffered records an opening packet that has arrived. isDemand is false for a flow that another
// node has counted before.
func (c *Controller) RecordOffered(now time.Duration, t *routes.Table, o Offer, isDemand bool) {
	if len(c.cache.of(t, o.Service)) < 2 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies.record(now, o.Flow, o.Copy) && isDemand {
		c.class(o.Service, o.Route.Priority).offered.add(now)
	}
}

// RecordRoom records whether a target had room for a flow.
func (c *Controller) RecordRoom(now time.Duration, in *Input) {
	if !in.Competes() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.class(in.Service, in.Priority)
	switch {
	case in.HasRoom:
		s.lastChecked = 0
		return
	case s.lastChecked == 0 || now-s.lastChecked > maxCheckInterval:
		s.fullSince = now
	}
	s.lastChecked = now
}

// RecordAdmitted records a flow that got room.
func (c *Controller) RecordAdmitted(now time.Duration, flow steering.Flow, in *Input) {
	if !in.Competes() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies.recordAdmitted(flow) {
		c.class(in.Service, in.Priority).admitted.add(now)
	}
}

// RecordPassed records that an opening packet was sent to another node.
func (c *Controller) RecordPassed(flow steering.Flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies.recordPassed(flow)
}

// RecordRequest records a request on an open flow. Such requests need room too, and aren't decided
// here.
func (c *Controller) RecordRequest(now time.Duration, t *routes.Table, service string, flow steering.Flow) {
	if len(c.cache.of(t, service)) < 2 {
		return
	}
	route, ok := t.Lookup(flow.Service())
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.class(service, route.Priority)
	s.offered.add(now)
	s.admitted.add(now)
}

// class returns the state of a priority of a service.
func (c *Controller) class(service string, priority int) *class {
	classes := c.services[service]
	at, ok := slices.BinarySearchFunc(classes, priority, func(s *class, p int) int { return cmp.Compare(s.priority, p) })
	if !ok {
		classes = slices.Insert(classes, at, &class{priority: priority})
		c.services[service] = classes
	}
	return classes[at]
}
