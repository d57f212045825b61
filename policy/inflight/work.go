package inflight

import (
	"math"
	"slices"
	"time"
)

const (
	// workWindow is the time over which the time of work is averaged. A target that turns 5 times slower
	// exceeds 3 times its former mean within a second, at 20 answers per second.
	workWindow = 500 * time.Millisecond
	// minWorkWindow is the least number of the last answers that are averaged, at low rates.
	minWorkWindow = 16
	// minWorkSamples is the number of answers from which on the mean counts.
	minWorkSamples = 8
	// maxWorkFactor bounds the time of one request, as a multiple of the mean. A pool in which one request
	// in twenty takes 100 times as long as the others has no outliers by chance.
	maxWorkFactor = 5
	// workForgotten is the time without requests after which a former mean no longer counts.
	workForgotten = 3 * time.Second
	// recoveryTimeConstant is the time constant with which reported figures fall while the target answers.
	// A target gets new flows back over some 1 to 4 s after it is well, and one that turns slow and well
	// again every 1.5 s stays avoided.
	recoveryTimeConstant = 3 * time.Second
	// idleRecoveryTimeConstant is the one while it answers hardly any request. Without it, a target that
	// hangs and has lost its flows would get them back without having answered one.
	idleRecoveryTimeConstant = 12 * time.Second
	// enoughAnswers is the number of answers in a row, none older than answersForgotten, from which the first
	// of the two constants applies. The few flows that are left at a target that hangs may all be lucky.
	enoughAnswers    = 4
	answersForgotten = 2 * time.Second
	// maxRecoveryFactor is the multiple of the pool's mean, and maxRecoveryShare the share of unanswered
	// requests, from which the fall begins, so that the recovery of a target that has answered nothing
	// takes no longer.
	maxRecoveryFactor = 6
	maxRecoveryShare  = 0.4
	// unansweredFactor is the multiple of the pool's mean time from which a request counts as unanswered.
	// At most 1/unansweredFactor of all requests of a pool exceed it, whatever their distribution. A
	// greater share of one target therefore has another cause than long requests.
	unansweredFactor = 8
	// minUnansweredTime is the least such time: instances share processors, and stall for some 100 ms.
	minUnansweredTime = 250 * time.Millisecond
	// unansweredTime is that time while the pool's mean is unknown. It is below the time limits of callers,
	// of 1.2 s and more, and below maxRequestTime.
	unansweredTime = time.Second
	// minUnansweredShare is the share of unanswered requests from which it is reported, more than
	// 1/unansweredFactor. Less might weigh against targets of which none is an outlier.
	minUnansweredShare = 0.2
	// unansweredWindow is the time constant of the share of unanswered requests, and the time for which
	// those in a row count.
	unansweredWindow = time.Second
	// minUnanswered is the number of unanswered requests from which their share is reported, and of those
	// in a row that show a target that answers nothing. A single one may be a message that needs no answer.
	minUnanswered = 3
	// openingAnswerTime is the time within which a target that runs answers an opening packet.
	openingAnswerTime = 500 * time.Millisecond
	// maxCheckInterval is the interval of SetPool, usually 50 ms, from which the agent counts as stalled.
	// Answers may be unread then. An agent with a quarter of a core is often 100 ms late.
	maxCheckInterval = 250 * time.Millisecond
)

// work is the mean time of the last requests at a target.
type work struct {
	total float64 // seconds
	count float64
	last  time.Duration // time of the last sample
}

func (w *work) mean() float64 {
	if w.count < minWorkSamples {
		return 0
	}
	return w.total / w.count
}

// bounded returns the time of a request, in seconds, as far as it counts.
func (w *work) bounded(d time.Duration) float64 {
	if mean := w.mean(); mean > 0 {
		return min(d.Seconds(), maxWorkFactor*mean)
	}
	return d.Seconds()
}

func (w *work) add(now, d time.Duration) {
	sample := w.bounded(max(0, d))
	if w.count > 0 {
		keep := max(w.count*math.Exp(-float64(max(0, now-w.last))/float64(workWindow)), min(w.count, minWorkWindow-1))
		w.total *= keep / w.count
		w.count = keep
	}
	w.total += sample
	w.count++
	w.last = max(w.last, now)
}

// current returns the time of work, in seconds, 0 if unknown. pending is the time, in seconds, by which the
// requests in progress have already exceeded the mean.
func (w *work) current(pending float64) float64 {
	if mean := w.mean(); mean > 0 {
		return mean + pending/w.count
	}
	return 0
}

// heldFigure is a figure that rises at once and falls slowly, so that a target gets new flows back by degrees.
type heldFigure struct {
	value float64
	at    time.Duration
}

// update returns the figure, given its current value. Its fall begins at the value from at the latest.
func (h *heldFigure) update(now time.Duration, current, from float64, constant time.Duration) float64 {
	if current >= h.value {
		h.value = current
	} else {
		h.value = current + (min(h.value, max(current, from))-current)*math.Exp(-float64(max(0, now-h.at))/float64(constant))
	}
	h.at = max(h.at, now)
	return h.value
}

// SetPool tells the table the slots of the target, at least 1, and the mean time of a request in its
// pool, 0 if unknown. It is due several times per maxCheckInterval.
func (t *Table) SetPool(now time.Duration, slots int, meanTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stalled := now - t.checked; stalled > maxCheckInterval {
		for _, f := range t.order {
			f.lastBytes = min(now, max(f.lastBytes, f.workStart)+stalled)
		}
		for id, at := range t.offered {
			t.offered[id] = min(now, at+stalled)
		}
	}
	t.slots, t.poolTime, t.checked = max(slots, 1), meanTime, now
}

