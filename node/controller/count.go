package controller

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
func (c *Controller) handleControl(message *lacewingv1.Control) {
	reply := message.GetAppliedReply()
	if reply == nil {
		return
	}
	from := ident.NodeID(message.GetSender())
	number, query := reply.GetRevision(), reply.GetQuery()
	select {
	case c.events <- func() { c.recordReply(from, query, number) }:
	default:
	}
}

func (c *Controller) recordReply(from ident.NodeID, query, number uint64) {
	if count := c.countsByQuery[query]; count != nil && number >= count.revision {
		count.applied[from], count.newReplies = true, true
	}
}

// startCount starts the count of a revision. It ends an older count of the service.
func (c *Controller) startCount(r *record.Revision) {
	status := c.cache.objectsOf(r.Service).status
	if status.Accepted == r.Number && status.Elapsed > 0 {
		return // all nodes have applied it according to the status
	}
	if old := c.counts[r.Service]; old != nil {
		delete(c.countsByQuery, old.queryID)
	}
	c.lastQueryID++
	count := &applyCount{
		service:  r.Service,
		revision: r.Number,
		queryID:  c.lastQueryID,
		accepted: r.Accepted,
		applied:  map[ident.NodeID]bool{},
		queried:  map[ident.NodeID]queryState{},
	}
	c.counts[r.Service] = count
	c.countsByQuery[count.queryID] = count
	c.markPending(r.Service)
}

// updateCounts updates the counts that are due and ends those that are complete or obsolete.
func (c *Controller) updateCounts(now time.Time) {
	for service, count := range c.counts {
		if !count.isDue(now) {
			continue
		}
		newest := c.cache.objectsOf(service).newest
		rank := settings.Rank(service.ID(), c.mesh.Self().ID, c.readers)
		if newest == nil || newest.Number != count.revision || now.Sub(count.accepted) > countTimeout {
			c.endCount(count)
			continue
		}
		if c.statusComplete(count) {
			c.endCount(count)
			continue
		}
		if rank != 0 && (now.Before(count.accepted.Add(settings.RankDelay(max(rank, 1)))) || c.isCountedByOther(count)) {
			count.reported = settings.Progress{}
			count.nextEvaluation = now.Add(countInterval)
			continue
		}
		c.updateCount(count, now)
	}
}

// statusComplete reports whether, according to the status, all nodes have applied the revision.
func (c *Controller) statusComplete(count *applyCount) bool {
	status := &c.cache.objectsOf(count.service).status
	return status.Accepted == count.revision && status.Elapsed > 0
}

// isCountedByOther reports whether another entry reports the progress of the revision. A single
// count suffices, as each costs a query and a reply per node.
func (c *Controller) isCountedByOther(count *applyCount) bool {
	e := c.cache.objectsOf(count.service)
	return e.status.Accepted == count.revision && e.status.Nodes > 0 && e.statusWriter != c.mesh.Self().Name
}

func (c *Controller) endCount(count *applyCount) {
	delete(c.counts, count.service)
	delete(c.countsByQuery, count.queryID)
}

// isDue reports whether the count may have changed.
func (c *applyCount) isDue(now time.Time) bool {
	return !now.Before(c.nextEvaluation) || (c.newReplies && now.Sub(c.evaluated) >= countInterval)
}

// updateCount updates the progress of a count and queries the missing nodes.
func (c *Controller) updateCount(count *applyCount, now time.Time) {
	if count.complete {
		return
	}
	count.evaluated, count.newReplies = now, false
	missing, total := c.missing(count)
	progress := settings.Progress{Revision: count.revision, InForce: total - len(missing), Nodes: total}
	for _, n := range missing {
		progress.Missing = append(progress.Missing, n.Name)
	}
	slices.Sort(progress.Missing)
	if len(missing) == 0 {
		progress.Elapsed = max(now.Sub(count.accepted), time.Millisecond)
		count.complete = true
		c.counters.elapsed.Update(progress.Elapsed.Seconds())
	}
	if count.complete || now.Sub(count.reportedAt) >= reportInterval {
		count.reported, count.reportedAt = progress, now
		c.markPending(count.service)
	}
	count.nextEvaluation = now.Add(idleCountInterval)
	if c.sendQueries(count, missing, now) {
		count.nextEvaluation = now.Add(countInterval)
	}
}

// sendQueries queries the nodes that are due. It reports whether some nodes are due soon.
func (c *Controller) sendQueries(count *applyCount, missing []record.Node, now time.Time) (dueSoon bool) {
	sent := 0
	for _, n := range missing {
		q := count.queried[n.ID]
		if now.Before(q.next) {
			dueSoon = dueSoon || q.interval < 2*idleCountInterval
			continue
		}
		if sent == maxQueriesPerRound {
			return true
		}
		sent++
		q.interval = min(max(2*q.interval, firstQueryInterval), count.maxQueryInterval(now))
		q.next = now.Add(q.interval)
		count.queried[n.ID] = q
		c.sendQuery(count, n.ID)
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

func (c *Controller) sendQuery(count *applyCount, to ident.NodeID) {
	err := c.mesh.SendControl(to, &lacewingv1.Control{
		Body: &lacewingv1.Control_AppliedQuery{AppliedQuery: &lacewingv1.AppliedQuery{
			Service: uint64(count.service.ID()),
			Query:   count.queryID,
		}},
	})
	if err != nil {
		_ = level.Debug(c.logger).Log(logging.KeyMessage, "sending a query for the applied revision failed",
			logging.KeyNode, to, logging.KeyError, err)
	}
}

// missing returns the live entries, including this one, and the agents of the pool that have not
// confirmed the revision, and the total number of nodes. This entry is queried like the others,
// because the revision counts as applied only once its data plane serves it.
func (c *Controller) missing(count *applyCount) (missing []record.Node, total int) {
	nodes := append(c.entries(), c.mesh.Pool(count.service.ID())...)
	for _, n := range nodes {
		if !count.applied[n.ID] {
			missing = append(missing, n)
		}
	}
	return missing, len(nodes)
}

// entries returns the live entries, including this one.
func (c *Controller) entries() []record.Node {
	self := c.mesh.Self()
	entries := c.mesh.Entries()
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
