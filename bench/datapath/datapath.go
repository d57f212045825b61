// Package datapath benchmarks the data path of the entry and the agent in datagrams per second and
// core. It compares them with a bare copy loop that uses the same sockets, readers and batches and
// does nothing in between. The measured program runs as a separate process, so that its processor
// time excludes that of the load generators.
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
	warmUpTime = 300 * time.Millisecond
	// minRatio is the minimum ratio of the rate of the entry or agent to that of the bare loop.
	minRatio = 0.6
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

// Offsets from PortBase of the ports of the measured program and of the generators.
const (
	portService = iota // the entry's service
	portNode           // the entry or the agent
	portSink           // the caller or the target
	portPeers          // the agents or the entries that the measured program sends to
)

func (o *Options) address(port int) string { return fmt.Sprintf("127.0.0.1:%d", o.PortBase+port) }

// Run runs the benchmark or, for another role, a measured program. In the table, shell is the entry
// or agent, and bound is met if the ratio reaches minRatio.
func Run(ctx context.Context, o Options, in io.Reader, out io.Writer) error {
	if o.Role != "run" {
		return runMeasured(ctx, &o, in, out)
	}
	fmt.Fprintf(out, "%-14s %15s %14s %6s %7s %11s %s\n",
		"case", "shell dg/s/core", "bare dg/s/core", "ratio", "allocs", "cores used", "bound 0.60")
	for _, c := range cases() {
		if err := compare(ctx, &o, c, out); err != nil {
			return errors.Wrap(err, c.name)
		}
	}
	return nil
}

// compare measures one case alternately with the entry or agent and with the bare loop, and prints
// the best results of both.
func compare(ctx context.Context, o *Options, c benchCase, out io.Writer) error {
	var node, bare result
	for range o.Repeat {
		for _, program := range []struct {
			role string
			best *result
		}{{c.role, &node}, {"bare-" + c.role, &bare}} {
			r, err := measure(ctx, o, c, program.role)
			if err != nil {
				return errors.Wrap(err, program.role)
			}
			if r.perCore > program.best.perCore {
				*program.best = r
			}
		}
	}
	boundResult := "met"
	if node.perCore < minRatio*bare.perCore {
		boundResult = "missed"
	}
	fmt.Fprintf(out, "%-14s %15.0f %14.0f %6.2f %7.2f %5.2f %5.2f %s\n",
		c.name, node.perCore, bare.perCore, node.perCore/bare.perCore, node.allocations, node.cores, bare.cores, boundResult)
	return nil
}

// result is one measurement: datagrams per second of processor time, allocations per datagram, and
// seconds of processor time per second, which is close to the number of cores when the generators
// keep the program busy.
type result struct{ perCore, allocations, cores float64 }

// measure starts the measured program and the load, and counts the datagrams that arrive at the
// sink.
func measure(ctx context.Context, o *Options, c benchCase, role string) (result, error) {
	p, err := startProcess(ctx, o, c, role)
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
	time.Sleep(warmUpTime)
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
		return result{}, errors.New("no datagram arrived at the sink")
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
	stdin   io.WriteCloser
	stdout  *bufio.Reader
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu         time.Duration
	allocations uint64
}

// startProcess starts the measured program and waits until it is ready.
func startProcess(ctx context.Context, o *Options, c benchCase, role string) (*process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "path of the benchmark program")
	}
	arguments := []string{"--role", role, "--port-base", fmt.Sprint(o.PortBase)}
	if o.Profile != "" {
		arguments = append(arguments, "--profile", fmt.Sprintf("%s/%s-%s.pprof", o.Profile, c.name, role))
	}
	command := exec.CommandContext(ctx, executable, arguments...)
	command.Env = append(os.Environ(), fmt.Sprint("GOMAXPROCS=", o.Cores))
	command.Stderr = os.Stderr
	p := &process{command: command}
	if p.stdin, err = command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.stdout = bufio.NewReader(out)
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start measured program")
	}
	if _, err := p.usage(); err != nil { // the process responds when it is ready
		p.stop()
		return nil, err
	}
	return p, nil
}

// usage requests the resource usage of the process.
func (p *process) usage() (usage, error) {
	if _, err := fmt.Fprintln(p.stdin, "usage"); err != nil {
		return usage{}, errors.Wrap(err, "request usage of measured program")
	}
	var u usage
	if _, err := fmt.Fscanf(p.stdout, "%d %d\n", &u.cpu, &u.allocations); err != nil {
		return usage{}, errors.Wrap(err, "read usage of measured program")
	}
	return u, nil
}

// stop closes the input of the process, upon which the process exits.
func (p *process) stop() {
	_ = p.stdin.Close()
	_ = p.command.Wait()
}
