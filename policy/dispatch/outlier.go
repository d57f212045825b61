package dispatch

import (
	"time"

	"lacewinglever.dev/policy/outlier"
)

// Constants of the ejection of outliers. A target must get no new work within 3 s of becoming slow.
const (
	// newestSampleWeight is the weight of the newest latency in the moving average.
	newestSampleWeight = 0.25
	// minSamples is the number of responses from which on a mean latency counts.
	minSamples = 3
	// maxConsecutiveFailures is the number of failures in a row after which a target is ejected.
	maxConsecutiveFailures = 3
	// firstEjectionTime doubles with each further ejection, up to maxEjectionTime.
	firstEjectionTime = 2 * time.Second
	maxEjectionTime   = 30 * time.Second
	// probesToRecover is the number of probes in a row that must succeed.
	probesToRecover = 3
	// recoveryTime is the time over which a recovered target gets back all its slots.
	recoveryTime = 5 * time.Second
	// maxEjectedShare is the largest part of the pool that may be ejected. It is more than the third of
	// package steering: a slow target must lose its work in a pool of two as well.
	maxEjectedShare = 0.5
)

type healthState uint8

const (
	healthy healthState = iota
	ejected             // no new work until nextProbe
	probing             // one attempt at a time
)

// health is the outlier state of a target at one coordinator.
type health struct {
	state                healthState
	meanLatency          time.Duration // exponentially weighted moving average over responses
	samples              int
	consecutiveFailures  int
	nextProbe            time.Time // end of the ejection, or of the wait for the result of a probe
	consecutiveEjections int       // ejections without a lasting recovery between them
	successfulProbes     int       // in a row
	recoveredAt          time.Time
	slowLatency          time.Duration // latency above which a probe counts as slow; 0 if unknown
}

// acceptsAttempt reports whether the target may get another attempt.
func (h *health) acceptsAttempt(now time.Time, inflight int) bool {
	switch h.state {
	case ejected:
		// Attempts from before the ejection may hang, so the first probe does not wait for them.
		return !now.Before(h.nextProbe)
	case probing:
		return inflight == 0 || !now.Before(h.nextProbe)
	}
	return true
}

// usableShare returns the part of the slots that may be used.
func (h *health) usableShare(now time.Time) float64 {
	if h.state != healthy {
		return 0
	}
	if h.recoveredAt.IsZero() {
		return 1
	}
	return min(1, float64(now.Sub(h.recoveredAt))/float64(recoveryTime))
}

// beginProbe makes an attempt at an ejected target a probe. The next probe waits for its result, or
// for the time of another ejection.
func (h *health) beginProbe(now time.Time) {
	if h.state == healthy {
		return
	}
	h.state = probing
	h.nextProbe = now.Add(h.ejectionTime())
}

func (h *health) ejectionTime() time.Duration {
	return min(firstEjectionTime<<min(max(h.consecutiveEjections-1, 0), 8), maxEjectionTime)
}

func (h *health) eject(now time.Time) {
	if h.state == healthy && now.Sub(h.recoveredAt) > maxEjectionTime {
		h.consecutiveEjections = 0
	}
	h.consecutiveEjections++
	h.state = ejected
	h.successfulProbes = 0
	h.nextProbe = now.Add(h.ejectionTime())
}

func (h *health) recordResult(now time.Time, latency time.Duration, r Result) {
	switch r {
	case Refused:
		return // has no bearing on latency
	case Failure:
		h.recordFailure(now)
	case Unreachable:
		h.eject(now)
	case Success:
		h.recordSuccess(now, latency)
	}
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	if h.state == probing {
		h.eject(now)
	}
}

func (h *health) recordSuccess(now time.Time, latency time.Duration) {
	h.consecutiveFailures = 0
	if h.state != probing {
		h.addSample(latency)
		return
	}
	if h.slowLatency > 0 && latency > h.slowLatency {
		h.eject(now)
		return
	}
	h.successfulProbes++
	if h.successfulProbes < probesToRecover {
		return
	}
	h.state, h.recoveredAt = healthy, now
	h.meanLatency, h.samples = 0, 0
	h.addSample(latency)
}

func (h *health) addSample(latency time.Duration) {
	h.samples++
	if h.meanLatency == 0 {
		h.meanLatency = latency
		return
	}
	h.meanLatency += time.Duration(newestSampleWeight * float64(latency-h.meanLatency))
}

// latencyEstimate returns the mean latency. An attempt in progress counts with its present age if
// that is above the mean, so that a target that stops responding becomes slow too. It returns 0 if
// there are too few samples.
func (t *targetState) latencyEstimate(now time.Time) time.Duration {
	h := t.health
	for _, began := range t.inflight {
		if age := now.Sub(began); h.meanLatency > 0 && age > h.meanLatency {
			h.addSample(age)
		}
	}
	if h.samples < minSamples {
		return 0
	}
	return h.meanLatency
}

// ejectOutliers ejects targets that failed several times in a row or whose latency is far above the
// pool's median, as package outlier judges.
func (d *Dispatcher) ejectOutliers(now time.Time, pool []Candidate) {
	if now.Sub(d.lastOutlierCheck) < outlierCheckInterval {
		return
	}
	d.lastOutlierCheck = now
	measurements := make([]outlier.Measurement, 0, len(pool))
	judged := make([]*targetState, 0, len(pool)) // of the measurements
	for i := range pool {
		t := d.stateOf(pool[i].ID)
		if t.health.state != healthy {
			continue
		}
		m := outlier.Measurement{ID: uint64(pool[i].ID), Time: max(t.latencyEstimate(now), pool[i].reportedLatency(now))}
		if t.health.consecutiveFailures >= maxConsecutiveFailures {
			m.Failing = 1
		}
		measurements = append(measurements, m)
		judged = append(judged, t)
	}
	ejectedCount := len(pool) - len(judged)
	verdicts, limits := outlier.Judge(measurements, int(maxEjectedShare*float64(len(pool)))-ejectedCount)
	for i := range pool {
		d.stateOf(pool[i].ID).health.slowLatency = limits.Time
	}
	for _, v := range verdicts {
		judged[v.Index].health.eject(now)
	}
}

// reportedLatency returns the latency of requests that the target's agent reported, 0 if unknown.
func (c *Candidate) reportedLatency(now time.Time) time.Duration {
	if c.Load.Reported.IsZero() || now.Sub(c.Load.Reported) > reportStaleAfter {
		return 0
	}
	return c.Load.Latency
}
