package fabric

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// end is one end of a link: the names that links may use for it, the most specific first.
type end struct{ names []string }

type ends struct{ from, to *end }

type direction struct{ from, to string }

// path is the way from one end to another under the present links.
type path struct {
	link    Link
	lastDue atomic.Int64 // keeps jitter from reordering datagrams
}

// links holds the quality of every way. Paths are computed once and forgotten when a link changes.
type links struct {
	mu    sync.RWMutex
	rules map[direction]Link
	paths map[ends]*path

	randMu sync.Mutex
	rand   *rand.Rand
}

func newLinks(seed uint64, list []Link) *links {
	l := &links{rules: map[direction]Link{}, paths: map[ends]*path{}, rand: rand.New(rand.NewPCG(seed, 1))}
	for _, link := range list {
		l.set(link)
	}
	return l
}

// set replaces the link between two ends.
func (l *links) set(link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules[direction{link.From, link.To}] = link
	if !link.OneWay {
		l.rules[direction{link.To, link.From}] = link
	}
	l.paths = map[ends]*path{}
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

func (l *links) path(from, to *end) *path {
	key := ends{from, to}
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

func (l *links) resolve(from, to *end) Link {
	var found Link
	var ok, cut bool
	for _, a := range from.names {
		for _, b := range to.names {
			rule, is := l.rules[direction{a, b}]
			cut = cut || rule.Cut
			if is && !ok {
				found, ok = rule, true
			}
		}
	}
	found.Cut = cut
	return found
}

// chance tells whether an event of this probability happens now.
func (l *links) chance(p float64) bool {
	if p == 0 {
		return false
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return l.rand.Float64() < p
}

func (l *links) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return time.Duration(l.rand.Int64N(int64(d)))
}

func (l *links) pick(n int) int {
	l.randMu.Lock()
	defer l.randMu.Unlock()
	return l.rand.IntN(n)
}

// due returns when a datagram that arrives now leaves the path. Datagrams keep their order unless the link reorders.
func (l *links) due(p *path, now time.Time) time.Time {
	at := now.Add(p.link.Delay + l.upTo(p.link.Jitter))
	if l.chance(p.link.Reorder) {
		return at.Add(l.upTo(2*p.link.Delay + time.Millisecond))
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
