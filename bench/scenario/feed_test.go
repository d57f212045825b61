package scenario

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"lacewinglever.dev/bench/feed"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
)

// feedCommands returns the commands that read metrics of nodes, start processes at other addresses,
// and send invalid frames.
func feedCommands() map[string]command {
	return map[string]command{"metric": metric, "let": let, "term": term, "move": move, "take": take, "frame": frame}
}

// metric compares the sum of a metric over nodes with a value.
func metric(s *state, _ *testscript.TestScript, args []string) error {
	limit, args, err := splitWithin(args)
	if err != nil || len(args) != 4 {
		return errors.New("usage: metric [-within D] NODE[,NODE...] METRIC OP VALUE")
	}
	return s.fleet.WaitUntil(s.ctx, limit, strings.Join(args, " "), func() error {
		sum, err := s.sumMetric(args[0], args[1])
		if err != nil {
			return err
		}
		return compare(sum, args[2:], "")
	})
}

func (s *state) sumMetric(nodes, metric string) (float64, error) {
	sum := 0.0
	for _, name := range strings.Split(nodes, ",") {
		value, err := s.fleet.Metric(s.ctx, name, metric)
		if err != nil {
			return 0, err
		}
		sum += value
	}
	return sum, nil
}

// let sets a variable to a number from a report, the counters of a target, or metrics.
func let(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errors.New(
			"usage: let VAR LOAD SERVICE FIELD, let VAR stats TARGET FIELD, or let VAR metric NODE[,NODE...] METRIC")
	}
	var got float64
	var err error
	switch args[1] {
	case "metric":
		got, err = s.sumMetric(args[2], args[3])
	default:
		got, err = s.numberFrom(args[1], args[2], args[3])
	}
	ts.Setenv(args[0], strconv.FormatFloat(got, 'f', -1, 64))
	return err
}

func (s *state) numberFrom(source, of, name string) (float64, error) {
	if source == "stats" {
		got, err := s.fleet.TargetStats(s.ctx, of)
		if err != nil {
			return 0, err
		}
		return numberField(got, name)
	}
	r, err := s.fleet.LoadReport(s.ctx, source)
	if err != nil {
		return 0, err
	}
	row, _, err := serviceReport(r, of)
	if err != nil {
		return 0, err
	}
	return numberField(row, name)
}

// term sends SIGTERM to processes without waiting for their exit.
func term(s *state, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		p := s.fleet.Process(name)
		if p == nil {
			return errors.Errorf("%s was not started", name)
		}
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	return nil
}

func move(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: move AGENT PLACE")
	}
	return s.fleet.MoveAgent(args[0], args[1])
}

func take(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: take SERVICE FROM")
	}
	return s.fleet.TakeAddress(args[0], args[1])
}

// frame sends a node a frame that it must drop. The payload is a call for another service, so that
// a target that receives it by mistake counts it as foreign.
func frame(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: frame KIND NODE SERVICE")
	}
	kind := args[0]
	node, err := s.fleet.NodeConfig(args[1])
	if err != nil {
		return err
	}
	service, err := ident.ParseServiceName(args[2])
	if err != nil {
		return err
	}
	keys, err := node.Keyring()
	if err != nil {
		return err
	}
	b := forgeFrame(kind, keys, ident.NewNodeID(node.Name), service.ID())
	if b == nil {
		return errors.Errorf("unknown kind of frame %s", kind)
	}
	conn, err := net.Dial("udp", node.UDP.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	sends := 1
	if kind == "replayed" {
		sends = 2
	}
	for range sends {
		if _, err := conn.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// forgeFrame returns a frame of a kind that a node must drop, nil for an unknown kind.
func forgeFrame(kind string, keys *wire.Keyring, to ident.NodeID, service ident.ServiceID) []byte {
	call := feed.Datagram{Kind: feed.Call, Flow: 1, Sequence: 1, Service: "nobody/nothing"}
	now := time.Now()
	d := wire.Data{
		Service: service, Sender: ident.NewNodeID("forger"), Sequence: wire.FirstSequence(now), Destination: to, Placed: true,
		Caller: ident.CallerFrom(netip.MustParseAddrPort("127.192.0.1:9")), SentUnixMs: uint64(now.UnixMilli()),
		Payload: call.Append(nil, 0),
	}
	switch kind {
	case "late":
		d.SentUnixMs -= uint64(2 * wire.MaxClockSkew / time.Millisecond)
	case "astray", "replayed": // for another node, so the first copy of a replayed frame is dropped too
		d.Destination++
	}
	b := keys.AppendData(nil, wire.TypeData, &d)
	switch kind {
	case "short":
		return b[:wire.HeaderSize-1]
	case "unknown-key":
		b[1]++
	case "forged":
		b[len(b)-1]++
	case "forged-control":
		b[0] = byte(wire.TypeControl)
	case "return":
		return keys.AppendData(nil, wire.TypeReturn, &d)
	case "late", "astray", "replayed", "foreign":
	default:
		return nil
	}
	return b
}
