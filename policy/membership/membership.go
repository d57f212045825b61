// Package membership derives from heartbeats which nodes and scopes are suspect, dead or back.
package membership

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/rendezvous"
)

// Timing of failure detection.
const (
	HeartbeatInterval = 250 * time.Millisecond
	SuspectAfter      = time.Second
	DeadAfter         = 3 * time.Second
	// NeverSeenDeadAfter replaces DeadAfter for a node from which this watcher has never received a
	// heartbeat. The node may not have been notified yet that it is watched from here.
	NeverSeenDeadAfter = 10 * time.Second
	// MaxPause is the longest time between two ticks in which the watcher counts as running. After
	// a longer one, silence is counted anew, because it was the watcher that didn't receive.
	MaxPause = 750 * time.Millisecond
	// scopeRefutationTime is how long a scope that was refuted isn't declared down again. Its
	// silent nodes are declared dead one by one meanwhile.
	scopeRefutationTime = 30 * time.Second
)

// Sizes of the watch groups.
const (
	Watchers          = 3
	Representatives   = 8 // entries of a data centre that are watched from outside of it
	minSilentForScope = 2 // fewer silent nodes are declared dead one by one
)

// ScopeName identifies a rack or a data centre.
type ScopeName struct {
	Kind record.ScopeKind
	Name string
}

// RackOf returns the rack of a node. It returns false if the node's settings give none.
func RackOf(n *record.Node) (ScopeName, bool) {
	return ScopeName{record.ScopeRack, string(n.DataCentre) + "/" + n.Rack}, n.Rack != ""
}

// DataCentreOf returns the data centre of a node as a scope.
func DataCentreOf(n *record.Node) ScopeName {
	return ScopeName{record.ScopeDataCentre, string(n.DataCentre)}
}

// Watched is a node whose heartbeats are expected here.
type Watched struct {
	Node record.Node
	// SuspectOnly nodes are never declared dead here: members of the own pool, and representatives
	// of other data centres.
	SuspectOnly bool
}

// EventKind is the kind of an event.
type EventKind int

// Kinds of event.
const (
	Suspected EventKind = iota + 1 // Node is silent
	Recovered                      // Node sends heartbeats again
	Died                           // Node is to be marked dead
	ScopeDown                      // Scope is to be marked down
	ScopeUp                        // Scope is to be marked up again
)

// Event is one result of a tick.
type Event struct {
	Kind  EventKind
	Node  ident.NodeID
	Scope ScopeName
}

type watch struct {
	Watched
	heartbeatSeen bool      // since the watch began
	silenceStart  time.Time // time of the last heartbeat, or from which silence is counted anew
	suspect       bool
	declaredDead  bool // by this watcher
}

type scope struct {
	down         bool
	refutedUntil time.Time
}

// Tracker is the state of one watcher. It is not safe for concurrent use.
type Tracker struct {
	self     record.Node
	watches  map[ident.NodeID]*watch
	order    []ident.NodeID
	scopes   map[ScopeName]*scope
	lastTick time.Time
}

// NewTracker returns a tracker that watches no nodes. Of self, only the id and the data centre are
// used.
func NewTracker(self record.Node) *Tracker {
	return &Tracker{self: self, watches: map[ident.NodeID]*watch{}, scopes: map[ScopeName]*scope{}}
}

// Watch replaces the set of watched nodes and returns those that are new. The state of the others
// is kept, unless their process was restarted.
func (t *Tracker) Watch(now time.Time, nodes []Watched) []record.Node {
	next := make(map[ident.NodeID]*watch, len(nodes))
	t.order = t.order[:0]
	var added []record.Node
	for _, n := range nodes {
		if n.Node.ID == t.self.ID || next[n.Node.ID] != nil {
			continue
		}
		w := t.watches[n.Node.ID]
		if w == nil || w.Node.Incarnation != n.Node.Incarnation ||
			w.declaredDead && n.Node.Alive() && n.Node.Sequence > w.Node.Sequence {
			w = &watch{silenceStart: now}
			added = append(added, n.Node)
		}
		w.Watched = n
		next[n.Node.ID] = w
		t.order = append(t.order, n.Node.ID)
	}
	t.watches = next
	return added
}

