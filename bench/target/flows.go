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
	// groups spreads the readings of all flows over the interval.
	groups       = 20
	maxFlows     = 200_000
	maxDatagram  = 65_535
	minFeedBytes = 100
	// idleTick is how often flows are looked at when there are no readings to send.
	idleTick = 50 * time.Millisecond
)

type flowKey struct {
	id   uint64
	from netip.AddrPort
}

type flow struct {
	lastCall time.Time
	readings uint64
}

// flows are the feeds that the target serves.
type flows struct {
	t   *Target
	udp *net.UDPConn

	mu     sync.Mutex
	groups [groups]map[flowKey]*flow
	count  int
	opened uint64
	calls  uint64
	// foreign counts datagrams of callers that want another service, which must never arrive here.
	foreign   uint64
	malformed uint64
	lastNew   time.Time
}

func (f *flows) start(ctx context.Context) error {
	at, err := netip.ParseAddrPort(f.t.config.UDP)
	if err != nil {
		return err
	}
	f.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return errors.Wrap(err, "listen for feeds")
	}
	pktinfo.EnlargeBuffers(f.udp)
	for i := range f.groups {
		f.groups[i] = map[flowKey]*flow{}
	}
	context.AfterFunc(ctx, func() { _ = f.udp.Close() })
	go f.receive(ctx)
	go f.stream(ctx)
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
		if !f.accept(call, err, from) {
			continue
		}
		answer := f.datagram(feed.Answer, call.Flow, call.Sequence, call.SentNs)
		_, _ = f.udp.WriteToUDPAddrPort(answer.Append(out[:0], n), from)
	}
}

func (f *flows) datagram(kind feed.Kind, id, number uint64, sentNs int64) feed.Datagram {
	return feed.Datagram{
		Kind: kind, Flow: id, Sequence: number, SentNs: sentNs, Target: f.t.config.Name, Service: f.t.config.Service,
	}
}

// accept counts the datagram, opens its flow if it is new, and tells whether to answer.
func (f *flows) accept(call feed.Datagram, err error, from netip.AddrPort) bool {
	mute := f.t.mode().Mute
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil || call.Kind != feed.Call:
		f.malformed++
		return false
	case call.Service != f.t.config.Service:
		// The answer names this target's service, so the caller sees the fault as well.
		f.foreign++
		return true
	case mute:
		return false
	}
	f.calls++
	now := time.Now()
	key := flowKey{call.Flow, from}
	group := f.groups[call.Flow%groups]
	known := group[key]
	if known == nil {
		if f.count >= maxFlows {
			return false
		}
		known = &flow{}
		group[key] = known
		f.count++
		f.opened++
		f.lastNew = now
	}
	known.lastCall = now
	return true
}

// stream sends the readings and drops idle flows, one group at a time.
func (f *flows) stream(ctx context.Context) {
	every := f.t.config.ReadingInterval / groups
	if every <= 0 {
		every = idleTick
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	out := make([]byte, 0, maxDatagram)
	for i := 0; ; i++ {
		select {
		case now := <-tick.C:
			for key, number := range f.due(i%groups, now) {
				reading := f.datagram(feed.Reading, key.id, number, now.UnixNano())
				_, _ = f.udp.WriteToUDPAddrPort(reading.Append(out[:0], minFeedBytes), key.from)
			}
		case <-ctx.Done():
			return
		}
	}
}

// due returns the flows of a group that get a reading now, with its number.
func (f *flows) due(group int, now time.Time) map[flowKey]uint64 {
	silent := f.t.mode().Mute || f.t.config.ReadingInterval == 0
	due := map[flowKey]uint64{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, known := range f.groups[group] {
		if now.Sub(known.lastCall) > f.t.config.FlowIdleTimeout {
			delete(f.groups[group], key)
			f.count--
			continue
		}
		if !silent {
			known.readings++
			due[key] = known.readings
		}
	}
	return due
}