// beginWork adds the request of a flow. Targets serve requests in the order of arrival; those beyond the
// slots wait.
func (t *Table) beginWork(f *flow, objective time.Duration) {
	ahead := 0
	for _, g := range t.order {
		if !g.unanswered {
			ahead++
		}
	}
	f.unanswered, f.objective, f.workStart, f.queueTime = false, objective, notWorking, 0
	if ahead < t.slots {
		f.workStart = t.updated
	} else {
		rounds := (ahead-t.slots)/t.slots + 1
		f.queueTime = time.Duration(float64(rounds) * t.work.mean() * float64(time.Second))
	}
	t.order = append(t.order, f)
}

// endWork removes the request of a flow, and lets the next one begin.
func (t *Table) endWork(f *flow) {
	if i := slices.Index(t.order, f); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
	t.lastEnd = t.updated
	t.startWaiting()
}

func (t *Table) startWaiting() {
	free := t.slots
	for _, f := range t.order {
		if f.unanswered {
			continue
		}
		if free == 0 {
			return
		}
		free--
		if f.workStart == notWorking {
			f.workStart = t.updated
		}
	}
}

// recordWork records the time of an answered request without the time that it waited for a slot. A
// request that overtook those before it has begun after the last end of another one.
func (t *Table) recordWork(f *flow) {
	start := f.workStart
	if start == notWorking {
		start = t.lastEnd
	}
	t.work.add(t.updated, t.updated-max(start, f.lastBytes))
}

// unexplained returns the time of the request in progress beyond its wait for a slot.
func (f *flow) unexplained(now time.Duration) time.Duration {
	if f.workStart != notWorking {
		return now - max(f.workStart, f.lastBytes)
	}
	return min(now-f.requestStart-f.queueTime, now-f.lastBytes)
}

// isOverdue reports whether the answer to the request in progress is late by so much that it may never come.
func (t *Table) isOverdue(now time.Duration, f *flow) bool {
	limit := unansweredTime
	if t.poolTime > 0 {
		limit = max(minUnansweredTime, unansweredFactor*t.poolTime)
	}
	return f.unexplained(now) > max(limit, f.objective)
}

// checkUnanswered counts the requests and opening packets that have had no answer for too long.
func (t *Table) checkUnanswered(now time.Duration) {
	for _, f := range t.order {
		if !f.unanswered && t.isOverdue(now, f) {
			f.unanswered = true
			t.countUnanswered(now)
		}
	}
	t.startWaiting()
	for id, at := range t.offered {
		if now-at > openingAnswerTime {
			delete(t.offered, id)
			t.countUnanswered(now)
		}
	}
}

func (t *Table) countUnanswered(now time.Duration) {
	t.unanswered.add(now, unansweredWindow)
	t.unansweredInRow++
	t.answeredInRow = 0
}

// recordAnswer records that the target has answered the request of a flow.
func (t *Table) recordAnswer(now time.Duration, f *flow) {
	t.recordWork(f)
	t.unansweredInRow = 0
	if !f.unanswered {
		t.answered.add(now, unansweredWindow)
		t.answeredInRow++
	}
}

// recoveryConstant returns the time constant with which figures fall.
func (t *Table) recoveryConstant(now time.Duration) time.Duration {
	if t.answeredInRow >= enoughAnswers && now-t.answered.at <= answersForgotten {
		return recoveryTimeConstant
	}
	return idleRecoveryTimeConstant
}

// slowdown returns the mean time of a request without the time that it waits for a slot, 0 if unknown.
// Requests in progress count with what exceeds the mean, so that a target shows early that stops
// answering. The value falls slowly, see heldFigure.
func (t *Table) slowdown(now time.Duration) time.Duration {
	if now-t.work.last > workForgotten {
		t.work.total, t.work.count = 0, 0
	}
	pending := 0.0
	for _, f := range t.order {
		if d := f.unexplained(now); d > 0 && d < maxRequestTime {
			pending += max(0, t.work.bounded(d)-t.work.mean())
		}
	}
	current, from := t.work.current(pending), t.heldWork.value
	if t.poolTime > 0 {
		from = maxRecoveryFactor * t.poolTime.Seconds()
	}
	reported := time.Duration(t.heldWork.update(now, current, from, t.recoveryConstant(now)) * float64(time.Second))
	if current == 0 && reported < time.Millisecond {
		return 0
	}
	return reported
}

// failing returns the share of the requests that the target has broken off, and those that it left
// unanswered if they are too many to be long requests.
func (t *Table) failing(now time.Duration) float64 {
	broken := t.brokenOff.value(now, failureTimeConstant) / (t.ended.value(now, failureTimeConstant) + assumedAnswers)
	unanswered := t.unanswered.value(now, unansweredWindow)
	share := unanswered / (unanswered + t.answered.value(now, unansweredWindow) + 1)
	switch {
	case t.unansweredInRow >= minUnanswered && now-t.unanswered.at <= unansweredWindow:
		share = 1
	case unanswered < minUnanswered-1 && t.heldUnanswered.value <= minUnansweredShare:
		share = 0
	}
	if share = t.heldUnanswered.update(now, share, maxRecoveryShare, t.recoveryConstant(now)); share > minUnansweredShare {
		return min(1, broken+share)
	}
	return broken
}
