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
	generatorCount = 4
	// openTimeout is the time limit for opening all flows through the agent.
	openTimeout = 5 * time.Second
	// openPause limits the rate of the datagrams that open flows, so that no buffer overflows.
	openPause = 200 * time.Microsecond
	// maxInFlight limits the datagrams in flight of all generators. They are enough for full
	// batches at the readers, and few enough that no buffer overflows. Otherwise the measurement
	// would include the kernel's cost of dropping datagrams.
	maxInFlight = 32 * socket.BatchSize
	// lossTimeout is the time without an arrival after which the datagrams in flight count as lost.
	lossTimeout = 5 * time.Millisecond
)

// benchCase is one direction through the entry or the agent.
type benchCase struct {
	name string
	role string
	// in is the port to which the generators send, out is the port at which the datagrams arrive.
	in, out int
	// newEncoder returns the function that encodes the datagrams of a generator. If it is nil,
	// datagrams are plain payload.
	newEncoder    func(g *generator, number int) func([]byte) []byte
	toFlowSources bool // datagrams are sent to the source addresses of the agent's flows
}

func cases() []benchCase {
	return []benchCase{
		{name: "entry-forward", role: "entry", in: portService, out: portPeers},
		{name: "entry-return", role: "entry", in: portNode, out: portSink, newEncoder: (*generator).returnEncoder},
		{name: "agent-deliver", role: "agent", in: portNode, out: portSink, newEncoder: (*generator).dataEncoder},
		{name: "agent-return", role: "agent", in: portService, out: portPeers, toFlowSources: true},
	}
}

// generator sends load to a measured program from several goroutines and counts the datagrams that
// arrive.
type generator struct {
	options    *Options
	testCase   benchCase
	bare       bool
	keys       *wire.Keyring
	sink       *net.UDPConn // receives the datagrams
	target     *net.UDPConn // the agent's target, with toFlowSources
	received   atomic.Uint64
	sent       atomic.Uint64 // sent minus received is the number in flight
	closed     atomic.Bool
	goroutines sync.WaitGroup
}

func newGenerator(o *Options, c benchCase, bare bool) (*generator, error) {
	keys, err := keyring()
	if err != nil {
		return nil, err
	}
	g := &generator{options: o, testCase: c, bare: bare, keys: keys}
	if g.sink, err = listen(o.address(c.out)); err != nil {
		return nil, err
	}
	if c.toFlowSources {
		if g.target, err = listen(o.address(portSink)); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *generator) close() {
	g.closed.Store(true)
	_ = g.sink.Close()
	if g.target != nil {
		_ = g.target.Close()
	}
	g.goroutines.Wait()
}

// start opens the flows if the case needs them, and starts the load.
func (g *generator) start() error {
	to := []netip.AddrPort{netip.MustParseAddrPort(g.options.address(g.testCase.in))}
	if g.testCase.toFlowSources && !g.bare {
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
	g.goroutines.Go(func() { g.countReceived(socket.NewReader(sink, wire.MaxFrameSize, 0)) })
	for number := range generatorCount {
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
		g.goroutines.Go(func() {
			g.send(socket.NewWriter(c), number, to)
			_ = conn.Close()
		})
	}
	return nil
}

func (g *generator) countReceived(r *socket.Reader) {
	for {
		n, err := r.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		g.received.Add(uint64(n))
	}
}

// send keeps maxInFlight datagrams in flight, so that the measured program is never idle.
func (g *generator) send(w *socket.Writer, number int, to []netip.AddrPort) {
	plain := make([]byte, g.options.Payload)
	encode := func([]byte) []byte { return plain }
	if g.testCase.newEncoder != nil {
		encode = g.testCase.newEncoder(g, number)
	}
	var buffers [socket.BatchSize][]byte
	random := rand.New(rand.NewPCG(1, uint64(number)))
	for g.reserveBatch() {
		for i := range buffers {
			buffers[i] = encode(buffers[i][:0])
			w.Add(to[random.IntN(len(to))], buffers[i], nil)
		}
		w.Flush()
	}
}

// reserveBatch waits until a batch fits into maxInFlight and adds it to the datagrams sent. It
// returns false when the generator is closed.
func (g *generator) reserveBatch() bool {
	seen, since := g.received.Load(), time.Now()
	for !g.closed.Load() {
		received, sent := g.received.Load(), g.sent.Load()
		switch {
		case received != seen:
			seen, since = received, time.Now()
		case time.Since(since) > lossTimeout:
			g.sent.CompareAndSwap(sent, received)
			since = time.Now()
		}
		if sent+socket.BatchSize <= received+maxInFlight && g.sent.CompareAndSwap(sent, sent+socket.BatchSize) {
			return true
		}
		runtime.Gosched()
	}
	return false
}

// returnEncoder returns an encoder of an agent's frames with return datagrams.
func (g *generator) returnEncoder(number int) func([]byte) []byte {
	d := wire.Data{
		Service: serviceName.ID(), Sender: agentNode(number).ID, Destination: entryNode(0).ID, Entry: entryNode(0).ID,
		Caller:  ident.CallerFrom(netip.MustParseAddrPort(g.options.address(portSink))),
		Payload: make([]byte, g.options.Payload),
	}
	return g.signedEncoder(wire.TypeReturn, d, func(*wire.Data) {})
}

// dataEncoder returns an encoder of an entry's frames with callers' datagrams of all flows, in
// random order.
func (g *generator) dataEncoder(number int) func([]byte) []byte {
	random := rand.New(rand.NewPCG(2, uint64(number)))
	return g.signedEncoder(wire.TypeData, g.dataToAgent(number), func(d *wire.Data) {
		d.Caller = caller(random.IntN(g.options.Flows))
	})
}

func (g *generator) dataToAgent(number int) wire.Data {
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

// signedEncoder returns a function that appends a signed frame to its argument. update is called
// before each frame is encoded.
func (g *generator) signedEncoder(t wire.Type, d wire.Data, update func(*wire.Data)) func([]byte) []byte {
	sequence := wire.FirstSequence(time.Now())
	return func(b []byte) []byte {
		sequence++
		d.Sequence, d.SentUnixMs = sequence, uint64(time.Now().UnixMilli())
		update(&d)
		return g.keys.AppendData(b, t, &d)
	}
}

// openFlows opens all flows through the agent and returns their source addresses at the target.
func (g *generator) openFlows() ([]netip.AddrPort, error) {
	conn, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	number := 0
	encode := g.signedEncoder(wire.TypeData, g.dataToAgent(0), func(d *wire.Data) { d.Caller = caller(number) })
	go func() {
		to := netip.MustParseAddrPort(g.options.address(portNode))
		for ; number < g.options.Flows; number++ {
			_, _ = conn.WriteToUDPAddrPort(encode(nil), to)
			if number%socket.BatchSize == 0 {
				time.Sleep(openPause)
			}
		}
	}()
	var sources []netip.AddrPort
	buffer := make([]byte, wire.MaxFrameSize)
	_ = g.target.SetReadDeadline(time.Now().Add(openTimeout))
	for len(sources) < g.options.Flows {
		_, from, err := g.target.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return nil, errors.Wrapf(err, "%d of %d flows opened", len(sources), g.options.Flows)
		}
		sources = append(sources, from)
	}
	return sources, nil
}
