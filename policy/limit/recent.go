package limit

import "time"

// recentBuckets is the number of buckets, of one second each, in the window of RecentMean.
const recentBuckets = 5

// RecentMean is the mean service time over the last 5 s. Older times drop out, so that a target
// which gets no work isn't judged by its past forever. It is not safe for concurrent use.
type RecentMean struct {
	sum     [recentBuckets]time.Duration
	count   [recentBuckets]int
	current int64 // number of the newest bucket since the epoch
}

// Observe adds a service time.
func (r *RecentMean) Observe(now time.Time, serviceTime time.Duration) {
	r.advance(now)
	r.sum[r.current%recentBuckets] += serviceTime
	r.count[r.current%recentBuckets]++
}

// Mean returns the mean, 0 if there is no work to take it from. startTimes are those of the work in
// progress, which counts with its age if that exceeds the mean. A target that has stopped answering
// thus shows a growing mean.
func (r *RecentMean) Mean(now time.Time, startTimes []time.Time) time.Duration {
	r.advance(now)
	var sum time.Duration
	count := 0
	for i := range r.sum {
		sum += r.sum[i]
		count += r.count[i]
	}
	for _, startTime := range startTimes {
		age := now.Sub(startTime)
		if count == 0 || age > sum/time.Duration(count) {
			sum += age
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

func (r *RecentMean) advance(now time.Time) {
	bucket := now.Unix()
	if bucket-r.current >= recentBuckets {
		r.sum, r.count = [recentBuckets]time.Duration{}, [recentBuckets]int{}
		r.current = bucket
	}
	for r.current < bucket {
		r.current++
		r.sum[r.current%recentBuckets], r.count[r.current%recentBuckets] = 0, 0
	}
}
