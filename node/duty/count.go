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
	firstQueryInterval = 100 * time.Millisecond // until the first repeated query to a node; then doubles
	earlyQueryInterval = 500 * time.Millisecond // longest interval while a revision is younger than earlyPeriod
	earlyPeriod        = 5 * time.Second
	lateQueryInterval  = 30 * time.Second
	reportInterval     = 500 * time.Millisecond // between status writes while the count changes
	countInterval      = 100 * time.Millisecond // between updates of a count; each copies the list of entries
	idleCountInterval  = time.Second            // the same while no replies arrive
	countTimeout       = time.Hour              // after which nodes that have not replied are no longer queried
	maxQueriesPerRound = 500                    // per update, so that the replies fit into the event queue
)

// applyCount counts the nodes that have applied one revision. A node that has confirmed it is not
// queried again, so that a change costs one query and one reply per node.
type applyCount struct {
	service        ident.ServiceName
	revision       uint64
	queryID        uint64
	accepted       time.Time
	applied        map[ident.NodeID]bool
	queried        map[ident.NodeID]queryState
	nextEvaluation time.Time // of the next update if no reply arrives
	evaluated      time.Time
	newReplies     bool // since the last update
	reportedAt     time.Time
	reported       settings.Progress
	complete       bool
}

// queryState is the time of the next query to a node and the current interval of its queries.
type queryState struct {
	next     time.Time
	interval time.Duration
}

// handleControl queues replies for the goroutine of Run. If the event queue is full, the reply is
// dropped and the node is queried again.
func (d *Controller) handleControl(c *lacewingv1.Control) {
	reply := c.GetAppliedReply()
	if reply == nil {
		return
	}
	from := ident.NodeID(c.GetSender())
	number, query := reply.GetRevision(), reply.GetQuery()
	select {
	case d.events <- func() { d.recordReply(from, query, number) }:
	default:
	}
}

func (d *Controller) recordReply(from ident.NodeID, query, number uint64) {
	if c := d.countsByQuery[query]; c != nil && number >= c.revision {
		c.applied[from], c.newReplies = true, true
	}
}

// startCount starts the count of a revision. It ends an older count of the service.
func (d *Controller) startCount(r *record.Revision) {
	status := d.cache.objectsOf(r.Service).status
	if status.Accepted == r.Number && status.Elapsed > 0 {
		return // all nodes have applied it according to the status
	}
	if old := d.counts[r.Service]; old != nil {
		delete(d.countsByQuery, old.queryID)
	}
	d.lastQueryID++
	c := &applyCount{
		service:  r.Service,
		revision: r.Number,
		queryID:  d.lastQueryID,
		accepted: r.Accepted,
		applied:  map[ident.NodeID]bool{},
		queried:  map[ident.NodeID]queryState{},
	}
	d.counts[r.Service] = c
	d.countsByQuery[c.queryID] = c
	d.markPending(r.Service)
}

// updateCounts updates the counts that are due and ends those that are complete or obsolete.
func (d *Controller) updateCounts(now time.Time) {
	for service, c := range d.counts {
		if !c.isDue(now) {
			continue
		}
		newest := d.cache.objectsOf(service).newest
		rank := settings.Rank(service.ID(), d.mesh.Self().ID, d.readers)
		if newest == nil || newest.Number != c.revision || now.Sub(c.accepted) > countTimeout {
			d.endCount(c)
			continue
		}
		if d.statusComplete(c) {
			d.endCount(c)
			continue
		}
		if rank != 0 && (now.Before(c.accepted.Add(settings.RankDelay(max(rank, 1)))) || d.isCountedByOther(c)) {
			c.reported = settings.Progress{}
			c.nextEvaluation = now.Add(countInterval)
			continue
		}
		d.updateCount(c, now)
	}
}

// statusComplete reports whether, according to the status, all nodes have applied the revision.
func (d *Controller) statusComplete(c *applyCount) bool {
	status := &d.cache.objectsOf(c.service).status
	return status.Accepted == c.revision && status.Elapsed > 0
}

