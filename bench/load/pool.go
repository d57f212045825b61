package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"lacewinglever.dev/bench/target"
)

const (
	sampleInterval = time.Second
	sampleWindow   = 10 // number of sample intervals that a Sample covers
	statsTimeout   = 2 * time.Second
)

// snapshot has the counters of the targets that responded, by name.
type snapshot map[string]target.Stats

// logPosition is the position up to which a run log was read.
type logPosition struct {
	log      string // start of the log, which identifies the process
	runCount int
}

// pool polls the counters and the run logs of the targets of a pool.
type pool struct {
	urls   []string
	client *http.Client
	start  time.Time

	mu          sync.Mutex
	newFlows    map[string]float64 // per target since the mark, as seen by the callers
	mark        snapshot
	last        snapshot
	history     []snapshot // one per sample, newest last, at most sampleWindow+1
	samples     []Sample
	runs        []target.Run
	positions   map[string]logPosition // by URL
	unreadable  map[string]bool        // URLs whose log could not be read the last time
	runsMissing bool                   // a log could not be read or its process restarted, so runs may be missing
}

func newPool(urls []string) *pool {
	return &pool{
		urls: urls, client: &http.Client{Timeout: statsTimeout}, start: time.Now(), newFlows: map[string]float64{},
		mark: snapshot{}, last: snapshot{}, positions: map[string]logPosition{}, unreadable: map[string]bool{},
	}
}

// run takes samples until the context ends. It reads the run logs with each sample, so that little
// is lost when a target is killed.
func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		p.sample(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *pool) sample(ctx context.Context) {
	now := p.takeSnapshot(ctx)
	p.readRuns(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.mark) == 0 {
		p.mark = now
	}
	p.last = now
	p.history = append(p.history, now)
	if len(p.history) > sampleWindow+1 {
		p.history = p.history[1:]
	}
	first := p.history[0]
	p.samples = append(p.samples, Sample{
		Second:      time.Since(p.start).Seconds(),
		Connections: p.imbalance(connections(now)),
		NewFlows:    p.imbalance(difference(first, now, flowsOpened)),
		Busy:        p.imbalance(difference(first, now, busySeconds)),
	})
}

func (p *pool) takeSnapshot(ctx context.Context) snapshot {
	var mu sync.Mutex
	var running sync.WaitGroup
	all := snapshot{}
	for _, url := range p.urls {
		running.Go(func() {
			var s target.Stats
			if p.fetch(ctx, url+"/stats", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&s) }) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all[s.Target] = s
		})
	}
	running.Wait()
	return all
}

func (p *pool) fetch(ctx context.Context, url string, read func(*http.Response) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return read(response)
}

// readRuns reads the new lines of all run logs.
func (p *pool) readRuns(ctx context.Context) {
	for _, url := range p.urls {
		err := p.readLog(ctx, url)
		p.mu.Lock()
		p.unreadable[url] = err != nil
		p.runsMissing = p.runsMissing || err != nil
		p.mu.Unlock()
	}
}

func (p *pool) readLog(ctx context.Context, url string) error {
	p.mu.Lock()
	position := p.positions[url]
	p.mu.Unlock()
	var runs []target.Run
	log := ""
	err := p.fetch(ctx, fmt.Sprintf("%s/runs?%s=%d", url, target.QueryFrom, position.runCount), func(r *http.Response) error {
		log = r.Header.Get(target.HeaderLogStart)
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			var run target.Run
			if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
				return err
			}
			runs = append(runs, run)
		}
		return lines.Err()
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	restarted := position.log != "" && position.log != log
	if restarted {
		p.positions[url] = logPosition{log: log}
		p.runsMissing = true
	} else {
		p.runs = append(p.runs, runs...)
		p.positions[url] = logPosition{log, position.runCount + len(runs)}
	}
	p.mu.Unlock()
	if restarted {
		return p.readLog(ctx, url)
	}
	return nil
}

// recordNewFlow counts a new flow for the target that answered it.
func (p *pool) recordNewFlow(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newFlows[name]++
}

// setMark resets the counters that count from the last mark.
func (p *pool) setMark(ctx context.Context) {
	now := p.takeSnapshot(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mark, p.newFlows = now, map[string]float64{}
}

func (p *pool) currentReport() PoolReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := PoolReport{
		Targets: len(p.urls), Connections: connections(p.last), NewFlows: map[string]float64{},
		BusySeconds: difference(p.mark, p.last, busySeconds), Samples: append([]Sample(nil), p.samples...),
	}
	for name, n := range p.newFlows {
		r.NewFlows[name] = n
	}
	r.ConnectionImbalance = p.imbalance(r.Connections)
	r.NewFlowImbalance = p.imbalance(r.NewFlows)
	r.BusyImbalance = p.imbalance(r.BusySeconds)
	return r
}

// imbalance returns the largest value divided by the mean over all targets of the pool, 0 if all
// values are 0.
func (p *pool) imbalance(values map[string]float64) float64 {
	var total, largest float64
	for _, v := range values {
		total += v
		largest = max(largest, v)
	}
	if total == 0 {
		return 0
	}
	return largest * float64(len(p.urls)) / total
}

func connections(s snapshot) map[string]float64 {
	values := map[string]float64{}
	for name, stats := range s {
		values[name] = float64(stats.Flows)
	}
	return values
}

func flowsOpened(s target.Stats) float64 { return float64(s.FlowsOpened) }
func busySeconds(s target.Stats) float64 { return s.BusySeconds }

// difference returns the increase of a counter per target between two snapshots. For a target that
// restarted it is the value since the restart.
func difference(first, last snapshot, value func(target.Stats) float64) map[string]float64 {
	values := map[string]float64{}
	for name, stats := range last {
		values[name] = value(stats)
		if before := value(first[name]); before <= values[name] {
			values[name] -= before
		}
	}
	return values
}
