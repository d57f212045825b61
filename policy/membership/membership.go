// Package membership decides from heartbeats which nodes and scopes are suspect, dead or back.
package membership

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/rendezvous"
)

// Times of membership.
const (
	HeartbeatInterval = 250 * time.Millisecond
	SuspectAfter      = time.Second
	DeadAfter         = 3 * time.Second
	// UnheardDeadAfter applies to a node that this watcher never heard. The node may not know yet that it is watched from here.
	UnheardDeadAfter = 10 * time.Second
	// MaxPause is the longest time between two ticks in which the watcher counts as running. After a longer one, silence is
	// counted anew, because it was the watcher that didn't listen.
	MaxPause = 750 * time.Millisecond
	// scopeRefutedFor is how long a scope that was refuted isn't declared down again; its silent nodes are declared dead one by one.
	scopeRefutedFor = 30 * time.Second
)

// Sizes of membership.
const (
	Watchers        = 3
	Representatives = 8 // entries of a data centre that are watched from outside of it
	minScopeSilent  = 2 // fewer silent nodes are declared dead one by one
)

// ScopeName names a rack or a data centre.
type ScopeName struct {
	Kind record.ScopeKind
	Name string
}

// RackOf returns the rack of a node, false if the node's settings name none.
func RackOf(n *record.Node) (ScopeName, bool) {
	return ScopeName{record.ScopeRack, string(n.DataCentre) + "/" + n.Rack}, n.Rack != ""
}

// DataCentreOf returns the data centre of a node as a scope.
func DataCentreOf(n *record.Node) ScopeName {
	return ScopeName{record.ScopeDataCentre, string(n.DataCentre)}
}

// Watched is a node that must be heard here.
type Watched struct {
	Node record.Node
	// SuspectOnly nodes are only suspected, never declared dead here: members of the own pool, representatives of other data centres.
	SuspectOnly bool
}

// EventKind tells what a tick found.
type EventKind int

// Kinds of event.
const (
	Suspected EventKind = iota + 1 // Node is silent
	Recovered                      // Node is heard again
	Died                           // Node is to be marked dead
	ScopeDown                      // Scope is to be marked down
	ScopeUp                        // Scope is to be marked up again
)

// Event is one finding of a tick.
type Event struct {
	Kind  EventKind
	Node  ident.NodeID
	Scope ScopeName
}

type watch struct {
	Watched
	heard    bool      // at all, since the watch began
	last     time.Time // last heard, or since when silence counts
	suspect  bool
	declared bool // dead, by this watcher
}

type scope struct {
	down         bool
	refutedUntil time.Time
}

// Tracker is one node's part as watcher. It is not safe for concurrent use.
type Tracker struct {
	self    record.Node
	watches map[ident.NodeID]*watch
	order   []ident.NodeID
	scopes  map[ScopeName]*scope
	ticked  time.Time
}

// NewTracker returns a tracker that watches nothing. Only self's id and data centre matter.
func NewTracker(self record.Node) *Tracker {
	return &Tracker{self: self, watches: map[ident.NodeID]*watch{}, scopes: map[ScopeName]*scope{}}
}

// Watch replaces the set of watched nodes and returns those that are new. What is known of the others is kept, unless the process
// was restarted.
func (t *Tracker) Watch(now time.Time, nodes []Watched) []record.Node {
	next := make(map[ident.NodeID]*watch, len(nodes))
	t.order = t.order[:0]
	var added []record.Node
	for _, n := range nodes {
		if n.Node.ID == t.self.ID || next[n.Node.ID] != nil {
			continue
		}
		w := t.watches[n.Node.ID]
		if w == nil || w.Node.Incarnation != n.Node.Incarnation || w.declared && n.Node.Alive() && n.Node.Sequence > w.Node.Sequence {
			w = &watch{last: now}
			added = append(added, n.Node)
		}
		w.Watched = n
		next[n.Node.ID] = w
		t.order = append(t.order, n.Node.ID)
	}
	t.watches = next
	return added
}

// RecordHeartbeat notes that a datagram of a node arrived. Times may come out of order.
func (t *Tracker) RecordHeartbeat(id ident.NodeID, at time.Time) {
	w := t.watches[id]
	if w == nil {
		return
	}
	if at.After(w.last) {
		w.last = at
		w.heard = true
		w.declared = false
	}
}

// Suspect tells whether a watched node has been silent for SuspectAfter at the last tick.
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

