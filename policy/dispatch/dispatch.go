// Package dispatch chooses the executor of a request: a target with a free slot, by fresh load and two random choices, in the own data
// centre unless another is expected to finish sooner. Targets that answer slowly or fail get no new work for a while, whatever they
// report. Time and randomness are passed in.
package dispatch

import (
	"math"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Candidate is a member of the pool as the coordinator sees it now.
type Candidate struct {
	ID         ident.NodeID
	DataCentre ident.DataCentre
	Usable     bool          // ready and not suspect
	Local      bool          // the load is read now, at the coordinator's own target
	RoundTrip  time.Duration // round trip to it
	Load       Load
}

// Load is a candidate's newest load report. Reported is zero if there is none, and then Slots may be 0.
type Load struct {
	Reported     time.Time
	Busy         int
	Queued       int
	Slots        int
	Latency      time.Duration // mean service time of recent requests as its agent measured it; 0 if unknown
	Shedding     bool
	WarmFraction float64 // 1 when warm; the part of its slots that may be used
}

// Constants of the choice.
const (
	// defaultService stands for the service time before the first answer.
	defaultService = 20 * time.Millisecond
	// reportJitter is the largest difference between two computations of the time of one report, which is known by its age.
	reportJitter = 20 * time.Millisecond
	// judgeInterval bounds how often the whole pool is compared.
	judgeInterval = 50 * time.Millisecond
	// staleAfter is the age at which a load report no longer counts.
	staleAfter = 2 * time.Second
)

// Dispatcher is one coordinator's choice of executors for one pool. It is not safe for concurrent use.
type Dispatcher struct {
	self    ident.DataCentre
	random  func(n int) int
	targets map[ident.NodeID]*target
	serial  uint64
	judged  time.Time
}

// New returns a dispatcher of a coordinator in this data centre. random returns a number in [0, n).
func New(self ident.DataCentre, random func(n int) int) *Dispatcher {
	return &Dispatcher{self: self, random: random, targets: map[ident.NodeID]*target{}}
}

// target is what the coordinator observed of one target.
type target struct {
	reported time.Time // of the load report that delta is relative to
	delta    int       // dispatched less finished since that report
	inflight map[uint64]time.Time
	health   health
}

// Ticket identifies a dispatched attempt until Finished is called with it.
type Ticket struct {
	Target ident.NodeID
	serial uint64
}

// option is a candidate that may be chosen.
type option struct {
	candidate *Candidate
	target    *target
	slots     int
	occupied  int
	finish    time.Duration // expected time until the answer
}

func (o *option) free() bool { return o.occupied < o.slots }

// Reason tells why Choose returned no target.
type Reason string

// Reasons of Choose.
const (
	Chosen            Reason = "chosen"
	NoUsableTarget    Reason = "no usable target"
	WouldMissDeadline Reason = "deadline before expected finish"
)

// Choose chooses the executor of an attempt that must start within patience, and counts it as dispatched. Excluded targets are taken only
// if there is no other, since a target that has just refused is likely to refuse again.
func (d *Dispatcher) Choose(now time.Time, pool []Candidate, excluded []ident.NodeID, patience time.Duration) (Ticket, Reason) {
	d.judge(now, pool)
	options := d.options(now, pool, excluded)
	if len(options) == 0 {
		options = d.options(now, pool, nil)
	}
	if len(options) == 0 {
		return Ticket{}, NoUsableTarget
	}
	best := d.best(options)
	if best.finish-best.service() > patience {
		return Ticket{}, WouldMissDeadline
	}
	return d.dispatch(now, best), Chosen
}

func (d *Dispatcher) dispatch(now time.Time, o *option) Ticket {
	d.serial++
	o.target.delta++
	o.target.inflight[d.serial] = now
	o.target.health.dispatched(now)
	return Ticket{Target: o.candidate.ID, serial: d.serial}
}

// options returns the candidates that may be chosen.
func (d *Dispatcher) options(now time.Time, pool []Candidate, excluded []ident.NodeID) []option {
	options := make([]option, 0, len(pool))
	for i := range pool {
		c := &pool[i]
		if !c.Usable || c.Load.Shedding || slices.Contains(excluded, c.ID) {
			continue
		}
		t := d.target(c.ID)
		if !t.health.accepts(now, len(t.inflight)) {
			continue
		}
		options = append(options, d.option(now, c, t))
	}
	return options
}

func (d *Dispatcher) option(now time.Time, c *Candidate, t *target) option {
	o := option{candidate: c, target: t, slots: max(c.Load.Slots, 1)}
	o.slots = max(int(math.Ceil(float64(o.slots)*c.warmth()*t.health.share(now))), 1)
	o.occupied = t.occupied(now, c)
	waves := max(0, o.occupied-o.slots+1)
	o.finish = c.RoundTrip + o.service() + o.service()*time.Duration(waves)/time.Duration(o.slots)
	return o
}

func (o *option) service() time.Duration {
	switch {
	case o.target.health.mean > 0:
		return o.target.health.mean
	case o.candidate.Load.Latency > 0:
		return o.candidate.Load.Latency
	}
	return defaultService
}

func (c *Candidate) warmth() float64 {
	if c.Load.Reported.IsZero() || c.Load.WarmFraction <= 0 || c.Load.WarmFraction > 1 {
		return 1
	}
	return c.Load.WarmFraction
}

// occupied estimates the slots taken and queued: the newest report, corrected by what was dispatched and finished here since, and never less
// than what is in progress from here.
func (t *target) occupied(now time.Time, c *Candidate) int {
	if c.Local {
		return max(c.Load.Busy+c.Load.Queued, len(t.inflight))
	}
	if c.Load.Reported.Sub(t.reported) > reportJitter {
		t.reported = c.Load.Reported
		t.delta = 0
	}
	if c.Load.Reported.IsZero() || now.Sub(c.Load.Reported) > staleAfter {
		return len(t.inflight)
	}
	return max(c.Load.Busy+c.Load.Queued+t.delta, len(t.inflight))
}

// best applies two choices within the own data centre if it has a free slot, and otherwise compares it with the others by expected finish.
func (d *Dispatcher) best(options []option) *option {
	own, others := d.split(options)
	if o := d.twoChoices(own, true); o != nil {
		return o
	}
	a, b := d.twoChoices(own, false), d.twoChoices(others, true)
	if b == nil {
		b = d.twoChoices(others, false)
	}
	if a == nil || (b != nil && b.finish < a.finish) {
		return b
	}
	return a
}

func (d *Dispatcher) split(options []option) (own, others []*option) {
	for i := range options {
		o := &options[i]
		if o.candidate.DataCentre == d.self {
			own = append(own, o)
		} else {
			others = append(others, o)
		}
	}
	return own, others
}

// twoChoices draws two of the options, only free ones if free is set, and returns the less occupied. It returns nil if there is none.
func (d *Dispatcher) twoChoices(options []*option, free bool) *option {
	if free {
		options = slices.DeleteFunc(slices.Clone(options), func(o *option) bool { return !o.free() })
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
	if b.better(a) {
		return b
	}
	return a
}

// better compares occupancy in proportion to slots, then the expected finish.
func (o *option) better(p *option) bool {
	mine, other := o.occupied*p.slots, p.occupied*o.slots
	if mine != other {
		return mine < other
	}
	return o.finish < p.finish
}

// Result tells how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Success     Result = iota // the target answered
	Refused                   // the target or its agent has not run it: too busy, draining, cancelled before it began
	Failure                   // no answer
	Unreachable               // no connection to its agent: new work stops at once
)

// RecordResult takes the result of a dispatched attempt.
func (d *Dispatcher) RecordResult(now time.Time, k Ticket, r Result) {
	t, ok := d.targets[k.Target]
	if !ok {
		return
	}
	began, ok := t.inflight[k.serial]
	if !ok {
		return
	}
	delete(t.inflight, k.serial)
	// A report from after the dispatch counts this attempt as busy, so its end is subtracted in either case.
	t.delta--
	t.health.finished(now, now.Sub(began), r)
}

// Prune drops what was observed of targets that are no longer in the pool.
func (d *Dispatcher) Prune(pool []Candidate) {
	for id, t := range d.targets {
		present := slices.ContainsFunc(pool, func(c Candidate) bool { return c.ID == id })
		if !present && len(t.inflight) == 0 {
			delete(d.targets, id)
		}
	}
}

// IsOutlier tells whether a target gets no new work, or only probes, because of what was observed of it.
func (d *Dispatcher) IsOutlier(id ident.NodeID) bool {
	t, ok := d.targets[id]
	return ok && t.health.state != healthy
}

func (d *Dispatcher) target(id ident.NodeID) *target {
	t, ok := d.targets[id]
	if !ok {
		t = &target{inflight: map[uint64]time.Time{}}
		d.targets[id] = t
	}
	return t
}
