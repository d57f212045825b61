package dispatch

import (
	"slices"
	"time"
)

// Constants of outlier detection. A target must lose new work within 3 s of becoming slow.
const (
	// slowFactor is how many times the pool's median latency makes a target slow. Service times that are exponentially distributed
	// stay below it, because the mean is over several requests.
	slowFactor = 3
	// slowMargin is the smallest excess over the median that counts, so that jitter of fast services does not.
	slowMargin = 20 * time.Millisecond
	// meanWeight is the weight of the newest latency in the mean.
	meanWeight = 0.25
	// minSamples is how many answers a mean needs before it counts.
	minSamples = 3
	// maxFailures in a row eject a target.
	maxFailures = 3
	// firstEjection doubles with each further one, up to maxEjection.
	firstEjection = 2 * time.Second
	maxEjection   = 30 * time.Second
	// probesToRecover is how many probes in a row must succeed.
	probesToRecover = 3
	// recovery is the time over which a recovered target gets back all its slots.
	recovery = 5 * time.Second
	// maxEjected is the largest part of the pool that may be ejected.
	maxEjected = 0.5
)

type healthState uint8

const (
	healthy healthState = iota
	ejected             // no new work until a time
	probing             // one attempt at a time
)

// health is a target's standing with one coordinator.
type health struct {
	state     healthState
	mean      time.Duration // exponentially weighted latency of answers
	samples   int
	failures  int // in a row
	until     time.Time
	ejections int // in a row, without a recovery that lasted
	probes    int // that succeeded in a row
	recovered time.Time
	limit     time.Duration // latency above which a probe counts as slow
}

// accepts tells whether the target may get another attempt.
func (h *health) accepts(now time.Time, inflight int) bool {
	switch h.state {
	case ejected:
		// Attempts from before the ejection may hang, so they don't hold back the first probe.
		return !now.Before(h.until)
	case probing:
		return inflight == 0 || !now.Before(h.until)
	}
	return true
}

// share returns the part of the slots that may be used.
func (h *health) share(now time.Time) float64 {
	if h.state != healthy {
		return 0
	}
	if h.recovered.IsZero() {
		return 1
	}
	return min(1, float64(now.Sub(h.recovered))/float64(recovery))
}

// dispatched begins a probe if the target was ejected. The next probe waits for its result, or for another ejection's time.
func (h *health) dispatched(now time.Time) {
	if h.state == healthy {
		return
	}
	h.state = probing
	h.until = now.Add(h.ejection())
}

func (h *health) ejection() time.Duration {
	return min(firstEjection<<min(max(h.ejections-1, 0), 8), maxEjection)
}

func (h *health) eject(now time.Time) {
	if h.state == healthy && now.Sub(h.recovered) > maxEjection {
		h.ejections = 0
	}
	h.ejections++
	h.state = ejected
	h.probes = 0
	h.until = now.Add(h.ejection())
}

func (h *health) finished(now time.Time, latency time.Duration, r Result) {
	switch r {
	case Refused:
		return // says nothing about latency
	case Failure:
		h.failed(now)
	case Unreachable:
		h.eject(now)
	case Success:
		h.succeeded(now, latency)
	}
}

func (h *health) failed(now time.Time) {
	h.failures++
	if h.state == probing {
		h.eject(now)
	}
}

func (h *health) succeeded(now time.Time, latency time.Duration) {
	h.failures = 0
	if h.state != probing {
		h.observe(latency)
		return
	}
	if h.limit > 0 && latency > h.limit {
		h.eject(now)
		return
	}
	h.probes++
	if h.probes < probesToRecover {
		return
	}
	h.state, h.recovered = healthy, now
	h.mean, h.samples = 0, 0
	h.observe(latency)
}

func (h *health) observe(latency time.Duration) {
	h.samples++
	if h.mean == 0 {
		h.mean = latency
		return
	}
	h.mean += time.Duration(meanWeight * float64(latency-h.mean))
}

// estimate returns the mean latency with the attempts in progress counted at their present age where that is longer, so that a target that
// stops answering becomes slow too. It returns 0 while too little is known.
func (t *target) estimate(now time.Time) time.Duration {
	h := t.health
	for _, began := range t.inflight {
		if age := now.Sub(began); h.mean > 0 && age > h.mean {
			h.observe(age)
		}
	}
	if h.samples < minSamples {
		return 0
	}
	return h.mean
}

// judge ejects targets that failed several times in a row or whose latency stands out from the pool's median.
func (d *Dispatcher) judge(now time.Time, pool []Candidate) {
	if now.Sub(d.judged) < judgeInterval {
		return
	}
	d.judged = now
	estimates := make([]time.Duration, len(pool))
	known := make([]time.Duration, 0, len(pool))
	out := 0
	for i := range pool {
		t := d.target(pool[i].ID)
		if t.health.state != healthy {
			out++
			continue
		}
		estimates[i] = max(t.estimate(now), pool[i].measured(now))
		if estimates[i] > 0 {
			known = append(known, estimates[i])
		}
	}
	limit := slowLimit(known)
	for i := range pool {
		t := d.target(pool[i].ID)
		t.health.limit = limit
		failing := t.health.state == healthy && t.health.failures >= maxFailures
		slow := limit > 0 && estimates[i] > limit
		if (failing || slow) && float64(out+1) <= maxEjected*float64(len(pool)) {
			t.health.eject(now)
			out++
		}
	}
}

// slowLimit returns the latency above which a target is slow, 0 if too few are known to compare.
func slowLimit(known []time.Duration) time.Duration {
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	median := known[(len(known)-1)/2]
	return max(slowFactor*median, median+slowMargin)
}

// measured returns the latency that the target's own agent measured on requests, 0 if unknown.
func (c *Candidate) measured(now time.Time) time.Duration {
	if c.Load.Reported.IsZero() || now.Sub(c.Load.Reported) > staleAfter {
		return 0
	}
	return c.Load.Latency
}
