package measure

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"lacewinglever.dev/bench/fleet"
	"lacewinglever.dev/bench/load"
)

// Sizes and times of the load on both users' pools.
const (
	quickService   = 120 * time.Millisecond // of commands and bookings; longer than in the demo, so that the machine isn't the limit
	slowService    = 200 * time.Millisecond
	utilisation    = 0.7
	surge          = 3   // offered load, in capacities
	feedsPerTarget = 500 // of 2,000 at the users
	feedInterval   = 4 * time.Second
	feedChurn      = 20 // feeds a second and service that are replaced
	connections    = 32 // of the callers, per service
	steadyFor      = 24 * time.Second
	busyWindow     = 10 * time.Second
	slowBy         = 800 * time.Millisecond
	slowBound      = 3 * time.Second
	watchSlowFor   = 5 * time.Second // after the bound
	surgeFor       = 13 * time.Second
	loadEnd        = 20 * time.Second
)

// userLoad is a request service with its kind of request.
var userLoads = []struct {
	service string
	request load.Request
}{
	{fleet.RoomControl, fleet.Setpoint}, {fleet.Reports, fleet.Report}, {fleet.SlotDesk, fleet.Booking}, {fleet.Records, fleet.Certificate},
}

// loadRun is the fleet under load.
type loadRun struct {
	*fleet.Fleet
	*report
}

// underLoad measures both users' pools at today's sizes.
func underLoad(ctx context.Context, r *report) error {
	services := fleet.Today()
	for i := range services {
		s := &services[i]
		switch {
		case s.Kind == "feed":
		case s.Targets == 7:
			s.ServiceTime = quickService
		default:
			s.ServiceTime = slowService
		}
	}
	o := fleet.Options{
		Bin: r.Bin, PortBase: r.PortBase, Seed: seed, Entries: []int{1, 2, 3}, Services: services, Links: fleet.TodaysLinks(),
	}
	return run(ctx, o, func(f *fleet.Fleet) error {
		l := &loadRun{f, r}
		// The figures of a machine that is busy with other work say little.
		l.add("load average before the load", float64(runtime.NumCPU()), "cores", loadAverage(), "processes")
		if err := l.steady(ctx); err != nil {
			return err
		}
		for _, name := range []string{fleet.RoomControl, fleet.SlotDesk} {
			if err := l.surge(ctx, name); err != nil {
				return err
			}
		}
		return nil
	})
}

// loadAverage returns the machine's load average over a minute, 0 if unknown.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	average, _ := strconv.ParseFloat(first, 64)
	return average
}

// capacity is the requests a second that a service's targets can serve.
func (l *loadRun) capacity(name string) float64 {
	for i := range l.Services {
		if s := &l.Services[i]; s.FullName() == name {
			return float64(s.Targets*s.Slots) / s.ServiceTime.Seconds()
		}
	}
	return 0
}

// requests returns a load of one service.
func (l *loadRun) requests(name string, request load.Request, rate float64) (load.Requests, error) {
	q, err := l.RequestLoad(name, rate, request)
	q.Connections, q.InFlight = connections, 4000
	return q, err
}

// steady measures even load at utilisation with feeds, then with a slow target in each of the larger pools.
func (l *loadRun) steady(ctx context.Context) error {
	c := load.Config{Duration: time.Minute, Seed: seed}
	for _, name := range []string{fleet.RoomFeed, fleet.SlotFeed} {
		feeds, err := l.FeedLoad(name, 7*feedsPerTarget)
		if err != nil {
			return err
		}
		feeds.Interval, feeds.Churn = feedInterval, feedChurn
		c.Feeds = append(c.Feeds, feeds)
	}
	for _, u := range userLoads {
		q, err := l.requests(u.service, u.request, utilisation*l.capacity(u.service))
		if err != nil {
			return err
		}
		c.Requests = append(c.Requests, q)
	}
	if err := l.StartLoad(ctx, "steady", c); err != nil {
		return err
	}
	time.Sleep(steadyFor)
	before, err := l.LoadReport(ctx, "steady")
	if err != nil {
		return err
	}
	l.noteFeeds(before)
	l.noteRequests(ctx, before, "at 70%")
	for _, agent := range []string{"room-control-1", "slot-desk-1"} {
		if err := l.slow(ctx, agent); err != nil {
			return err
		}
	}
	last, err := l.StopLoad(ctx, "steady", loadEnd)
	if err != nil {
		return err
	}
	for _, fault := range last.Faults() {
		l.add("fault: "+fault, 1, "run", 1, "")
	}
	for i := range last.Feeds {
		l.add(last.Feeds[i].Service+": broken feeds", float64(last.Feeds[i].Opened), "feeds", float64(last.Feeds[i].Broken), "feeds")
	}
	for i := range last.Requests {
		q := &last.Requests[i]
		l.add(q.Service+": unknown, with a slow target", float64(q.Started), "requests", float64(q.Unknown), "requests")
	}
	return nil
}

