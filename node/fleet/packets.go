package fleet

import (
	"context"
	"net"
	"slices"
	"time"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// usualLinesPerSecond and unusualLinesPerSecond limit the decision logs.
	usualLinesPerSecond   = 100
	unusualLinesPerSecond = 50
)

// DecisionLogs are the logs of data path decisions: Usual for those that every flow involves,
// Unusual for those that need an explanation. Each has a rate limit of its own, so that the usual
// lines cannot displace the unusual ones.
type DecisionLogs struct {
	Usual   *logging.Decisions
	Unusual *logging.Decisions
}

// NewDecisionLogs returns the decision logs of a program.
func (p *Program) NewDecisionLogs() DecisionLogs {
	return DecisionLogs{
		Usual:   logging.NewDecisionsWithLimit(p.Logger, usualLinesPerSecond),
		Unusual: logging.NewDecisionsWithLimit(p.Logger, unusualLinesPerSecond),
	}
}

// Retry calls decide for each packet of a queue, the latest first, every holding.RetryInterval
// until the context ends. An empty queue costs nothing: Retry wakes up when a packet is put into
// it.
func Retry[T any](ctx context.Context, q *holding.Queue[T], decide func(*holding.Item[T])) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.NonEmpty():
		}
		if !timing.Sleep(ctx, holding.RetryInterval) {
			return nil
		}
		for _, item := range q.Take() {
			decide(&item)
		}
	}
}

// ReadPackets reads datagrams until the context ends, and calls handle with each valid packet and
// the time at which it was read. The packet is valid until handle returns. Malformed datagrams and
// read errors are counted.
func ReadPackets(ctx context.Context, conn *net.UDPConn, counters DropCounters,
	handle func(time.Duration, platform.Packet)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, 2*platform.MaxPacketSize)
	for {
		n, err := conn.Read(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			counters.CountDrop("read failed")
			continue
		}
		p, err := platform.ParsePacket(buffer[:n])
		if err != nil {
			counters.CountDrop("malformed")
			continue
		}
		handle(Now(), p)
	}
}

// RankedAgents returns the agents of a service, of all if it is empty, in the order in which they are tried
// for a new flow of a caller in the data centre origin. It reuses buffer.
func RankedAgents(r *roster.Roster, buffer []roster.Peer, flow steering.Flow, origin ident.DataCentre,
	service string) []roster.Peer {
	agents := r.Agents(buffer[:0], service)
	steering.Rank(flow.Hash(), origin, agents)
	return agents
}

// maxRankedServices is the number of services of a route up to which SearchCandidates allocates nothing.
const maxRankedServices = 4

// SearchCandidates returns the agents that may hold an open flow of a caller in the data centre origin, in
// the order in which they are asked: those of services, all if a service is empty, and those to whose
// service the flow's route has led before. It reuses buffer.
func SearchCandidates(r *roster.Roster, buffer []roster.Peer, flow steering.Flow, origin ident.DataCentre,
	services []string) []roster.Peer {
	agents := buffer[:0]
	ends := make([]int, 0, maxRankedServices)
	rankFrom := func(begin int) {
		if begin < len(agents) {
			steering.Rank(flow.Hash(), origin, agents[begin:])
			ends = append(ends, len(agents))
		}
	}
	for _, service := range services {
		begin := len(agents)
		agents = r.Agents(agents, service)
		rankFrom(begin)
	}
	if begin := len(agents); !slices.Contains(services, "") {
		agents = r.FormerAgents(agents, flow.Service(), services)
		rankFrom(begin)
	}
	steering.MergeRanked(agents, ends)
	return agents
}
