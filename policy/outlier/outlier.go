// Package outlier judges which targets of a pool answer so much worse than the others that they get less
// new work. It compares targets only with their own pool: if all of them are slow, the cause is load.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of the pool's median time above which a target is slow. The mean of
	// several exponentially distributed service times stays below it.
	slowFactor = 3
	// slowMargin is the smallest excess over the median that makes a target slow, so that the jitter of
	// fast services does not count.
	slowMargin = 20 * time.Millisecond
	// slowRange is the excess over the slow limit, as a part of it, at which a target has the least share.
	// A target that is 5 times slower than the median exceeds the limit by two thirds.
	slowRange = 1.0 / 3
	// failingMargin is the excess over the pool's median share of failed requests that makes a target
	// failing. One failed request of a target with few others is a share of 0.2.
	failingMargin = 0.2
	// failingRange is the excess over that limit at which a target has the least share.
	failingRange = 0.1
	// MinShare is the part of its usual new work that an outlier may still get. What it gets shows
	// whether it has recovered.
	MinShare = 0.05
)

// Reasons of a verdict.
const (
	Slow    = "slow"
	Failing = "failing"
)

// Measurement is what is known of one target.
type Measurement struct {
	ID      uint64        // orders targets that are equally bad, so that all nodes judge alike
	Time    time.Duration // mean time of a request, 0 if unknown
	Failing float64       // share of the requests that failed or stay unanswered, 0 to 1
}

// Verdict is the judgement of one target.
type Verdict struct {
	Index  int     // of the target in the pool
	Share  float64 // part of its usual new work that the target gets, MinShare to 1
	Reason string
	Slow   bool // it exceeds the limit of the time, whatever the reason
}

// Limits are what a target of a pool may reach without being an outlier.
type Limits struct {
	Time    time.Duration // 0 if too few times are known to compare
	Failing float64
}

// Judge returns the verdicts of the outliers of a pool, worst first and at most maxOutliers, and the
// limits that they exceed. It reorders nothing and keeps no state.
func Judge(pool []Measurement, maxOutliers int) ([]Verdict, Limits) {
	limits := limitsOf(pool)
	var found []excess
	for i := range pool {
		if e := limits.excessOf(&pool[i]); e.amount > 0 {
			e.index = i
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b excess) int {
		return cmp.Or(cmp.Compare(b.amount, a.amount), cmp.Compare(pool[a.index].ID, pool[b.index].ID))
	})
	verdicts := make([]Verdict, 0, max(0, min(len(found), maxOutliers)))
	for _, e := range found[:cap(verdicts)] {
		verdicts = append(verdicts, Verdict{Index: e.index, Share: 1 - (1-MinShare)*min(1, e.amount),
			Reason: e.reason, Slow: limits.Time > 0 && pool[e.index].Time > limits.Time})
	}
	return verdicts, limits
}

// excess is by how much a target exceeds a limit: 1 or more means the least share.
type excess struct {
	index  int
	amount float64
	reason string
}

func (l Limits) excessOf(m *Measurement) excess {
	failing := excess{amount: (m.Failing - l.Failing) / failingRange, reason: Failing}
	if l.Time == 0 {
		return failing
	}
	slow := excess{amount: float64(m.Time-l.Time) / (slowRange * float64(l.Time)), reason: Slow}
	if slow.amount > failing.amount {
		return slow
	}
	return failing
}

// limitsOf returns the limits of a pool.
func limitsOf(pool []Measurement) Limits {
	times := make([]time.Duration, 0, len(pool))
	failing := make([]float64, 0, len(pool))
	for i := range pool {
		if pool[i].Time > 0 {
			times = append(times, pool[i].Time)
		}
		failing = append(failing, pool[i].Failing)
	}
	l := Limits{Failing: failingMargin}
	if len(failing) > 0 {
		if usual := median(failing); usual > failingMargin { // the cause is not in single targets
			l.Failing = 1
		} else {
			l.Failing += usual
		}
	}
	if len(times) > 1 {
		typical := median(times)
		l.Time = max(slowFactor*typical, typical+slowMargin)
	}
	return l
}

// median returns the lower median, and sorts the values.
func median[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// MaySplit reports whether a pool may have outliers, given the least and the greatest known time and the
// greatest failing share. It saves most pools the sorting.
func MaySplit(least, greatest time.Duration, failing float64) bool {
	return greatest > slowFactor*least || failing > failingMargin
}

// recoveryConfirmation is how long a target must be without a verdict before Watch reports its recovery.
// Its figures may exceed a limit again and again while it gets its work back.
const recoveryConfirmation = time.Second

// Watch reports the changes of the judgement of one target. The zero value is ready for use.
type Watch struct {
	judged   bool
	lastSeen time.Duration // time of the last verdict
}

// Update records the verdict of the target, nil if it is no outlier, and reports whether the judgement has
// changed.
func (w *Watch) Update(now time.Duration, v *Verdict) bool {
	if v != nil {
		w.lastSeen = now
		changed := !w.judged
		w.judged = true
		return changed
	}
	if w.judged && now-w.lastSeen > recoveryConfirmation {
		w.judged = false
		return true
	}
	return false
}

// Judged reports whether the target is judged an outlier.
func (w *Watch) Judged() bool { return w.judged }
