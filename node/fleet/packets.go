package fleet

import (
	"context"
	"net"
	"time"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/holding"
)

const (
	// usualLines and unusualLines bound the decision logs, in lines a second.
	usualLines   = 100
	unusualLines = 50
)

// DecisionLogs writes the decisions of the data path: those of every flow, and those that need an explanation. Their limits are apart, so that usual ones
// leave room for the others.
type DecisionLogs struct {
	Usual   *logging.Decisions
	Unusual *logging.Decisions
}

// Decisions returns the decision logs of a program.
func (p *Program) Decisions() DecisionLogs {
	return DecisionLogs{
		Usual:   logging.NewDecisionsWithLimit(p.Logger, usualLines),
		Unusual: logging.NewDecisionsWithLimit(p.Logger, unusualLines),
	}
}

// Retry decides again about the packets of a queue, with the latest first, until the context ends. It looks at the queue only while packets are in it.
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

// ReadPackets reads datagrams until the context ends, and calls handle with each that is a packet, and the time at which it was read. The packet is valid
// until handle returns. Others are counted.
func ReadPackets(ctx context.Context, conn *net.UDPConn, endings DropCounters, handle func(time.Duration, platform.Packet)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, 2*platform.MaxPacketSize)
	for {
		n, err := conn.Read(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			endings.CountDrop("read failed")
			continue
		}
		p, err := platform.ParsePacket(buffer[:n])
		if err != nil {
			endings.CountDrop("malformed")
			continue
		}
		handle(Now(), p)
	}
}