// RecordHeartbeat records that a datagram of a node arrived. Times may come out of order.
func (t *Tracker) RecordHeartbeat(id ident.NodeID, at time.Time) {
	w := t.watches[id]
	if w == nil {
		return
	}
	if at.After(w.silenceStart) {
		w.silenceStart = at
		w.heartbeatSeen = true
		w.declaredDead = false
	}
}

// Suspect reports whether a watched node had been silent for SuspectAfter at the last tick.
func (t *Tracker) Suspect(id ident.NodeID) bool {
	w := t.watches[id]
	return w != nil && w.suspect
}

// Suspects returns the number of suspect nodes.
func (t *Tracker) Suspects() int {
	n := 0
	for _, w := range t.watches {
		if w.suspect {
			n++
		}
	}
	return n
}

// SetScope sets the state of a scope from its newest record. If the record marks a scope as up that
// is still down here, its loss counts as refuted.
func (t *Tracker) SetScope(now time.Time, name ScopeName, down bool) {
	s := t.scope(name)
	if s.down && !down {
		s.refutedUntil = now.Add(scopeRefutationTime)
		t.restartSilence(now, name)
	}
	s.down = down
}

func (t *Tracker) scope(name ScopeName) *scope {
	s := t.scopes[name]
	if s == nil {
		s = &scope{}
		t.scopes[name] = s
	}
	return s
}

// restartSilence counts the silence of the scope's nodes anew.
func (t *Tracker) restartSilence(now time.Time, name ScopeName) {
	for _, w := range t.watches {
		if isInScope(&w.Node, name) && now.After(w.silenceStart) {
			w.silenceStart = now
		}
	}
}

func isInScope(n *record.Node, name ScopeName) bool {
	if rack, ok := RackOf(n); ok && rack == name {
		return true
	}
	return DataCentreOf(n) == name
}

// Tick judges the silence of every watched node. Call it more often than MaxPause.
func (t *Tracker) Tick(now time.Time) []Event {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > MaxPause
	t.lastTick = now
	if paused {
		for _, w := range t.watches {
			w.silenceStart = now
		}
	}
	events := t.suspectEvents(now)
	events = t.scopeEvents(now, events)
	return t.deathEvents(now, events)
}

func (t *Tracker) suspectEvents(now time.Time) []Event {
	var events []Event
	for _, id := range t.order {
		w := t.watches[id]
		suspect := now.Sub(w.silenceStart) >= SuspectAfter
		switch {
		case suspect && !w.suspect:
			events = append(events, Event{Kind: Suspected, Node: id})
		case !suspect && w.suspect && w.heartbeatSeen:
			events = append(events, Event{Kind: Recovered, Node: id})
		case !suspect && w.suspect:
			continue // silence is counted anew, but no heartbeat has arrived
		}
		w.suspect = suspect
	}
	return events
}

// scopeEvents declares a scope down when a node's silence reaches its limit while at least half of
// the scope's watched nodes, and at least minSilentForScope, are silent. It declares the scope up
// when fewer than half are silent. A data centre is judged only by watchers outside of it: silence
// in their own could be their own fault.
func (t *Tracker) scopeEvents(now time.Time, events []Event) []Event {
	type count struct{ watched, silent, expired int }
	counts := map[ScopeName]*count{}
	var names []ScopeName
	for _, id := range t.order {
		w := t.watches[id]
		for _, name := range t.judgedScopes(&w.Node) {
			c := counts[name]
			if c == nil {
				c = &count{}
				counts[name] = c
				names = append(names, name)
			}
			c.watched++
			if !w.declaredDead && now.Sub(w.silenceStart) >= SuspectAfter && w.heartbeatSeen {
				c.silent++
			}
			if t.isDeadBySilence(now, w) && w.heartbeatSeen {
				c.expired++
			}
		}
	}
	for _, name := range names {
		c, s := counts[name], t.scope(name)
		lost := c.silent >= minSilentForScope && 2*c.silent >= c.watched
		switch {
		case !s.down && lost && c.expired > 0 && now.After(s.refutedUntil):
			s.down = true
			events = append(events, Event{Kind: ScopeDown, Scope: name})
		case s.down && t.majorityLive(now, name):
			s.down = false
			t.restartSilence(now, name)
			events = append(events, Event{Kind: ScopeUp, Scope: name})
		}
	}
	return events
}

