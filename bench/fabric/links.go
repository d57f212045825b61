package fabric

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is an endpoint of links: the names that rules may use for it, the most specific first.
type endpoint struct{ names []string }

type endpointPair struct{ from, to *endpoint }

type direction struct{ from, to string }

// path is the route from one endpoint to another with the link that currently applies to it.
type path struct {
	link    Link
	lastDue atomic.Int64 // nanoseconds since the epoch; prevents jitter from reordering datagrams
}

// links holds the rules for all links. Paths are resolved once and cached until a rule changes.
type links struct {
	mu    sync.RWMutex
	rules map[direction]Link
	paths map[endpointPair]*path

	randMu sync.Mutex
	rand   *rand.Rand
}

func newLinks(seed uint64, list []Link) *links {
	l := &links{rules: map[direction]Link{}, paths: map[endpointPair]*path{}, rand: rand.New(rand.NewPCG(seed, 1))}
	for _, link := range list {
		l.set(link)
	}
	return l
}

// set replaces the rule between two endpoints, for both directions unless the link is one-way.
func (l *links) set(link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules[direction{link.From, link.To}] = link
	if !link.OneWay {
		l.rules[direction{link.To, link.From}] = link
	}
	l.paths = map[endpointPair]*path{}
}

// list returns the rules, one per direction.
func (l *links) list() []Link {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var all []Link
	for d, link := range l.rules {
		link.From, link.To, link.OneWay = d.from, d.to, true
		all = append(all, link)
	}
	return all
}

// path returns the cached path between two endpoints and resolves it if necessary.
func (l *links) path(from, to *endpoint) *path {
	key := endpointPair{from, to}
	l.mu.RLock()
	p := l.paths[key]
	l.mu.RUnlock()
	if p != nil {
		return p
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p = l.paths[key]; p == nil {
		p = &path{link: l.resolve(from, to)}
		l.paths[key] = p
	}
	return p
}

// resolve returns the most specific matching link. It is cut if any matching link is cut.
func (l *links) resolve(from, to *endpoint) Link {
	var found Link
	var ok, cut bool
	for _, a := range from.names {
		for _, b := range to.names {
			rule, exists := l.rules[direction{a, b}]
			cut = cut || rule.Cut
			if exists && !ok {
				found, ok = rule, true
			}
		}
	}
	found.Cut = cut
	return found
}

// drawEvent draws whether an event of probability p occurs.
func (l *links) drawEvent(p float64) bool {
	if p == 0 {
		return false
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return l.rand.Float64() < p
}

// randomDuration draws a duration from 0 to d, d excluded.
func (l *links) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return time.Duration(l.rand.Int64N(int64(d)))
}

// randomIndex draws an index below n.
func (l *links) randomIndex(n int) int {
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return l.rand.IntN(n)
}

// due returns when a datagram that enters the path at now leaves it. Datagrams leave in order
// except for those that the link reorders.
func (l *links) due(p *path, now time.Time) time.Time {
	at := now.Add(p.link.Delay + l.randomDuration(p.link.Jitter))
	if l.drawEvent(p.link.Reorder) {
		return at.Add(l.randomDuration(2*p.link.Delay + time.Millisecond))
	}
	for {
		last := p.lastDue.Load()
		if at.UnixNano() < last {
			return time.Unix(0, last)
		}
		if p.lastDue.CompareAndSwap(last, at.UnixNano()) {
			return at
		}
	}
}
