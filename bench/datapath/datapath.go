// Package datapath measures the data path of the entry and the agent: datagrams per second and core, compared with a bare copy loop that has
// the same sockets, readers and batches and does nothing in between. The measured program runs as a process of its own, so that its processor
// time is counted without that of the generators.
package datapath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/go-faster/errors"
)

const (
	warmUp = 300 * time.Millisecond
	// bound is the part of the bare loop's rate that a shell must reach.
	bound = 0.6
)

// Options are the command line of the benchmark.
type Options struct {
	Role     string        `long:"role" default:"run" description:"run the benchmark (run), or a measured program: entry, agent, bare-entry, bare-agent"`
	PortBase int           `long:"port-base" default:"30500" description:"first of four ports on 127.0.0.1"`
	Duration time.Duration `long:"duration" default:"1s" description:"time of each measurement"`
	Repeat   int           `long:"repeat" default:"1" description:"number of measurements of each case; the best is reported"`
	Cores    int           `long:"cores" default:"1" description:"GOMAXPROCS of the measured program"`
	Payload  int           `long:"payload" default:"200" description:"bytes of each datagram"`
	Flows    int           `long:"flows" default:"10000" description:"flows through the agent"`
	Profile  string        `long:"profile" description:"directory for processor profiles of the shells"`
}

// Ports of the measured program and of the generators, from PortBase on.
const (
	portOuter = iota // of the entry's service
	portNode         // of the entry or the agent
	portSink         // of the caller or the target
	portMesh         // of the agents or the entries
)

func (o *Options) address(port int) string { return fmt.Sprintf("127.0.0.1:%d", o.PortBase+port) }

// Run runs the role that the options name.
func Run(ctx context.Context, o Options, in io.Reader, out io.Writer) error {
	if o.Role != "run" {
		return serve(ctx, &o, in, out)
	}
	fmt.Fprintf(out, "%-14s %15s %14s %6s %7s %11s %s\n", "case", "shell dg/s/core", "bare dg/s/core", "ratio", "allocs", "cores used", "bound 0.60")
	for _, c := range cases() {
		if err := compare(ctx, &o, c, out); err != nil {
			return errors.Wrap(err, c.name)
		}
	}
	return nil
}

// compare measures one case with the shell and with the bare loop in turn.
func compare(ctx context.Context, o *Options, c benchCase, out io.Writer) error {
	var shell, bare result
	for range o.Repeat {
		for _, side := range []struct {
			role string
			best *result
		}{{c.role, &shell}, {"bare-" + c.role, &bare}} {
			r, err := measure(ctx, o, c, side.role)
			if err != nil {
				return errors.Wrap(err, side.role)
			}
			if r.perCore > side.best.perCore {
				*side.best = r
			}
		}
	}
	verdict := "met"
	if shell.perCore < bound*bare.perCore {
		verdict = "missed"
	}
	fmt.Fprintf(out, "%-14s %15.0f %14.0f %6.2f %7.2f %5.2f %5.2f %s\n",
		c.name, shell.perCore, bare.perCore, shell.perCore/bare.perCore, shell.allocations, shell.cores, bare.cores, verdict)
	return nil
}

// result is one measurement: datagrams per second of processor time, allocations per datagram, and the processor time used per second, which
// is near the number of cores when the generators keep the program busy.
type result struct{ perCore, allocations, cores float64 }

// measure starts the measured program, loads it, and counts what comes out.
func measure(ctx context.Context, o *Options, c benchCase, role string) (result, error) {
	p, err := start(ctx, o, c, role)
	if err != nil {
		return result{}, err
	}
	defer p.stop()
	g, err := newGenerator(o, c, role != c.role)
	if err != nil {
		return result{}, err
	}
	defer g.close()
	if err := g.start(); err != nil {
		return result{}, err
	}
	time.Sleep(warmUp)
	before, err := p.usage()
	if err != nil {
		return result{}, err
	}
	first, began := g.received.Load(), time.Now()
	time.Sleep(o.Duration)
	after, err := p.usage()
	if err != nil {
		return result{}, err
	}
	datagrams := float64(g.received.Load() - first)
	if datagrams == 0 {
		return result{}, errors.New("no datagram came out")
	}
	cpu := (after.cpu - before.cpu).Seconds()
	return result{
		perCore:     datagrams / cpu,
		allocations: float64(after.allocations-before.allocations) / datagrams,
		cores:       cpu / time.Since(began).Seconds(),
	}, nil
}

// process is the measured program.
type process struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
}

// usage is what a process has used since its start.
type usage struct {
	cpu         time.Duration
	allocations uint64
}

func start(ctx context.Context, o *Options, c benchCase, role string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "own program")
	}
	arguments := []string{"--role", role, "--port-base", fmt.Sprint(o.PortBase)}
	if o.Profile != "" {
		arguments = append(arguments, "--profile", fmt.Sprintf("%s/%s-%s.pprof", o.Profile, c.name, role))
	}
	command := exec.CommandContext(ctx, self, arguments...)
	command.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", o.Cores))
	command.Stderr = os.Stderr
	p := &process{command: command}
	if p.in, err = command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start measured program")
	}
	if _, err := p.usage(); err != nil { // it answers once it is ready
		p.stop()
		return nil, err
	}
	return p, nil
}

// usage asks the process for what it has used.
func (p *process) usage() (usage, error) {
	if _, err := fmt.Fprintln(p.in, "usage"); err != nil {
		return usage{}, errors.Wrap(err, "ask measured program")
	}
	var u usage
	if _, err := fmt.Fscanf(p.out, "%d %d\n", &u.cpu, &u.allocations); err != nil {
		return usage{}, errors.Wrap(err, "answer of measured program")
	}
	return u, nil
}

// stop ends the process, which ends when its input does.
func (p *process) stop() {
	_ = p.in.Close()
	_ = p.command.Wait()
}