// majorityLive reports whether more than half of the scope's watched nodes sent a heartbeat within
// SuspectAfter.
func (t *Tracker) majorityLive(now time.Time, name ScopeName) bool {
	live, all := 0, 0
	for _, w := range t.watches {
		if !isInScope(&w.Node, name) {
			continue
		}
		all++
		if w.heartbeatSeen && now.Sub(w.silenceStart) < SuspectAfter && !w.suspect {
			live++
		}
	}
	return 2*live > all
}

func (t *Tracker) judgedScopes(n *record.Node) []ScopeName {
	var names []ScopeName
	if rack, ok := RackOf(n); ok && !n.Entry {
		names = append(names, rack)
	}
	if n.DataCentre != t.self.DataCentre {
		names = append(names, DataCentreOf(n))
	}
	return names
}

func (t *Tracker) isDeadBySilence(now time.Time, w *watch) bool {
	limit := DeadAfter
	if !w.heartbeatSeen {
		limit = NeverSeenDeadAfter
	}
	return !w.declaredDead && now.Sub(w.silenceStart) >= limit
}

func (t *Tracker) deathEvents(now time.Time, events []Event) []Event {
	for _, id := range t.order {
		w := t.watches[id]
		if w.SuspectOnly || !t.isDeadBySilence(now, w) || t.isInDownScope(&w.Node) {
			continue
		}
		w.declaredDead = true
		events = append(events, Event{Kind: Died, Node: id})
	}
	return events
}

func (t *Tracker) isInDownScope(n *record.Node) bool {
	rack, ok := RackOf(n)
	return ok && t.isScopeDown(rack) || t.isScopeDown(DataCentreOf(n))
}

func (t *Tracker) isScopeDown(name ScopeName) bool {
	s := t.scopes[name]
	return s != nil && s.down
}

// WatchersOf returns the entries that watch a node. These are the first Watchers live entries of
// its data centre by rendezvous hashing, filled up with entries of other data centres where there
// are fewer. local are the live entries of the node's data centre, remote the others.
func WatchersOf(id ident.NodeID, local, remote []ident.NodeID) []ident.NodeID {
	out := topExcept(id, local, Watchers)
	if missing := Watchers - len(out); missing > 0 {
		out = append(out, topExcept(id, remote, missing)...)
	}
	return out
}

func topExcept(id ident.NodeID, nodes []ident.NodeID, n int) []ident.NodeID {
	top := rendezvous.Top(uint64(id), nodes, n+1)
	out := make([]ident.NodeID, 0, n)
	for _, x := range top {
		if x != id && len(out) < n {
			out = append(out, x)
		}
	}
	return out
}

// RepresentativesOf returns the entries of a data centre that are watched from outside of it.
func RepresentativesOf(dc ident.DataCentre, local []ident.NodeID) []ident.NodeID {
	return rendezvous.Top(uint64(ident.NewNodeID("representatives/"+string(dc))), local, Representatives)
}

// ScopeWatchersOf returns the entries outside of a data centre that watch its representatives.
func ScopeWatchersOf(dc ident.DataCentre, remote []ident.NodeID) []ident.NodeID {
	return rendezvous.Top(uint64(ident.NewNodeID("watchers/"+string(dc))), remote, Watchers)
}

// Refute returns the node's own record with a version above that of a record about the node which
// another node issued. It also returns whether that was necessary.
func Refute(own record.Node, seen record.Record) (record.Node, bool) {
	mine := record.ForNode(own)
	if seen.Node == nil || seen.Node.ID != own.ID || seen.Version.Compare(mine.Version) <= 0 {
		return own, false
	}
	if seen.Version.Major > uint64(own.Incarnation) {
		// The clock of the instance that ran this node before was ahead of the present one.
		own.Incarnation = ident.Incarnation(seen.Version.Major) + 1
		return own, true
	}
	own.Sequence = seen.Version.Minor + 1
	return own, true
}

// Each calls do for every watched node.
func (t *Tracker) Each(do func(ident.NodeID)) {
	for _, id := range t.order {
		do(id)
	}
}

// Agents returns the watched agents.
func (t *Tracker) Agents() []record.Node {
	var out []record.Node
	for _, id := range t.order {
		if w := t.watches[id]; !w.Node.Entry {
			out = append(out, w.Node)
		}
	}
	return out
}
