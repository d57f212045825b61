package limit

import "time"

// recentBuckets of one second each are the window of Recent.
const recentBuckets = 5

// RecentMean is the mean service time over the last 5 s. It forgets, so that a target which gets no work is not judged by its past for ever. It
// is not safe for concurrent use.
type RecentMean struct {
	sum     [recentBuckets]time.Duration
	count   [recentBuckets]int
	current int64 // number of the newest bucket since the epoch
}

// Observe adds a service time.
func (r *RecentMean) Observe(now time.Time, service time.Duration) {
	r.advance(now)
	r.sum[r.current%recentBuckets] += service
	r.count[r.current%recentBuckets]++
}

// Mean returns the mean, 0 if nothing is known. Work in progress counts with its age where that is longer than the mean, so that a target
// that stopped answering shows.
func (r *RecentMean) Mean(now time.Time, began []time.Time) time.Duration {
	r.advance(now)
	var sum time.Duration
	count := 0
	for i := range r.sum {
		sum += r.sum[i]
		count += r.count[i]
	}
	for _, b := range began {
		age := now.Sub(b)
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
