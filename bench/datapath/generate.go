package datapath

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/socket"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
)

const (
	generators = 4
	// learnTime bounds the opening of all flows through the agent.
	learnTime = 5 * time.Second
	// learnPause keeps the datagrams that open flows below the rate at which buffers overflow.
	learnPause = 200 * time.Microsecond
	// window is the number of datagrams in flight of all generators: enough for full batches at the readers, and so few that no buffer
	// overflows and that the kernel's cost of dropping isn't measured.
	window = 32 * socket.BatchSize
	// lossTimeout is after how long without an arrival the datagrams in flight count as lost.
	lossTimeout = 5 * time.Millisecond
)

// benchCase is one direction through one shell.
type benchCase struct {
	name string
	role string
	// in is the port that the generators send to, out the one at which the datagrams arrive.
	in, out int
	frame   func(g *generator, number int) func([]byte) []byte // makes the datagrams of a generator; nil: plain payload
	learn   bool                                               // datagrams go to the source addresses of the agent's flows
}

func cases() []benchCase {
	return []benchCase{
		{name: "entry-forward", role: "entry", in: portOuter, out: portMesh},
		{name: "entry-return", role: "entry", in: portNode, out: portSink, frame: (*generator).returns},
		{name: "agent-deliver", role: "agent", in: portNode, out: portSink, frame: (*generator).datagrams},
		{name: "agent-return", role: "agent", in: portOuter, out: portMesh, learn: true},
	}
}

// generator loads a measured program from several goroutines and counts what comes out.
type generator struct {
	options  *Options
	c        benchCase
	bare     bool
	keys     *wire.Keyring
	sink     *net.UDPConn // where the datagrams come out
	target   *net.UDPConn // of the agent, with learn
	received atomic.Uint64
	sent     atomic.Uint64 // in flight are those above received
	done     atomic.Bool
	running  sync.WaitGroup
}

func newGenerator(o *Options, c benchCase, bare bool) (*generator, error) {
	keys, err := keyring()
	if err != nil {
		return nil, err
	}
	g := &generator{options: o, c: c, bare: bare, keys: keys}
	if g.sink, err = listen(o.address(c.out)); err != nil {
		return nil, err
	}
	if c.learn {
		if g.target, err = listen(o.address(portSink)); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *generator) close() {
	g.done.Store(true)
	_ = g.sink.Close()
	if g.target != nil {
		_ = g.target.Close()
	}
	g.running.Wait()
}

// start opens the flows, if need be, and starts the load.
func (g *generator) start() error {
	to := []netip.AddrPort{netip.MustParseAddrPort(g.options.address(g.c.in))}
	if g.c.learn && !g.bare {
		sources, err := g.openFlows()
		if err != nil {
			return err
		}
		to = sources
	}
	sink, err := socket.NewConn(g.sink)
	if err != nil {
		return err
	}
	g.running.Go(func() { g.count(socket.NewReader(sink, wire.MaxFrame, 0)) })
	for number := range generators {
		conn := g.target
		if conn == nil {
			if conn, err = listen("127.0.0.1:0"); err != nil {
				return err
			}
		}
		c, err := socket.NewConn(conn)
		if err != nil {
			return err
		}
		g.running.Go(func() {
			g.send(socket.NewWriter(c), number, to)
			_ = conn.Close()
		})
	}
	return nil
}

func (g *generator) count(r *socket.Reader) {
	for {
		n, err := r.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		g.received.Add(uint64(n))
	}
}

// send keeps the window full, so that the measured program always finds datagrams.
func (g *generator) send(w *socket.Writer, number int, to []netip.AddrPort) {
	plain := make([]byte, g.options.Payload)
	frame := func([]byte) []byte { return plain }
	if g.c.frame != nil {
		frame = g.c.frame(g, number)
	}
	var buffers [socket.BatchSize][]byte
	random := rand.New(rand.NewPCG(1, uint64(number)))
	for g.await() {
		for i := range buffers {
			buffers[i] = frame(buffers[i][:0])
			w.Add(to[random.IntN(len(to))], buffers[i], nil)
		}
		w.Flush()
	}
}

// await takes room for a batch in the window. It returns false at the end.
func (g *generator) await() bool {
	seen, since := g.received.Load(), time.Now()
	for !g.done.Load() {
		received, sent := g.received.Load(), g.sent.Load()
		switch {
		case received != seen:
			seen, since = received, time.Now()
		case time.Since(since) > lossTimeout:
			g.sent.CompareAndSwap(sent, received)
			since = time.Now()
		}
		if sent+socket.BatchSize <= received+window && g.sent.CompareAndSwap(sent, sent+socket.BatchSize) {
			return true
		}
		runtime.Gosched()
	}
	return false
}

// returns makes the frames of an agent for callers.
func (g *generator) returns(number int) func([]byte) []byte {
	d := wire.Data{
		Service: serviceName.ID(), Sender: agentNode(number).ID, Destination: entryNode(0).ID, Entry: entryNode(0).ID,
		Caller: ident.CallerFrom(netip.MustParseAddrPort(g.options.address(portSink))), Payload: make([]byte, g.options.Payload),
	}
	return g.signed(wire.TypeReturn, d, func(*wire.Data) {})
}

// datagrams makes the frames of an entry with datagrams of all flows, in random order.
func (g *generator) datagrams(number int) func([]byte) []byte {
	random := rand.New(rand.NewPCG(2, uint64(number)))
	return g.signed(wire.TypeData, g.toAgent(number), func(d *wire.Data) { d.Caller = caller(random.IntN(g.options.Flows)) })
}

func (g *generator) toAgent(number int) wire.Data {
	return wire.Data{
		Service: serviceName.ID(), Sender: entryNode(number).ID, Destination: agentNode(0).ID, Entry: entryNode(number).ID,
		Payload: make([]byte, g.options.Payload),
	}
}

func caller(flow int) ident.Caller {
	ip := [4]byte{10}
	binary.BigEndian.PutUint16(ip[2:], uint16(flow))
	return ident.CallerFrom(netip.AddrPortFrom(netip.AddrFrom4(ip), 4000+uint16(flow>>16)))
}

func (g *generator) signed(t wire.Type, d wire.Data, change func(*wire.Data)) func([]byte) []byte {
	sequence := wire.FirstSequence(time.Now())
	return func(b []byte) []byte {
		sequence++
		d.Sequence, d.SentUnixMs = sequence, uint64(time.Now().UnixMilli())
		change(&d)
		return g.keys.AppendData(b, t, &d)
	}
}

// openFlows opens all flows through the agent and returns the source addresses that the target sees.
func (g *generator) openFlows() ([]netip.AddrPort, error) {
	conn, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	number := 0
	frame := g.signed(wire.TypeData, g.toAgent(0), func(d *wire.Data) { d.Caller = caller(number) })
	go func() {
		to := netip.MustParseAddrPort(g.options.address(portNode))
		for ; number < g.options.Flows; number++ {
			_, _ = conn.WriteToUDPAddrPort(frame(nil), to)
			if number%socket.BatchSize == 0 {
				time.Sleep(learnPause)
			}
		}
	}()
	var sources []netip.AddrPort
	buffer := make([]byte, wire.MaxFrame)
	_ = g.target.SetReadDeadline(time.Now().Add(learnTime))
	for len(sources) < g.options.Flows {
		_, from, err := g.target.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil, errors.Wrapf(err, "%d of %d flows opened", len(sources), g.options.Flows)
		}
		sources = append(sources, from)
	}
	return sources, nil
}
