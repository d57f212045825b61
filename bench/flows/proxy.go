package flows

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is how a proxy treats what passes it.
type Link string

// Links.
const (
	Pass    Link = ""
	Silence Link = "silence" // everything is dropped, connections stay open
	Cut     Link = "reset"   // connections are reset, datagrams dropped
	OneWay  Link = "one way" // what comes back is dropped
	Delay   Link = "delay"   // everything takes delayOf longer
)

const delayOf = 80 * time.Millisecond

// Proxy passes TCP connections and datagrams on to an address, and harms them when told so. Datagrams pass in one direction only: nodes answer to the
// address that a message names.
type Proxy struct {
	to       netip.AddrPort
	listener net.Listener
	udp      *net.UDPConn

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy.
func NewProxy(listen, to netip.AddrPort, datagrams bool) (*Proxy, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	p := &Proxy{to: to, listener: l, conns: map[net.Conn]struct{}{}}
	if datagrams {
		if p.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
			_ = l.Close()
			return nil, err
		}
		go p.datagrams()
	}
	go p.accept()
	return p, nil
}

// Set changes how the proxy treats what passes.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	if l == Cut {
		for c := range p.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *Proxy) now() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	if p.udp != nil {
		_ = p.udp.Close()
	}
	p.Set(Cut)
}

func (p *Proxy) datagrams() {
	buffer := make([]byte, 1<<16)
	to := p.to
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		switch p.now() {
		case Pass, OneWay:
			_, _ = p.udp.WriteToUDPAddrPort(buffer[:n], to)
		case Delay:
			late := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(delayOf, func() { _, _ = p.udp.WriteToUDPAddrPort(late, to) })
		}
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == Cut {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(c net.Conn) {
	up, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(up, c, false) })
	both.Go(func() { p.copy(c, up, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes bytes on. Bytes that are dropped make the connection useless, as a connection behind a partition is.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 32<<10)
	broken := false
	for {
		n, err := from.Read(buffer)
		l := p.now()
		broken = broken || l == Silence || l == OneWay && back
		if l == Delay {
			time.Sleep(delayOf)
		}
		if n > 0 && !broken {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF || !broken {
				break
			}
			return
		}
	}
	_ = to.Close()
	_ = from.Close()
}