func (l *loadRun) noteFeeds(r *load.Report) {
	for i := range r.Feeds {
		f := &r.Feeds[i]
		l.add(f.Service+": connections", float64(f.Opened), "feeds", f.Pool.ConnectionImbalance, "max/mean")
		l.add(f.Service+": latency p99", float64(f.Opened), "feeds", float64(f.Latency.P99)/1000, "ms")
	}
}

// noteRequests notes the evenness over windows that lie wholly in the load, and the retries.
func (l *loadRun) noteRequests(ctx context.Context, r *load.Report, when string) {
	for i := range r.Requests {
		q := &r.Requests[i]
		var sum, most float64
		windows := 0
		for _, s := range q.Pool.Samples {
			if s.Second > (busyWindow + 2*time.Second).Seconds() {
				sum += s.Busy
				most = max(most, s.Busy)
				windows++
			}
		}
		started := float64(q.Started)
		l.add(q.Service+" "+when+": busy, mean of windows", started, "requests", sum/float64(max(windows, 1)), "max/mean")
		l.add(q.Service+" "+when+": busy, worst window", started, "requests", most, "max/mean")
		l.add(q.Service+" "+when+": answered", started, "requests", 100*float64(q.Answered)/max(started, 1), "%")
		l.add(q.Service+" "+when+": latency p99", started, "requests", float64(q.Latency.P99)/1000, "ms")
		l.add(q.Service+" "+when+": retries", started, "requests", 100*l.retries(ctx, q.Service), "% of requests")
	}
}

// retries returns the agents' retries per request since their start.
func (l *loadRun) retries(ctx context.Context, service string) float64 {
	var requests, retries float64
	for _, name := range l.Agents(service) {
		m, err := l.Metrics(ctx, name)
		if err != nil {
			continue
		}
		requests += m["lacewing_requests_total"]
		retries += m["lacewing_request_retries_total"]
	}
	return retries / max(requests, 1)
}

// slow makes a target slow while it reports that it is idle, and counts its runs after the time by which it must have lost new work.
func (l *loadRun) slow(ctx context.Context, agent string) error {
	runs := func() (int, error) {
		s, err := l.Stats(ctx, agent)
		return s.Runs + s.Waiting, err
	}
	first, err := runs()
	if err != nil {
		return err
	}
	if err := l.SetMode(ctx, agent, fmt.Sprintf(`{"slow":%d,"mislead":true}`, slowBy)); err != nil {
		return err
	}
	time.Sleep(slowBound)
	atBound, err := runs()
	if err != nil {
		return err
	}
	time.Sleep(watchSlowFor)
	last, err := runs()
	if err != nil {
		return err
	}
	l.add(agent+" slow: runs before the bound", slowBound.Seconds(), "s", float64(atBound-first)/slowBound.Seconds(), "runs/s")
	l.add(agent+" slow: runs after the bound", watchSlowFor.Seconds(), "s", float64(last-atBound)/watchSlowFor.Seconds(), "runs/s")
	return l.SetMode(ctx, agent, `{"slow":0,"mislead":false}`)
}

// surge offers several times the capacity of one service.
func (l *loadRun) surge(ctx context.Context, name string) error {
	capacity := l.capacity(name)
	c := load.Config{Duration: time.Minute, Seed: seed}
	for _, u := range userLoads {
		if u.service != name {
			continue
		}
		q, err := l.requests(name, u.request, surge*capacity)
		if err != nil {
			return err
		}
		c.Requests = append(c.Requests, q)
	}
	key := "surge-" + name[len(name)-4:]
	if err := l.StartLoad(ctx, key, c); err != nil {
		return err
	}
	const begin = 3 * time.Second // connections are open by then
	time.Sleep(begin)
	before, err := l.LoadReport(ctx, key)
	if err != nil {
		return err
	}
	time.Sleep(surgeFor - begin)
	after, err := l.LoadReport(ctx, key)
	if err != nil {
		return err
	}
	a, b := &before.Requests[0], &after.Requests[0]
	seconds := after.Seconds - before.Seconds
	rate := float64(b.Answered-a.Answered) / seconds
	l.add(name+" at 3x: offered", capacity, "requests/s capacity", float64(b.Started-a.Started+b.Skipped-a.Skipped)/seconds, "requests/s")
	l.add(name+" at 3x: goodput", capacity, "requests/s capacity", 100*rate/capacity, "% of capacity")
	l.add(name+" at 3x: not run", capacity, "requests/s capacity", float64(b.NotRun-a.NotRun)/seconds, "requests/s")
	l.add(name+" at 3x: unknown", capacity, "requests/s capacity", float64(b.Unknown-a.Unknown)/seconds, "requests/s")
	l.add(name+" at 3x: not sent by the caller", capacity, "requests/s capacity", float64(b.Skipped-a.Skipped)/seconds, "requests/s")
	l.add(name+" at 3x: latency p99", capacity, "requests/s capacity", float64(b.Latency.P99)/1000, "ms")
	l.add(name+" at 3x: retries", capacity, "requests/s capacity", 100*l.retries(ctx, name), "% of requests")
	last, err := l.StopLoad(ctx, key, loadEnd)
	if err != nil {
		return err
	}
	for _, fault := range last.Faults() {
		l.add("fault: "+fault, 1, "run", 1, "")
	}
	return nil
}
