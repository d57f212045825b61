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

// Parameters of the load on both users' pools.
const (
	// Service times of commands and bookings, and of reports and certificates.
	quickServiceTime      = 120 * time.Millisecond // longer than in the demo, so that the machine isn't the bottleneck
	slowServiceTime       = 200 * time.Millisecond
	utilisation           = 0.7
	surgeFactor           = 3   // offered load as a multiple of the capacity
	feedsPerTarget        = 500 // the users have 2,000
	feedInterval          = 4 * time.Second
	feedChurnPerSecond    = 20 // replaced feeds per second and service
	connectionsPerService = 32 // callers' connections per service
	steadyDuration        = 24 * time.Second
	busyWindow            = 10 * time.Second       // window of the samples of a load report
	slowDelay             = 800 * time.Millisecond // added to the service time of a slow target
	slowBound             = 3 * time.Second        // time until a slow target must not get new requests
	slowWindow            = 5 * time.Second        // observation of a slow target after slowBound
	surgeDuration         = 13 * time.Second
	loadStopTimeout       = 20 * time.Second // time limit for the end of a load
)

// userLoads are the users' request services with their kinds of requests.
var userLoads = []struct {
	service string
	request load.Request
}{
	{fleet.RoomControl, fleet.Setpoint}, {fleet.Reports, fleet.Report},
	{fleet.SlotDesk, fleet.Booking}, {fleet.Records, fleet.Certificate},
}

// loadRun is the fleet under load.
type loadRun struct {
	*fleet.Fleet
	*report
}

