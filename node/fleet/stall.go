package fleet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// stallThreshold is the time without a round of heartbeats after which this process was stalled: stopped,
	// suspended, or without processor time.
	stallThreshold = 500 * time.Millisecond
	// maxProbesAtOnce bounds the nodes that are asked for a heartbeat at once.
	maxProbesAtOnce = 32
)

// stallDetector detects that this process was stalled. What it has received meanwhile is unread, so that the
// silence of others shows nothing.
type stallDetector struct {
	mu        sync.Mutex // held while a stall is recorded
	lastRound atomic.Int64
}

// observe returns how long the process was stalled, 0 if it was not. Concurrent callers wait until record has
// returned.
func (d *stallDetector) observe(now time.Duration, record func()) time.Duration {
	if now-time.Duration(d.lastRound.Load()) <= stallThreshold {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	pause := now - time.Duration(d.lastRound.Load())
	if pause <= stallThreshold {
		return 0
	}
	record()
	d.lastRound.Store(int64(now))
	return pause
}

// CheckStall records a stall of this process, if there was one, before a decision that depends on the silence
// of others.
func (f *Fleet) CheckStall(now time.Duration) {
	pause := f.stalls.observe(now, func() {
		f.Roster.RecordStall()
		if f.options.OnStall != nil {
			f.options.OnStall(now)
		}
	})
	if pause > 0 {
		f.stallCount.Inc()
		_ = level.Warn(f.options.Logger).Log(logging.KeyMessage, "process was stalled", "pause", pause)
	}
}

// recordRound records a round of heartbeats.
func (f *Fleet) recordRound(now time.Duration) {
	f.CheckStall(now)
	f.stalls.lastRound.Store(int64(now))
}

// ProbeSilent asks the agents that a search waits for, those in tried excepted, for a heartbeat.
func (f *Fleet) ProbeSilent(now time.Duration, agents []roster.Peer, tried []ident.NodeID) {
	for _, p := range steering.SilentCandidates(now, agents, tried, maxProbesAtOnce) {
		f.Probe(now, p)
	}
}

// Probe asks a silent node for a heartbeat, unless it was asked just now or has not answered several times.
func (f *Fleet) Probe(now time.Duration, p *roster.Peer) {
	if !f.Roster.RecordProbe(now, p.ID) {
		return
	}
	go f.probeInstance(p.ID, p.Name, p.Address)
	message := f.heartbeatMessage(now, f.receiverOutsidePlan(now, p.DataCentre, p.Address), false)
	message.Heartbeat.Probe = true
	f.sendMessage(p.Address, message)
	f.probesSent.Inc()
}

// probeInstance finds out whether the instance of a silent node runs. Its network stack answers for a process
// that is stalled, by accepting the connection, and for one that is being restarted, by refusing it.
func (f *Fleet) probeInstance(id ident.NodeID, name string, address netip.AddrPort) {
	select {
	case f.instanceProbes <- struct{}{}:
		defer func() { <-f.instanceProbes }()
	default:
		return // the next probe tries again
	}
	conn, err := net.DialTimeout("tcp4", address.String(), roster.ProbeTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent
	} else if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	f.Roster.RecordInstanceRuns(id)
	if f.nodeLog.Allow() {
		f.nodeLog.Log("silent node's instance runs", logging.KeyPeer, name, "process", err == nil)
	}
}
