package fleet

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// maxProbesAtOnce bounds the nodes that one decision asks for a heartbeat.
	maxProbesAtOnce = 32
	// maxConnectionsAtOnce bounds the connections to silent instances that are tried at once. Each takes up to
	// roster.ProbeTimeout if the instance is lost.
	maxConnectionsAtOnce = 128
)

// ProbeUnconfirmed asks the agents without which a search would end, those in tried excepted, for a heartbeat.
func (f *Fleet) ProbeUnconfirmed(now time.Duration, agents []roster.Peer, tried []ident.NodeID) {
	for _, p := range steering.UnconfirmedCandidates(now, agents, tried, maxProbesAtOnce) {
		f.Probe(now, p)
	}
}

// Probe asks a silent node for a heartbeat, unless it was asked just now or has not answered several times.
func (f *Fleet) Probe(now time.Duration, p *roster.Peer) {
	select {
	case f.instanceProbes <- struct{}{}:
	default:
		return // asked later: without a connection, its silence shows nothing
	}
	if !f.Roster.RecordProbe(now, p.ID) {
		<-f.instanceProbes
		return
	}
	go func() {
		defer func() { <-f.instanceProbes }()
		f.probeInstance(p.ID, p.Name, p.Address)
	}()
	message := f.heartbeatMessage(now, f.receiverOutsidePlan(now, p.DataCentre, p.Address), false)
	message.Heartbeat.Probe = true
	f.sendMessage(p.Address, message)
	f.probesSent.Inc()
}

// probeInstance finds out whether the instance of a silent node runs. Its network stack answers for a process
// that is stalled, by accepting the connection, and for one that is being restarted, by refusing it.
func (f *Fleet) probeInstance(id ident.NodeID, name string, address netip.AddrPort) {
	conn, err := net.DialTimeout("tcp4", address.String(), roster.ProbeTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent
	} else if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	f.Roster.RecordInstanceRuns(id, err == nil)
	if f.nodeLog.Allow() {
		f.nodeLog.Log("silent node's instance runs", logging.KeyPeer, name, "process", err == nil)
	}
}