// isCountedByOther reports whether another entry reports the progress of the revision. A single
// count suffices, as each costs a query and a reply per node.
func (d *Controller) isCountedByOther(c *applyCount) bool {
	e := d.cache.objectsOf(c.service)
	return e.status.Accepted == c.revision && e.status.Nodes > 0 && e.statusWriter != d.mesh.Self().Name
}

func (d *Controller) endCount(c *applyCount) {
	delete(d.counts, c.service)
	delete(d.countsByQuery, c.queryID)
}

// isDue reports whether the count may have changed.
func (c *applyCount) isDue(now time.Time) bool {
	return !now.Before(c.nextEvaluation) || (c.newReplies && now.Sub(c.evaluated) >= countInterval)
}

// updateCount updates the progress of a count and queries the missing nodes.
func (d *Controller) updateCount(c *applyCount, now time.Time) {
	if c.complete {
		return
	}
	c.evaluated, c.newReplies = now, false
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
	if c.complete || now.Sub(c.reportedAt) >= reportInterval {
		c.reported, c.reportedAt = progress, now
		d.markPending(c.service)
	}
	c.nextEvaluation = now.Add(idleCountInterval)
	if d.sendQueries(c, missing, now) {
		c.nextEvaluation = now.Add(countInterval)
	}
}

// sendQueries queries the nodes that are due. It reports whether some nodes are due soon.
func (d *Controller) sendQueries(c *applyCount, missing []record.Node, now time.Time) (dueSoon bool) {
	sent := 0
	for _, n := range missing {
		q := c.queried[n.ID]
		if now.Before(q.next) {
			dueSoon = dueSoon || q.interval < 2*idleCountInterval
			continue
		}
		if sent == maxQueriesPerRound {
			return true
		}
		sent++
		q.interval = min(max(2*q.interval, firstQueryInterval), c.maxQueryInterval(now))
		q.next = now.Add(q.interval)
		c.queried[n.ID] = q
		d.sendQuery(c, n.ID)
	}
	return dueSoon || sent > 0
}

// maxQueryInterval returns the longest interval between queries to one node. It is short at first,
// because a node that applied the revision just after a query is reported missing until the next
// one.
func (c *applyCount) maxQueryInterval(now time.Time) time.Duration {
	if now.Sub(c.accepted) < earlyPeriod {
		return earlyQueryInterval
	}
	return lateQueryInterval
}

func (d *Controller) sendQuery(c *applyCount, to ident.NodeID) {
	err := d.mesh.SendControl(to, &lacewingv1.Control{
		Body: &lacewingv1.Control_AppliedQuery{AppliedQuery: &lacewingv1.AppliedQuery{
			Service: uint64(c.service.ID()),
			Query:   c.queryID,
		}},
	})
	if err != nil {
		_ = level.Debug(d.logger).Log(logging.KeyMessage, "sending a query for the applied revision failed",
			logging.KeyNode, to, logging.KeyError, err)
	}
}

// missing returns the live entries, including this one, and the agents of the pool that have not
// confirmed the revision, and the total number of nodes. This entry is queried like the others,
// because the revision counts as applied only once its data plane serves it.
func (d *Controller) missing(c *applyCount) (missing []record.Node, total int) {
	nodes := append(d.entries(), d.mesh.Pool(c.service.ID())...)
	for _, n := range nodes {
		if !c.applied[n.ID] {
			missing = append(missing, n)
		}
	}
	return missing, len(nodes)
}

// entries returns the live entries, including this one.
func (d *Controller) entries() []record.Node {
	self := d.mesh.Self()
	entries := d.mesh.Entries()
	for _, e := range entries {
		if e.ID == self.ID {
			return entries
		}
	}
	return append(entries, self)
}

func (c *applyCount) progress() *settings.Progress {
	if c.reported.Nodes == 0 {
		return nil
	}
	return &c.reported
}
