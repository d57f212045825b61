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
	sampleEvery  = time.Second
	sampleWindow = 10 // samples that one Sample looks back over
	statsTimeout = 2 * time.Second
)

// snapshot is the counters of all targets that answered, by name.
type snapshot map[string]target.Stats

// position is how far a run log was read.
type position struct {
	log   string // which process's log
	count int
}

// pool reads the counters and the run logs of a pool's targets.
type pool struct {
	urls   []string
	client *http.Client
	start  time.Time

	mu       sync.Mutex
	newFlows map[string]float64 // as the callers see it, since the mark
	mark     snapshot
	last     snapshot
	history  []snapshot // one per sample, the newest last, at most sampleWindow
	samples  []Sample
	runs     []target.Run
	read     map[string]position // per URL
	unread   map[string]bool     // URLs whose log could not be read the last time
	lost     bool                // runs may be missing, because a log was out of reach or its process restarted
}

func newPool(urls []string) *pool {
	return &pool{
		urls: urls, client: &http.Client{Timeout: statsTimeout}, start: time.Now(), newFlows: map[string]float64{},
		mark: snapshot{}, last: snapshot{}, read: map[string]position{}, unread: map[string]bool{},
	}
}

// run samples until the context ends. Run logs are read all along, so that little is lost when a target is killed.
func (p *pool) run(ctx context.Context) {
	tick := time.NewTicker(sampleEvery)
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
	now := p.snapshot(ctx)
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
		NewFlows:    p.imbalance(delta(first, now, flowsOpened)),
		Busy:        p.imbalance(delta(first, now, busySeconds)),
	})
}

func (p *pool) snapshot(ctx context.Context) snapshot {
	var mu sync.Mutex
	var wait sync.WaitGroup
	all := snapshot{}
	for _, url := range p.urls {
		wait.Go(func() {
			var s target.Stats
			if p.get(ctx, url+"/stats", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&s) }) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all[s.Target] = s
		})
	}
	wait.Wait()
	return all
}

func (p *pool) get(ctx context.Context, url string, read func(*http.Response) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return read(answer)
}

// readRuns reads what is new in the run logs.
func (p *pool) readRuns(ctx context.Context) {
	for _, url := range p.urls {
		err := p.readLog(ctx, url)
		p.mu.Lock()
		p.unread[url] = err != nil
		p.lost = p.lost || err != nil
		p.mu.Unlock()
	}
}

func (p *pool) readLog(ctx context.Context, url string) error {
	p.mu.Lock()
	at := p.read[url]
	p.mu.Unlock()
	var runs []target.Run
	log := ""
	err := p.get(ctx, fmt.Sprintf("%s/runs?%s=%d", url, target.QueryFrom, at.count), func(r *http.Response) error {
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
	restarted := at.log != "" && at.log != log
	if restarted {
		p.read[url] = position{log: log}
		p.lost = true
	} else {
		p.runs = append(p.runs, runs...)
		p.read[url] = position{log, at.count + len(runs)}
	}
	p.mu.Unlock()
	if restarted {
		return p.readLog(ctx, url)
	}
	return nil
}

// opened notes the target that a new flow went to.
func (p *pool) opened(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newFlows[name]++
}

// setMark starts the counts since the mark anew.
func (p *pool) setMark(ctx context.Context) {
	now := p.snapshot(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mark, p.newFlows = now, map[string]float64{}
}

func (p *pool) result() PoolReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := PoolReport{
		Targets: len(p.urls), Connections: connections(p.last), NewFlows: map[string]float64{},
		BusySeconds: delta(p.mark, p.last, busySeconds), Samples: append([]Sample(nil), p.samples...),
	}
	for name, n := range p.newFlows {
		r.NewFlows[name] = n
	}
	r.ConnectionImbalance = p.imbalance(r.Connections)
	r.NewFlowImbalance = p.imbalance(r.NewFlows)
	r.BusyImbalance = p.imbalance(r.BusySeconds)
	return r
}

// imbalance is the largest value divided by the mean over all targets of the pool; 0 if there is no work.
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

// delta returns what each target did between two snapshots. A target that restarted counts from its start.
func delta(first, last snapshot, value func(target.Stats) float64) map[string]float64 {
	values := map[string]float64{}
	for name, stats := range last {
		values[name] = value(stats)
		if before := value(first[name]); before <= values[name] {
			values[name] -= before
		}
	}
	return values
}
