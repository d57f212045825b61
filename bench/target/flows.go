package target

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/bench/feed"
	"lacewinglever.dev/bench/pktinfo"
)

const (
	// flowGroups is the number of groups of flows, whose readings are sent one group at a time to
	// spread them over the interval.
	flowGroups   = 20
	maxFlows     = 200_000
	maxDatagram  = 65_535
	minFeedBytes = 100
	// idleSweepInterval is how often idle flows are dropped when there are no readings to send.
	idleSweepInterval = 50 * time.Millisecond
)

type flowKey struct {
	id   uint64
	from netip.AddrPort
}

type flow struct {
	lastCall    time.Time
	lastReading uint64
}

// flows are the feeds that the target serves.
type flows struct {
	target *Target
	udp    *net.UDPConn

	mu           sync.Mutex
	flowsByGroup [flowGroups]map[flowKey]*flow
	count        int
	opened       uint64
	calls        uint64
	// wrongService counts calls for another service, which must never arrive here.
	wrongService uint64
	malformed    uint64
	lastOpened   time.Time
}

func (f *flows) start(ctx context.Context) error {
	at, err := netip.ParseAddrPort(f.target.config.UDP)
	if err != nil {
		return err
	}
	f.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return errors.Wrap(err, "listen for feeds")
	}
	pktinfo.EnlargeBuffers(f.udp)
	for i := range f.flowsByGroup {
		f.flowsByGroup[i] = map[flowKey]*flow{}
	}
	context.AfterFunc(ctx, func() { _ = f.udp.Close() })
	go f.receive(ctx)
	go f.sendReadings(ctx)
	return nil
}

func (f *flows) receive(ctx context.Context) {
	in, out := make([]byte, maxDatagram), make([]byte, 0, maxDatagram)
	for {
		n, from, err := f.udp.ReadFromUDPAddrPort(in)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		call, err := feed.Parse(in[:n])
		if !f.recordCall(call, err, from) {
			continue
		}
		answer := f.datagram(feed.Answer, call.Flow, call.Sequence, call.SentNs)
		_, _ = f.udp.WriteToUDPAddrPort(answer.Append(out[:0], n), from)
	}
}

func (f *flows) datagram(kind feed.Kind, id, sequence uint64, sentNs int64) feed.Datagram {
	return feed.Datagram{
		Kind: kind, Flow: id, Sequence: sequence, SentNs: sentNs, Target: f.target.config.Name,
		Service: f.target.config.Service,
	}
}

// recordCall counts a received datagram, opens its flow if it is new, and reports whether to
// answer.
func (f *flows) recordCall(call feed.Datagram, err error, from netip.AddrPort) bool {
	mute := f.target.mode().Mute
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil || call.Kind != feed.Call:
		f.malformed++
		return false
	case call.Service != f.target.config.Service:
		// The answer names this target's service, so the caller detects the fault as well.
		f.wrongService++
		return true
	case mute:
		return false
	}
	f.calls++
	now := time.Now()
	key := flowKey{call.Flow, from}
	group := f.flowsByGroup[call.Flow%flowGroups]
	state := group[key]
	if state == nil {
		if f.count >= maxFlows {
			return false
		}
		state = &flow{}
		group[key] = state
		f.count++
		f.opened++
		f.lastOpened = now
	}
	state.lastCall = now
	return true
}

// sendReadings sends the readings and drops idle flows, one group at a time.
func (f *flows) sendReadings(ctx context.Context) {
	interval := f.target.config.ReadingInterval / flowGroups
	if interval <= 0 {
		interval = idleSweepInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	out := make([]byte, 0, maxDatagram)
	for i := 0; ; i++ {
		select {
		case now := <-tick.C:
			for key, sequence := range f.dueReadings(i%flowGroups, now) {
				reading := f.datagram(feed.Reading, key.id, sequence, now.UnixNano())
				_, _ = f.udp.WriteToUDPAddrPort(reading.Append(out[:0], minFeedBytes), key.from)
			}
		case <-ctx.Done():
			return
		}
	}
}

// dueReadings returns the flows of a group that get a reading now, with its sequence. It drops idle
// flows.
func (f *flows) dueReadings(group int, now time.Time) map[flowKey]uint64 {
	suppressed := f.target.mode().Mute || f.target.config.ReadingInterval == 0
	due := map[flowKey]uint64{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, state := range f.flowsByGroup[group] {
		if now.Sub(state.lastCall) > f.target.config.FlowIdleTimeout {
			delete(f.flowsByGroup[group], key)
			f.count--
			continue
		}
		if !suppressed {
			state.lastReading++
			due[key] = state.lastReading
		}
	}
	return due
}