// SetScope tells what the newest record of a scope says. A scope that comes up while this watcher held it down was refuted.
func (t *Tracker) SetScope(now time.Time, name ScopeName, down bool) {
	s := t.scope(name)
	if s.down && !down {
		s.refutedUntil = now.Add(scopeRefutedFor)
		t.restart(now, name)
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

// restart counts the silence of the scope's nodes anew.
func (t *Tracker) restart(now time.Time, name ScopeName) {
	for _, w := range t.watches {
		if inScope(&w.Node, name) && now.After(w.last) {
			w.last = now
		}
	}
}

func inScope(n *record.Node, name ScopeName) bool {
	if rack, ok := RackOf(n); ok && rack == name {
		return true
	}
	return DataCentreOf(n) == name
}

// Tick judges the silence of every watched node. Call it more often than MaxPause.
func (t *Tracker) Tick(now time.Time) []Event {
	paused := !t.ticked.IsZero() && now.Sub(t.ticked) > MaxPause
	t.ticked = now
	if paused {
		for _, w := range t.watches {
			w.last = now
		}
	}
	events := t.suspicions(now)
	events = t.scopeEvents(now, events)
	return t.deaths(now, events)
}

func (t *Tracker) suspicions(now time.Time) []Event {
	var events []Event
	for _, id := range t.order {
		w := t.watches[id]
		suspect := now.Sub(w.last) >= SuspectAfter
		switch {
		case suspect && !w.suspect:
			events = append(events, Event{Kind: Suspected, Node: id})
		case !suspect && w.suspect && w.heard:
			events = append(events, Event{Kind: Recovered, Node: id})
		case !suspect && w.suspect:
			continue // silence is counted anew, nothing was heard
		}
		w.suspect = suspect
	}
	return events
}

// scopeEvents declares a scope down when a node's silence reaches its limit and half or more of the scope's watched nodes are silent, and
// up when fewer than half are. The own data centre is judged by watchers outside of it: silence there may be a fault here.
func (t *Tracker) scopeEvents(now time.Time, events []Event) []Event {
	type count struct{ watched, silent, expired int }
	counts := map[ScopeName]*count{}
	var names []ScopeName
	for _, id := range t.order {
		w := t.watches[id]
		for _, name := range t.scopesOf(&w.Node) {
			c := counts[name]
			if c == nil {
				c = &count{}
				counts[name] = c
				names = append(names, name)
			}
			c.watched++
			if !w.declared && now.Sub(w.last) >= SuspectAfter && w.heard {
				c.silent++
			}
			if t.expired(now, w) && w.heard {
				c.expired++
			}
		}
	}
	for _, name := range names {
		c, s := counts[name], t.scope(name)
		lost := c.silent >= minScopeSilent && 2*c.silent >= c.watched
		switch {
		case !s.down && lost && c.expired > 0 && now.After(s.refutedUntil):
			s.down = true
			events = append(events, Event{Kind: ScopeDown, Scope: name})
		case s.down && t.heardHalf(now, name):
			s.down = false
			t.restart(now, name)
			events = append(events, Event{Kind: ScopeUp, Scope: name})
		}
	}
	return events
}

// heardHalf tells whether more than half of the scope's watched nodes were heard within SuspectAfter.
func (t *Tracker) heardHalf(now time.Time, name ScopeName) bool {
	heard, all := 0, 0
	for _, w := range t.watches {
		if !inScope(&w.Node, name) {
			continue
		}
		all++
		if w.heard && now.Sub(w.last) < SuspectAfter && !w.suspect {
			heard++
		}
	}
	return 2*heard > all
}

func (t *Tracker) scopesOf(n *record.Node) []ScopeName {
	var names []ScopeName
	if rack, ok := RackOf(n); ok && !n.Entry {
		names = append(names, rack)
	}
	if n.DataCentre != t.self.DataCentre {
		names = append(names, DataCentreOf(n))
	}
	return names
}

func (t *Tracker) expired(now time.Time, w *watch) bool {
	limit := DeadAfter
	if !w.heard {
		limit = UnheardDeadAfter
	}
	return !w.declared && now.Sub(w.last) >= limit
}

func (t *Tracker) deaths(now time.Time, events []Event) []Event {
	for _, id := range t.order {
		w := t.watches[id]
		if w.SuspectOnly || !t.expired(now, w) || t.inDownScope(&w.Node) {
			continue
		}
		w.declared = true
		events = append(events, Event{Kind: Died, Node: id})
	}
	return events
}

func (t *Tracker) inDownScope(n *record.Node) bool {
	rack, ok := RackOf(n)
	return ok && t.isDown(rack) || t.isDown(DataCentreOf(n))
}

func (t *Tracker) isDown(name ScopeName) bool {
	s := t.scopes[name]
	return s != nil && s.down
}

// WatchersOf returns the entries that watch a node: Watchers live entries of its data centre by rendezvous, filled up with entries of
// other data centres where there are fewer. local are the live entries of the node's data centre, remote the others.
func WatchersOf(id ident.NodeID, local, remote []ident.NodeID) []ident.NodeID {
	out := topWithout(id, local, Watchers)
	if missing := Watchers - len(out); missing > 0 {
		out = append(out, topWithout(id, remote, missing)...)
	}
	return out
}

func topWithout(id ident.NodeID, nodes []ident.NodeID, n int) []ident.NodeID {
	top := rendezvous.Top(uint64(id), nodes, n+1)
	out := make([]ident.NodeID, 0, n)
	for _, x := range top {
		if x != id && len(out) < n {
			out = append(out, x)
		}
	}
	return out
}

// RepresentativesOf returns the entries of a data centre that are watched from outside.
func RepresentativesOf(dc ident.DataCentre, local []ident.NodeID) []ident.NodeID {
	return rendezvous.Top(uint64(ident.NewNodeID("representatives/"+string(dc))), local, Representatives)
}

// ScopeWatchersOf returns the entries outside of a data centre that watch its representatives.
func ScopeWatchersOf(dc ident.DataCentre, remote []ident.NodeID) []ident.NodeID {
	return rendezvous.Top(uint64(ident.NewNodeID("watchers/"+string(dc))), remote, Watchers)
}

// Refute returns the node's own record raised above a record about itself that another node issued, and whether that was necessary.
func Refute(own record.Node, seen record.Record) (record.Node, bool) {
	mine := record.ForNode(own)
	if seen.Node == nil || seen.Node.ID != own.ID || seen.Version.Compare(mine.Version) <= 0 {
		return own, false
	}
	if seen.Version.Major > uint64(own.Incarnation) {
		// The clock of the instance that ran this node before was ahead of ours.
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
