// Package dispatch chooses the executor of a request: the less loaded of two random targets with a
// free slot, in the coordinator's data centre unless a target elsewhere is expected to finish
// sooner. Targets that respond slowly or fail get no new work for a while, whatever load they
// report. Time and randomness are arguments.
package dispatch

import (
	"math"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Candidate is the current state of a member of the pool.
type Candidate struct {
	ID         ident.NodeID
	DataCentre ident.DataCentre
	Usable     bool // ready and not suspect
	Local      bool // the coordinator's own target: its load is current, not reported
	RoundTrip  time.Duration
	Load       Load
}

// Load is a candidate's newest load report. Reported is zero if there is none; Slots may be 0 then.
type Load struct {
	Reported     time.Time
	Busy         int
	Queued       int
	Slots        int
	Latency      time.Duration // mean service time of recent requests according to the agent; 0 if unknown
	Shedding     bool
	WarmFraction float64 // part of the slots that may be used during warm-up; 1 when warm
}

// Constants of the choice.
const (
	// defaultServiceTime is the assumed service time of a target that has not responded yet.
	defaultServiceTime = 20 * time.Millisecond
	// reportJitter is the largest difference between two values of the time of the same report. The
	// time is computed from the report's age on each use.
	reportJitter = 20 * time.Millisecond
	// outlierCheckInterval is the shortest time between two comparisons of the whole pool.
	outlierCheckInterval = 50 * time.Millisecond
	// reportStaleAfter is the age at which a load report no longer counts.
	reportStaleAfter = 2 * time.Second
)

// Dispatcher chooses the executors in one pool for one coordinator. It is not safe for concurrent
// use.
type Dispatcher struct {
	dataCentre       ident.DataCentre
	random           func(n int) int
	targets          map[ident.NodeID]*targetState
	lastSerial       uint64
	lastOutlierCheck time.Time
}

// New returns a dispatcher for a coordinator in this data centre. random returns a number in [0,
// n).
func New(dataCentre ident.DataCentre, random func(n int) int) *Dispatcher {
	return &Dispatcher{dataCentre: dataCentre, random: random, targets: map[ident.NodeID]*targetState{}}
}

// targetState is what the coordinator has observed of one target.
type targetState struct {
	reportTime  time.Time            // of the load report to which sinceReport is relative
	sinceReport int                  // attempts dispatched less attempts finished since that report
	inflight    map[uint64]time.Time // start of each attempt in progress, by serial
	health      health
}

// Ticket identifies a dispatched attempt until its result is recorded.
type Ticket struct {
	Target ident.NodeID
	serial uint64
}

// option is a candidate that may be chosen, with its expected load.
type option struct {
	candidate      *Candidate
	target         *targetState
	slots          int
	occupied       int
	expectedFinish time.Duration // time until the response
}

func (o *option) hasFreeSlot() bool { return o.occupied < o.slots }

// Reason is why Choose returned a target or none.
type Reason string

// Reasons of Choose.
const (
	Chosen            Reason = "chosen"
	NoUsableTarget    Reason = "no usable target"
	WouldMissDeadline Reason = "deadline before expected finish"
)

// Choose chooses the executor of an attempt that must start within maxWait, and records the attempt
// as dispatched. Excluded targets are chosen only if there is no other, since a target that has
// just refused is likely to refuse again.
func (d *Dispatcher) Choose(
	now time.Time, pool []Candidate, excluded []ident.NodeID, maxWait time.Duration,
) (Ticket, Reason) {
	d.ejectOutliers(now, pool)
	options := d.eligibleOptions(now, pool, excluded)
	if len(options) == 0 {
		options = d.eligibleOptions(now, pool, nil)
	}
	if len(options) == 0 {
		return Ticket{}, NoUsableTarget
	}
	best := d.bestOption(options)
	if best.expectedFinish-best.serviceTime() > maxWait {
		return Ticket{}, WouldMissDeadline
	}
	return d.recordDispatch(now, best), Chosen
}

func (d *Dispatcher) recordDispatch(now time.Time, o *option) Ticket {
	d.lastSerial++
	o.target.sinceReport++
	o.target.inflight[d.lastSerial] = now
	o.target.health.beginProbe(now)
	return Ticket{Target: o.candidate.ID, serial: d.lastSerial}
}

// eligibleOptions returns the candidates that may be chosen.
func (d *Dispatcher) eligibleOptions(now time.Time, pool []Candidate, excluded []ident.NodeID) []option {
	options := make([]option, 0, len(pool))
	for i := range pool {
		c := &pool[i]
		if !c.Usable || c.Load.Shedding || slices.Contains(excluded, c.ID) {
			continue
		}
		t := d.stateOf(c.ID)
		if !t.health.acceptsAttempt(now, len(t.inflight)) {
			continue
		}
		options = append(options, d.newOption(now, c, t))
	}
	return options
}

// newOption computes the slots and the expected finish of a candidate. Slots are limited during
// warm-up and after an ejection. An attempt that finds no free slot waits until enough requests
// before it have completed; all slots together complete one request each per service time.
func (d *Dispatcher) newOption(now time.Time, c *Candidate, t *targetState) option {
	o := option{candidate: c, target: t, slots: max(c.Load.Slots, 1)}
	o.slots = max(int(math.Ceil(float64(o.slots)*c.warmFraction()*t.health.usableShare(now))), 1)
	o.occupied = t.occupiedSlots(now, c)
	completionsBefore := max(0, o.occupied-o.slots+1)
	o.expectedFinish = c.RoundTrip + o.serviceTime() +
		o.serviceTime()*time.Duration(completionsBefore)/time.Duration(o.slots)
	return o
}

// serviceTime returns the mean latency that the coordinator observed, else the one that the agent
// reported.
func (o *option) serviceTime() time.Duration {
	switch {
	case o.target.health.meanLatency > 0:
		return o.target.health.meanLatency
	case o.candidate.Load.Latency > 0:
		return o.candidate.Load.Latency
	}
	return defaultServiceTime
}

func (c *Candidate) warmFraction() float64 {
	if c.Load.Reported.IsZero() || c.Load.WarmFraction <= 0 || c.Load.WarmFraction > 1 {
		return 1
	}
	return c.Load.WarmFraction
}

// occupiedSlots estimates the number of busy slots and queued requests: the newest report,
// corrected by the attempts dispatched and finished here since, but at least the attempts in
// progress from here.
func (t *targetState) occupiedSlots(now time.Time, c *Candidate) int {
	if c.Local {
		return max(c.Load.Busy+c.Load.Queued, len(t.inflight))
	}
	if c.Load.Reported.Sub(t.reportTime) > reportJitter {
		t.reportTime = c.Load.Reported
		t.sinceReport = 0
	}
	if c.Load.Reported.IsZero() || now.Sub(c.Load.Reported) > reportStaleAfter {
		return len(t.inflight)
	}
	return max(c.Load.Busy+c.Load.Queued+t.sinceReport, len(t.inflight))
}

// bestOption chooses among the coordinator's own data centre if it has a free slot. Otherwise it
// compares the best options inside and outside of it by expected finish.
func (d *Dispatcher) bestOption(options []option) *option {
	own, others := d.splitByDataCentre(options)
	if o := d.twoChoices(own, true); o != nil {
		return o
	}
	a, b := d.twoChoices(own, false), d.twoChoices(others, true)
	if b == nil {
		b = d.twoChoices(others, false)
	}
	if a == nil || (b != nil && b.expectedFinish < a.expectedFinish) {
		return b
	}
	return a
}

func (d *Dispatcher) splitByDataCentre(options []option) (own, others []*option) {
	for i := range options {
		o := &options[i]
		if o.candidate.DataCentre == d.dataCentre {
			own = append(own, o)
		} else {
			others = append(others, o)
		}
	}
	return own, others
}

// twoChoices draws two of the options, with onlyFree only those with a free slot, and returns the
// less occupied one. It returns nil if there is none.
func (d *Dispatcher) twoChoices(options []*option, onlyFree bool) *option {
	if onlyFree {
		options = slices.DeleteFunc(slices.Clone(options), func(o *option) bool { return !o.hasFreeSlot() })
	}
	switch len(options) {
	case 0:
		return nil
	case 1:
		return options[0]
	}
	i := d.random(len(options))
	j := d.random(len(options) - 1)
	if j >= i {
		j++
	}
	a, b := options[i], options[j]
	if b.isBetter(a) {
		return b
	}
	return a
}

// isBetter compares by occupancy in proportion to slots, then by expected finish.
func (o *option) isBetter(p *option) bool {
	mine, other := o.occupied*p.slots, p.occupied*o.slots
	if mine != other {
		return mine < other
	}
	return o.expectedFinish < p.expectedFinish
}

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Success     Result = iota // the target responded
	Refused                   // not run by the target or its agent: busy, draining or cancelled before the start
	Failure                   // no response
	Unreachable               // no connection to the agent: the target is ejected at once
)

