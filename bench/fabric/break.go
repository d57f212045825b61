package fabric

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lacewinglever.dev/bench/cli"
)

// relayedConn is one relayed TCP connection between nodes. Its client is the side that opened it.
type relayedConn struct {
	client   net.Conn
	from, to *endpoint
	broken   atomic.Bool
}

// resetEOFDelay is the delay before the server of a broken connection reads end of file. A server
// that reads it directly after a request drops the request.
const resetEOFDelay = 3 * time.Second

// delayEOF waits for resetEOFDelay if the connection is broken. Otherwise it returns immediately.
func (c *relayedConn) delayEOF(ctx context.Context) {
	if !c.broken.Load() {
		return
	}
	select {
	case <-time.After(resetEOFDelay):
	case <-ctx.Done():
	}
}

// openConns is the set of TCP connections that are currently relayed.
type openConns struct {
	mu    sync.Mutex
	conns map[*relayedConn]struct{}
}

func (r *openConns) add(c *relayedConn) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		r.conns = map[*relayedConn]struct{}{}
	}
	r.conns[c] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}
}

// reset sends a TCP reset to the client of each connection between the link's endpoints and returns
// the number of such connections. Bytes that the fabric has already read from the client still
// reach the server after the link's delay, as on a real network.
func (r *openConns) reset(l Link) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for c := range r.conns {
		forward := slices.Contains(c.from.names, l.From) && slices.Contains(c.to.names, l.To)
		backward := slices.Contains(c.from.names, l.To) && slices.Contains(c.to.names, l.From)
		if !forward && (l.OneWay || !backward) {
			continue
		}
		if tcp, ok := c.client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.broken.Store(true)
		_ = c.client.Close()
		count++
	}
	return count
}

// postBreak serves POST /break. Only the endpoints and the one_way flag of the Link in the body are
// used.
func (f *Fabric) postBreak(w http.ResponseWriter, r *http.Request) {
	var l Link
	if err := cli.ReadJSON(r, &l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.openConns.reset(l) == 0 {
		http.Error(w, "no connection between "+l.From+" and "+l.To, http.StatusConflict)
	}
}
