package duty

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

const (
	firstQuery  = 100 * time.Millisecond // before a node that doesn't answer is asked again; doubles each time
	earlyQuery  = 500 * time.Millisecond // longest interval while a revision is younger than earlyFor
	earlyFor    = 5 * time.Second
	maxQuery    = 30 * time.Second
	reportEvery = 500 * time.Millisecond // between status writes while the count changes
	lookEvery   = 100 * time.Millisecond // between looks at a count; a look copies the list of entries
	idleLook    = time.Second            // the same while no replies arrive
	countFor    = time.Hour              // after which a node that still doesn't answer is no longer asked
	queryBurst  = 500                    // queries at one look, so that the replies fit into the queue of events
)

// count is how far one revision is in force. A node that has answered is not asked again, so that the load of a change is one query and
// one reply per node.
type count struct {
	service  ident.ServiceName
	revision uint64
	query    uint64
	accepted time.Time
	applied  map[ident.NodeID]bool
	asked    map[ident.NodeID]asked
	next     time.Time // of the next look without a reply
	looked   time.Time
	replies  bool // since the last look
	reported time.Time
	shown    settings.Progress
	complete bool
}

// asked is when a node may be asked again.
type asked struct {
	next     time.Time
	interval time.Duration
}

// handleControl passes replies on. A reply that finds the queue full is dropped: the node is asked again.
func (d *Duty) handleControl(c *lacewingv1.Control) {
	reply := c.GetAppliedReply()
	if reply == nil {
		return
	}
	from := ident.NodeID(c.GetSender())
	number, query := reply.GetRevision(), reply.GetQuery()
	select {
	case d.events <- func() { d.replied(from, query, number) }:
	default:
	}
}

func (d *Duty) replied(from ident.NodeID, query, number uint64) {
	if c := d.queries[query]; c != nil && number >= c.revision {
		c.applied[from], c.replies = true, true
	}
}

// startCount begins to count a revision. An older count of the service ends.
func (d *Duty) startCount(r *record.Revision) {
	status := d.cache.entry(r.Service).status
	if status.Accepted == r.Number && status.Elapsed > 0 {
		return // already known to be in force everywhere
	}
	if old := d.counts[r.Service]; old != nil {
		delete(d.queries, old.query)
	}
	d.query++
	c := &count{
		service:  r.Service,
		revision: r.Number,
		query:    d.query,
		accepted: r.Accepted,
		applied:  map[ident.NodeID]bool{},
		asked:    map[ident.NodeID]asked{},
	}
	d.counts[r.Service] = c
	d.queries[c.query] = c
	d.touch(r.Service)
}

// countAll asks the nodes that have not answered and ends counts that are complete.
func (d *Duty) countAll(now time.Time) {
	for service, c := range d.counts {
		if !c.due(now) {
			continue
		}
		newest := d.cache.entry(service).newest
		rank := settings.Rank(service.ID(), d.mesh.Self().ID, d.readers)
		if newest == nil || newest.Number != c.revision || now.Sub(c.accepted) > countFor {
			d.endCount(c)
			continue
		}
		if d.reportedComplete(c) {
			d.endCount(c)
			continue
		}
		if rank != 0 && (now.Before(c.accepted.Add(settings.RankDelay(max(rank, 1)))) || d.countedByOther(c)) {
			c.shown = settings.Progress{}
			c.next = now.Add(lookEvery)
			continue
		}
		d.ask(c, now)
	}
}

// reportedComplete tells whether the status already says that the revision is in force everywhere.
func (d *Duty) reportedComplete(c *count) bool {
	status := &d.cache.entry(c.service).status
	return status.Accepted == c.revision && status.Elapsed > 0
}

// countedByOther tells whether another entry reports the progress of the revision. One that counts is enough: a count costs a query and
// a reply per node.
func (d *Duty) countedByOther(c *count) bool {
	e := d.cache.entry(c.service)
	return e.status.Accepted == c.revision && e.status.Nodes > 0 && e.statusWriter != d.mesh.Self().Name
}

func (d *Duty) endCount(c *count) {
	delete(d.counts, c.service)
	delete(d.queries, c.query)
}

// due tells whether the count can have changed.
func (c *count) due(now time.Time) bool {
	return !now.Before(c.next) || (c.replies && now.Sub(c.looked) >= lookEvery)
}

// ask updates the progress of a count and queries those who are missing.
func (d *Duty) ask(c *count, now time.Time) {
	if c.complete {
		return
	}
	c.looked, c.replies = now, false
	missing, total := d.missing(c)
	progress := settings.Progress{Revision: c.revision, InForce: total - len(missing), Nodes: total}
	for _, n := range missing {
		progress.Missing = append(progress.Missing, n.Name)
	}
	slices.Sort(progress.Missing)
	if len(missing) == 0 {
		progress.Elapsed = max(now.Sub(c.accepted), time.Millisecond)
		c.complete = true
		d.counters.elapsed.Update(progress.Elapsed.Seconds())
	}
	if c.complete || now.Sub(c.reported) >= reportEvery {
		c.shown, c.reported = progress, now
		d.touch(c.service)
	}
	c.next = now.Add(idleLook)
	if d.sendQueries(c, missing, now) {
		c.next = now.Add(lookEvery)
	}
}

// sendQueries queries the nodes that are due. It returns true if some are due soon.
func (d *Duty) sendQueries(c *count, missing []record.Node, now time.Time) (soon bool) {
	sent := 0
	for _, n := range missing {
		a := c.asked[n.ID]
		if now.Before(a.next) {
			soon = soon || a.interval < 2*idleLook
			continue
		}
		if sent == queryBurst {
			return true
		}
		sent++
		a.interval = min(max(2*a.interval, firstQuery), c.longest(now))
		a.next = now.Add(a.interval)
		c.asked[n.ID] = a
		d.sendQuery(c, n.ID)
	}
	return soon || sent > 0
}

// longest returns the longest interval between queries of one node. It is short at first, because a node that applied the revision just
// after a query is reported missing until the next one.
func (c *count) longest(now time.Time) time.Duration {
	if now.Sub(c.accepted) < earlyFor {
		return earlyQuery
	}
	return maxQuery
}

func (d *Duty) sendQuery(c *count, to ident.NodeID) {
	err := d.mesh.SendControl(to, &lacewingv1.Control{
		Body: &lacewingv1.Control_AppliedQuery{AppliedQuery: &lacewingv1.AppliedQuery{
			Service: uint64(c.service.ID()),
			Query:   c.query,
		}},
	})
	if err != nil {
		_ = level.Debug(d.logger).Log(logging.KeyMessage, "applied query", logging.KeyNode, to, logging.KeyError, err)
	}
}

// missing returns the live entries, this one included, and the pool's agents that have not answered that they applied the revision, and
// how many nodes there are. This entry is asked like the others, as only its data plane knows what it has applied.
func (d *Duty) missing(c *count) (missing []record.Node, total int) {
	nodes := append(d.entries(), d.mesh.Pool(c.service.ID())...)
	for _, n := range nodes {
		if !c.applied[n.ID] {
			missing = append(missing, n)
		}
	}
	return missing, len(nodes)
}

// entries returns the live entries, this one included.
func (d *Duty) entries() []record.Node {
	self := d.mesh.Self()
	entries := d.mesh.Entries()
	for _, e := range entries {
		if e.ID == self.ID {
			return entries
		}
	}
	return append(entries, self)
}

func (c *count) progress() *settings.Progress {
	if c.shown.Nodes == 0 {
		return nil
	}
	return &c.shown
}
