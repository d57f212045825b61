package flows

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

// Addresses of the services, as callers see them.
var (
	addressA = netip.MustParseAddrPort("198.18.0.1:8443")
	addressB = netip.MustParseAddrPort("198.18.0.2:8443")
)

const (
	readWithin    = 2 * time.Second
	commandWithin = 2500 * time.Millisecond
	tries         = 3
	// settle is how long after a disturbance the promises that hold for calm instances only are not checked.
	settle = 5 * time.Second
	// drainBound is the time after a confirmed drain from which a target gets no new flow, with slack for the measurement.
	drainBound = 3*time.Second + 200*time.Millisecond
	// routesBound is the time within which routes are in force.
	routesBound = 3 * time.Second
)

// Load is callers' work and what became of it.
type Load struct {
	cluster *Cluster
	callers []*platformtest.Caller
	stop    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	violations []string
	runs       map[string]int // of commands
	results    []result
	disturbed  time.Time // last disturbance that is not planned work
	next       int
}

type result struct {
	at     time.Time
	ok     bool
	detail string
}

// NewLoad returns a load. Its methods Ran and Altered are for the cluster that it will use.
func NewLoad() *Load { return &Load{runs: map[string]int{}, stop: make(chan struct{})} }

// Violate notes a broken promise.
func (l *Load) Violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Violations returns the broken promises.
func (l *Load) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.violations...)
}

// Disturb notes a disturbance that lasts until a time.
func (l *Load) Disturb(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbed) {
		l.disturbed = until
	}
}

// Calm tells whether nothing but planned work has happened for a while.
func (l *Load) Calm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.disturbed) > settle
}

// Ran checks a request that a target runs.
func (l *Load) Ran(r platformtest.Run) {
	service := map[netip.AddrPort]string{addressA: "a", addressB: "b"}[r.Flow.Service()]
	if service != "" && service != r.Service {
		l.Violate("%s for service %s ran at %s of service %s", r.ID, service, r.Target, r.Service)
	}
	if strings.HasPrefix(r.ID, "command") {
		l.mu.Lock()
		l.runs[r.ID]++
		n := l.runs[r.ID]
		l.mu.Unlock()
		if n > 1 {
			l.Violate("%s ran %d times", r.ID, n)
		}
	}
	for _, n := range l.cluster.Agents {
		t, _ := l.cluster.Target(n)
		if t == nil {
			continue
		}
		if at := t.DrainConfirmedAt(); t.Holds(r.Flow) && !at.IsZero() && r.Opened.Sub(at) > drainBound && l.Calm() {
			l.Violate("%s ran on a flow that %s took %v after its drain was confirmed", r.ID, r.Target, r.Opened.Sub(at))
		}
	}
}

// Altered notes a packet that a target got and nobody wrote.
func (l *Load) Altered() { l.Violate("a target got a packet that its sender didn't write so") }

// Start starts the callers: each zone's read on long flows, send commands and fetch reports on flows of their own.
func (l *Load) Start(c *Cluster, callers int) error {
	l.cluster = c
	for i := range callers {
		ip := netip.MustParseAddrPort(fmt.Sprintf("127.%d.220.%d:%d", c.o.Subnet, 1+i, portCallers))
		caller, err := platformtest.NewCaller(ip, c.Route)
		if err != nil {
			return err
		}
		l.callers = append(l.callers, caller)
		l.running.Go(func() { l.read(caller) })
		l.running.Go(func() { l.short(caller, "command", addressA, 300*time.Millisecond) })
		l.running.Go(func() { l.short(caller, "report", addressB, 400*time.Millisecond) })
	}
	return nil
}

// Stop ends the callers.
func (l *Load) Stop() {
	close(l.stop)
	l.running.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

func (l *Load) name(kind string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	return fmt.Sprintf("%s-%09d", kind, l.next)
}

func (l *Load) done(ok bool, detail string) {
	l.mu.Lock()
	l.results = append(l.results, result{time.Now(), ok, detail})
	l.mu.Unlock()
}

func (l *Load) pause(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// read keeps a flow open and reads on it. Reads may be repeated.
func (l *Load) read(c *platformtest.Caller) {
	var flow *platformtest.Flow
	for l.pause(150 * time.Millisecond) {
		id := l.name("read")
		outcome := platformtest.NotOpened
		for range tries {
			if flow == nil {
				if flow = c.Open(addressA); flow == nil {
					continue
				}
			}
			var ended bool
			held := l.holder(flow.ID)
			outcome, _, ended = flow.Request(id, readWithin)
			l.check(id, flow, outcome, held)
			if ended || outcome != platformtest.Answered {
				flow = nil
			}
			if outcome == platformtest.Answered {
				break
			}
		}
		l.done(outcome == platformtest.Answered, id+" "+string(outcome))
	}
}

// short sends requests on a flow each. A command is repeated only if its flow never opened.
func (l *Load) short(c *platformtest.Caller, kind string, to netip.AddrPort, every time.Duration) {
	for l.pause(every) {
		id := l.name(kind)
		outcome := platformtest.NotOpened
		for range tries {
			flow := c.Open(to)
			if flow == nil {
				continue
			}
			held := l.holder(flow.ID)
			outcome, _, _ = flow.Request(id, commandWithin)
			l.check(id, flow, outcome, held)
			flow.Close()
			if outcome == platformtest.Answered || kind == "command" {
				break
			}
		}
		l.done(outcome == platformtest.Answered, id+" "+string(outcome))
	}
}

// holder returns the target that holds a flow.
func (l *Load) holder(f steering.Flow) *platformtest.Target {
	for _, n := range l.cluster.Agents {
		if t, _ := l.cluster.Target(n); t != nil && t.Holds(f) {
			return t
		}
	}
	return nil
}

// check checks what a caller got.
func (l *Load) check(id string, f *platformtest.Flow, outcome platformtest.Outcome, held *platformtest.Target) {
	switch {
	case outcome == platformtest.WrongAnswer:
		l.Violate("%s on %s got an answer to another request", id, f.ID)
	case outcome == platformtest.WasReset && held != nil && held.Holds(f.ID) && l.Calm():
		l.Violate("%s: flow %s was reset though its target lives and holds it", id, f.ID)
	}
}

// Served returns the share of requests since a time that were answered, their number, and the first that were not.
func (l *Load) Served(since time.Time) (share float64, total int, missed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := 0
	for _, r := range l.results {
		if r.at.Before(since) {
			continue
		}
		total++
		if r.ok {
			ok++
		} else if len(missed) < 5 {
			missed = append(missed, r.detail)
		}
	}
	if total == 0 {
		return 0, 0, nil
	}
	return float64(ok) / float64(total), total, missed
}
