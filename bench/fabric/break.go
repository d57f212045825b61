package fabric

import (
	"net"
	"net/http"
	"slices"
	"sync"

	"lacewinglever.dev/bench/program"
)

// relayed is one TCP connection between nodes, by the side that opened it.
type relayed struct {
	near     net.Conn
	from, to *end
}

// relays holds the TCP connections that are relayed at present.
type relays struct {
	mu  sync.Mutex
	all map[*relayed]struct{}
}

func (r *relays) add(c *relayed) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*relayed]struct{}{}
	}
	r.all[c] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.all, c)
	}
}

// breakOff resets the connections between two ends towards the side that opened them. What the fabric has already read from that side
// still arrives after the link's delay, as it would on a real network.
func (r *relays) breakOff(l Link) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := 0
	for c := range r.all {
		forth := slices.Contains(c.from.names, l.From) && slices.Contains(c.to.names, l.To)
		back := slices.Contains(c.from.names, l.To) && slices.Contains(c.to.names, l.From)
		if !forth && (l.OneWay || !back) {
			continue
		}
		if tcp, ok := c.near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.near.Close()
		broken++
	}
	return broken
}

// postBreak serves POST /break, whose body is a Link of which only the ends count.
func (f *Fabric) postBreak(w http.ResponseWriter, r *http.Request) {
	var l Link
	if err := program.ReadJSON(r, &l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.relays.breakOff(l) == 0 {
		http.Error(w, "no connection between "+l.From+" and "+l.To, http.StatusConflict)
	}
}