// RecordResult records the result of a dispatched attempt.
func (d *Dispatcher) RecordResult(now time.Time, ticket Ticket, r Result) {
	t, ok := d.targets[ticket.Target]
	if !ok {
		return
	}
	began, ok := t.inflight[ticket.serial]
	if !ok {
		return
	}
	delete(t.inflight, ticket.serial)
	// A report that is newer than the dispatch counts this attempt as busy, so its end is
	// subtracted in either case.
	t.sinceReport--
	t.health.recordResult(now, now.Sub(began), r)
}

// Prune removes the state of targets that are no longer in the pool and have no attempt in
// progress.
func (d *Dispatcher) Prune(pool []Candidate) {
	for id, t := range d.targets {
		present := slices.ContainsFunc(pool, func(c Candidate) bool { return c.ID == id })
		if !present && len(t.inflight) == 0 {
			delete(d.targets, id)
		}
	}
}

// IsOutlier reports whether a target gets no new work, or only probes, because of its observed
// latency or failures.
func (d *Dispatcher) IsOutlier(id ident.NodeID) bool {
	t, ok := d.targets[id]
	return ok && t.health.state != healthy
}

func (d *Dispatcher) stateOf(id ident.NodeID) *targetState {
	t, ok := d.targets[id]
	if !ok {
		t = &targetState{inflight: map[uint64]time.Time{}}
		d.targets[id] = t
	}
	return t
}