// measureLoad measures both users' pools at their current sizes under load.
func measureLoad(ctx context.Context, r *report) error {
	services := fleet.UserServices()
	for i := range services {
		s := &services[i]
		switch {
		case s.Kind == "feed":
		case s.Targets == 7:
			s.ServiceTime = quickServiceTime
		default:
			s.ServiceTime = slowServiceTime
		}
	}
	o := fleet.Options{
		Bin: r.Bin, PortBase: r.PortBase, Seed: seed, Entries: []int{1, 2, 3}, Services: services, Links: fleet.UserLinks(),
	}
	return withFleet(ctx, o, func(f *fleet.Fleet) error {
		l := &loadRun{f, r}
		// The figures are not meaningful if the machine is busy with other work.
		l.add("load average before the load", float64(runtime.NumCPU()), "cores", loadAverage(), "processes")
		if err := l.measureSteady(ctx); err != nil {
			return err
		}
		for _, name := range []string{fleet.RoomControl, fleet.SlotDesk} {
			if err := l.measureSurge(ctx, name); err != nil {
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

// capacity returns the requests per second that a service's targets can serve.
func (l *loadRun) capacity(name string) float64 {
	for i := range l.Services {
		if s := &l.Services[i]; s.FullName() == name {
			return float64(s.Targets*s.Slots) / s.ServiceTime.Seconds()
		}
	}
	return 0
}

// newRequests returns a load of requests to one service.
func (l *loadRun) newRequests(name string, request load.Request, rate float64) (load.Requests, error) {
	q, err := l.RequestLoad(name, rate, request)
	q.Connections, q.MaxInFlight = connectionsPerService, 4000
	return q, err
}

// measureSteady measures a steady load at utilisation together with feeds, and then with one slow
// target in each of the larger pools.
func (l *loadRun) measureSteady(ctx context.Context) error {
	c := load.Config{Duration: time.Minute, Seed: seed}
	for _, name := range []string{fleet.RoomFeed, fleet.SlotFeed} {
		feeds, err := l.FeedLoad(name, 7*feedsPerTarget)
		if err != nil {
			return err
		}
		feeds.Interval, feeds.ChurnRate = feedInterval, feedChurnPerSecond
		c.Feeds = append(c.Feeds, feeds)
	}
	for _, u := range userLoads {
		q, err := l.newRequests(u.service, u.request, utilisation*l.capacity(u.service))
		if err != nil {
			return err
		}
		c.Requests = append(c.Requests, q)
	}
	if err := l.StartLoad(ctx, "steady", c); err != nil {
		return err
	}
	time.Sleep(steadyDuration)
	before, err := l.LoadReport(ctx, "steady")
	if err != nil {
		return err
	}
	l.addFeeds(before)
	l.addRequests(ctx, before, "at 70%")
	for _, agent := range []string{"room-control-1", "slot-desk-1"} {
		if err := l.measureSlowTarget(ctx, agent); err != nil {
			return err
		}
	}
	last, err := l.StopLoad(ctx, "steady", loadStopTimeout)
	if err != nil {
		return err
	}
	for _, fault := range last.Violations() {
		l.add("fault: "+fault, 1, "run", 1, "")
	}
	for i := range last.Feeds {
		l.add(last.Feeds[i].Service+": broken feeds", float64(last.Feeds[i].Opened), "feeds",
			float64(last.Feeds[i].Broken), "feeds")
	}
	for i := range last.Requests {
		q := &last.Requests[i]
		l.add(q.Service+": unknown, with a slow target", float64(q.Started), "requests", float64(q.Unknown), "requests")
	}
	return nil
}

func (l *loadRun) addFeeds(r *load.Report) {
	for i := range r.Feeds {
		f := &r.Feeds[i]
		l.add(f.Service+": connections", float64(f.Opened), "feeds", f.Pool.ConnectionImbalance, "max/mean")
		l.add(f.Service+": latency p99", float64(f.Opened), "feeds", float64(f.Latency.P99)/1000, "ms")
	}
}

// addRequests reports the balance over windows that lie completely within the load, the answered
// requests, the latency and the retries.
func (l *loadRun) addRequests(ctx context.Context, r *load.Report, when string) {
	for i := range r.Requests {
		q := &r.Requests[i]
		var sum, worst float64
		windows := 0
		for _, s := range q.Pool.Samples {
			if s.Second > (busyWindow + 2*time.Second).Seconds() {
				sum += s.Busy
				worst = max(worst, s.Busy)
				windows++
			}
		}
		started := float64(q.Started)
		l.add(q.Service+" "+when+": busy, mean of windows", started, "requests", sum/float64(max(windows, 1)), "max/mean")
		l.add(q.Service+" "+when+": busy, worst window", started, "requests", worst, "max/mean")
		l.add(q.Service+" "+when+": answered", started, "requests", 100*float64(q.Answered)/max(started, 1), "%")
		l.add(q.Service+" "+when+": latency p99", started, "requests", float64(q.Latency.P99)/1000, "ms")
		l.add(q.Service+" "+when+": retries", started, "requests", 100*l.retriesPerRequest(ctx, q.Service), "% of requests")
	}
}

// retriesPerRequest returns the agents' retries per request since their start.
func (l *loadRun) retriesPerRequest(ctx context.Context, service string) float64 {
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

// measureSlowTarget slows a target down while it reports that it is idle, and reports the rate of
// its runs before and after slowBound.
func (l *loadRun) measureSlowTarget(ctx context.Context, agent string) error {
	runs := func() (int, error) {
		s, err := l.TargetStats(ctx, agent)
		return s.Runs + s.Waiting, err
	}
	first, err := runs()
	if err != nil {
		return err
	}
	if err := l.SetTargetMode(ctx, agent, fmt.Sprintf(`{"slow":%d,"mislead":true}`, slowDelay)); err != nil {
		return err
	}
	time.Sleep(slowBound)
	atBound, err := runs()
	if err != nil {
		return err
	}
	time.Sleep(slowWindow)
	last, err := runs()
	if err != nil {
		return err
	}
	l.add(agent+" slow: runs before the bound", slowBound.Seconds(), "s",
		float64(atBound-first)/slowBound.Seconds(), "runs/s")
	l.add(agent+" slow: runs after the bound", slowWindow.Seconds(), "s",
		float64(last-atBound)/slowWindow.Seconds(), "runs/s")
	return l.SetTargetMode(ctx, agent, `{"slow":0,"mislead":false}`)
}

// measureSurge measures one service when several times its capacity is offered.
func (l *loadRun) measureSurge(ctx context.Context, name string) error {
	capacity := l.capacity(name)
	c := load.Config{Duration: time.Minute, Seed: seed}
	for _, u := range userLoads {
		if u.service != name {
			continue
		}
		q, err := l.newRequests(name, u.request, surgeFactor*capacity)
		if err != nil {
			return err
		}
		c.Requests = append(c.Requests, q)
	}
	key := "surge-" + name[len(name)-4:]
	if err := l.StartLoad(ctx, key, c); err != nil {
		return err
	}
	const begin = 3 * time.Second // all connections are open after this time
	time.Sleep(begin)
	before, err := l.LoadReport(ctx, key)
	if err != nil {
		return err
	}
	time.Sleep(surgeDuration - begin)
	after, err := l.LoadReport(ctx, key)
	if err != nil {
		return err
	}
	a, b := &before.Requests[0], &after.Requests[0]
	seconds := after.Seconds - before.Seconds
	rate := float64(b.Answered-a.Answered) / seconds
	l.add(name+" at 3x: offered", capacity, "requests/s capacity",
		float64(b.Started-a.Started+b.Skipped-a.Skipped)/seconds, "requests/s")
	l.add(name+" at 3x: goodput", capacity, "requests/s capacity", 100*rate/capacity, "% of capacity")
	l.add(name+" at 3x: not run", capacity, "requests/s capacity", float64(b.NotRun-a.NotRun)/seconds, "requests/s")
	l.add(name+" at 3x: unknown", capacity, "requests/s capacity", float64(b.Unknown-a.Unknown)/seconds, "requests/s")
	l.add(name+" at 3x: not sent by the caller", capacity, "requests/s capacity",
		float64(b.Skipped-a.Skipped)/seconds, "requests/s")
	l.add(name+" at 3x: latency p99", capacity, "requests/s capacity", float64(b.Latency.P99)/1000, "ms")
	l.add(name+" at 3x: retries", capacity, "requests/s capacity", 100*l.retriesPerRequest(ctx, name), "% of requests")
	last, err := l.StopLoad(ctx, key, loadStopTimeout)
	if err != nil {
		return err
	}
	for _, fault := range last.Violations() {
		l.add("fault: "+fault, 1, "run", 1, "")
	}
	return nil
}
