// Package fleet starts and controls a fleet of real programs with the stand-ins around it. The demo, the scenarios and the
// measurements share it.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"lacewinglever.dev/bench/fabric"
	"lacewinglever.dev/bench/target"
	"lacewinglever.dev/node/config"
)

// Bounds of waits.
const (
	startWait = 10 * time.Second
	pollEvery = 20 * time.Millisecond
	callWait  = 5 * time.Second
)

// Names of processes besides those of nodes and targets.
const (
	Platform = "platform"
	Fabric   = "fabric"
)

// Fleet is a running fleet.
type Fleet struct {
	*plan
	client *http.Client

	mu        sync.Mutex
	processes map[string]*Process
	order     []string
	loads     map[string]*Load
	temporary bool
}

// New prepares a fleet and starts nothing.
func New(o Options) (*Fleet, error) {
	p, err := newPlan(o)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		plan: p, client: &http.Client{Timeout: callWait}, processes: map[string]*Process{}, loads: map[string]*Load{},
		temporary: o.Dir == "",
	}
	if f.temporary {
		if f.Dir, err = os.MkdirTemp("", "lacewing-fleet-"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Start starts the stand-ins, then the entries, then the agents. It returns when the stand-ins answer.
func (f *Fleet) Start(ctx context.Context) error {
	names := []string{Fabric}
	if !f.Direct {
		names = append(names, Platform)
	}
	for _, n := range f.nodes {
		if n.service >= 0 {
			names = append(names, n.target)
		}
	}
	for _, name := range names {
		if err := f.StartProcess(name); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := f.waitHealthy(ctx, name); err != nil {
			return err
		}
	}
	if err := f.startNodes(); err != nil {
		return err
	}
	return f.waitKnown(ctx)
}

// waitKnown waits until every entry knows every node. A count of the nodes at which a setting is in force ends when all that are known at
// that moment have it, so a setting that is applied while nodes join may be counted at fewer.
func (f *Fleet) waitKnown(ctx context.Context) error {
	for _, entry := range f.Entries() {
		err := f.Until(ctx, startWait, entry+" knows all nodes", func() error {
			known, err := f.Metric(ctx, entry, "lacewing_records")
			if err == nil && int(known) < len(f.nodes) {
				err = errors.Errorf("%d of %d records", int(known), len(f.nodes))
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startNodes() error {
	if f.Direct {
		return nil
	}
	for _, n := range f.nodes {
		if err := f.StartProcess(n.name); err != nil {
			return err
		}
	}
	return nil
}

// StartProcess starts a process of the plan that does not run.
func (f *Fleet) StartProcess(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil && p.Running() {
		return errors.Errorf("%s runs already", name)
	}
	args, err := f.command(name)
	if err != nil {
		return err
	}
	p, err := startProcess(f.Dir, name, args...)
	if err != nil {
		return err
	}
	if f.processes[name] == nil {
		f.order = append(f.order, name)
	}
	f.processes[name] = p
	return nil
}

// command writes the settings file of a process and returns its command line.
func (f *Fleet) command(name string) ([]string, error) {
	switch name {
	case Platform:
		return []string{f.binary("standin-platform"), "--listen", f.platform()}, nil
	case Fabric:
		return f.withConfig("standin-fabric", name, f.fabricConfig())
	}
	for _, n := range f.nodes {
		switch {
		case n.target == name:
			return f.withConfig("standin-target", name, f.targetConfig(n))
		case n.name == name && n.service < 0:
			return f.withConfig("lacewing-entry", name, f.entryFile(n))
		case n.name == name:
			return f.withConfig("lacewing-agent", name, f.agentFile(n))
		}
	}
	return nil, errors.Errorf("no process is called %q", name)
}

func (f *Fleet) binary(program string) string { return filepath.Join(f.Bin, program) }

func (f *Fleet) withConfig(program, name string, settings any) ([]string, error) {
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrapf(err, "settings of %s", name)
	}
	path := filepath.Join(f.Dir, name+".yaml")
	// The file may hold the fleet's key.
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return []string{f.binary(program), "--config", path}, nil
}

// waitHealthy waits until a stand-in answers.
func (f *Fleet) waitHealthy(ctx context.Context, name string) error {
	url := "http://" + f.fabric()
	switch {
	case name == Platform:
		url = "http://" + f.platform()
	case name != Fabric:
		n, err := f.node(name)
		if err != nil {
			return err
		}
		url = f.targetURL(n)
	}
	return f.Until(ctx, startWait, name+" answers", func() error {
		if p := f.Process(name); !p.Running() {
			return errors.Wrapf(errHopeless, "%s: %s", name, f.LogTail(name))
		}
		return f.call(ctx, http.MethodGet, url+"/healthz", nil, nil)
	})
}

// errHopeless in check's error ends a wait of Until early.
var errHopeless = errors.New("process ended")

// Until waits until check returns nil. The error names what was waited for and the last error of check.
func (f *Fleet) Until(ctx context.Context, limit time.Duration, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := check()
		if err == nil || errors.Is(err, errHopeless) {
			return err
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Wrapf(err, "not within %v: %s", limit, what)
		}
	}
}

// call sends a JSON body, if any, and decodes the answer into out, if any.
func (f *Fleet) call(ctx context.Context, method, url string, body, out any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return err
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, url, answer.Status, bytes.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// Process returns a process that was started, or nil.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

func (f *Fleet) started(name string) (*Process, error) {
	if p := f.Process(name); p != nil {
		return p, nil
	}
	return nil, errors.Errorf("%s was not started", name)
}

// Kill ends a process at once.
func (f *Fleet) Kill(name string) error {
	p, err := f.started(name)
	if err != nil {
		return err
	}
	return p.Kill()
}

// Stop asks a process to end in its own way and waits for it.
func (f *Fleet) Stop(name string, limit time.Duration) error {
	p, err := f.started(name)
	if err != nil {
		return err
	}
	return p.Stop(limit)
}

// Pause freezes a process.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Continue lets a frozen process go on.
func (f *Fleet) Continue(name string) error { return f.signal(name, syscall.SIGCONT) }

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.started(name)
	if err != nil {
		return err
	}
	return p.Signal(s)
}

// Ended returns the names of the processes that have ended.
func (f *Fleet) Ended() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range f.order {
		if !f.processes[name].Running() {
			names = append(names, name)
		}
	}
	return names
}

// Close kills all processes. It removes a temporary directory unless the logs are wanted.
func (f *Fleet) Close(keepLogs bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var faults []error
	for _, l := range f.loads {
		faults = append(faults, l.process.Kill())
	}
	for _, name := range f.order {
		faults = append(faults, f.processes[name].Kill())
	}
	if f.temporary && !keepLogs {
		faults = append(faults, os.RemoveAll(f.Dir))
	}
	return errors.Join(faults...)
}

// LogTail returns the last lines of a process's log.
func (f *Fleet) LogTail(name string) string {
	const lines = 5
	text, err := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// SetLink changes a link of the fabric.
func (f *Fleet) SetLink(ctx context.Context, l fabric.Link) error {
	return f.call(ctx, http.MethodPost, "http://"+f.fabric()+"/link", l, nil)
}

// BreakLink resets the TCP connections between two ends of a link.
func (f *Fleet) BreakLink(ctx context.Context, from, to string) error {
	return f.call(ctx, http.MethodPost, "http://"+f.fabric()+"/break", fabric.Link{From: from, To: to}, nil)
}

// FabricState returns the state of the fabric.
func (f *Fleet) FabricState(ctx context.Context) (fabric.State, error) {
	var s fabric.State
	return s, f.call(ctx, http.MethodGet, "http://"+f.fabric()+"/state", nil, &s)
}

// SetEntries puts the named entries in rotation, for all services. In a direct fleet the names are those of agents.
func (f *Fleet) SetEntries(ctx context.Context, names ...string) error {
	for i := range f.Services {
		s := fabric.Service{Name: f.Services[i].FullName(), Entries: f.rotation(i, names)}
		if err := f.call(ctx, http.MethodPost, "http://"+f.fabric()+"/entries", s, nil); err != nil {
			return err
		}
	}
	return nil
}

// SetFaults replaces the faults of the platform stand-in with the ones that the JSON object names.
func (f *Fleet) SetFaults(ctx context.Context, faults string) error {
	return f.call(ctx, http.MethodPost, "http://"+f.platform()+"/admin/faults", json.RawMessage(faults), nil)
}

// SetMode changes the fields of a target's mode that the JSON object names. The target may be named by its agent.
func (f *Fleet) SetMode(ctx context.Context, name, mode string) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	return f.call(ctx, http.MethodPost, f.targetURL(n)+"/admin/mode", json.RawMessage(mode), nil)
}

// Stats returns a target's counters.
func (f *Fleet) Stats(ctx context.Context, name string) (target.Stats, error) {
	var s target.Stats
	n, err := f.node(name)
	if err != nil {
		return s, err
	}
	return s, f.call(ctx, http.MethodGet, f.targetURL(n)+"/stats", nil, &s)
}

func (f *Fleet) targetURL(n node) string { return "http://" + f.at(n.host, portTarget) }

// node finds an agent by its name or its target's.
func (f *Fleet) node(name string) (node, error) {
	for _, n := range f.nodes {
		if n.service >= 0 && (n.target == name || n.name == name) {
			return n, nil
		}
	}
	return node{}, errors.Errorf("no target is called %q", name)
}

// TakeAddress gives a service the address that the fleet planned for another one. It applies to settings and loads from now on.
func (f *Fleet) TakeAddress(service, from string) error {
	i, err := f.serviceIndex(service)
	if err != nil {
		return err
	}
	f.taken[i], err = f.serviceIndex(from)
	return err
}

// MoveAgent has an agent that does not run start next at the addresses of another one, which does not run either.
func (f *Fleet) MoveAgent(name, place string) error {
	to, err := f.node(place)
	if err != nil {
		return err
	}
	for i := range f.nodes {
		if f.nodes[i].name == name {
			f.nodes[i].place = to.host
			return nil
		}
	}
	return errors.Errorf("no agent is called %q", name)
}

// Metric returns the value of a metric of a node, labels included in the name.
func (f *Fleet) Metric(ctx context.Context, name, metric string) (float64, error) {
	values, err := f.Metrics(ctx, name)
	if err != nil {
		return 0, err
	}
	if value, ok := values[metric]; ok {
		return value, nil
	}
	return 0, errors.Errorf("%s has no metric %s", name, metric)
}

// NodeConfig returns the settings that a node shares with all others, the fleet's key included.
func (f *Fleet) NodeConfig(name string) (config.Node, error) {
	n, err := f.anyNode(name)
	return f.common(n), err
}

func (f *Fleet) anyNode(name string) (node, error) {
	for _, n := range f.nodes {
		if n.name == name {
			return n, nil
		}
	}
	return node{}, errors.Errorf("no node is called %q", name)
}

func (f *Fleet) serviceIndex(full string) (int, error) {
	for i := range f.Services {
		if f.Services[i].FullName() == full {
			return i, nil
		}
	}
	return 0, errors.Errorf("no service is called %q", full)
}

func (f *Fleet) targetURLs(service int) []string {
	var urls []string
	for _, n := range f.nodes {
		if n.service == service {
			urls = append(urls, f.targetURL(n))
		}
	}
	return urls
}

// Agents returns the names of a service's agents.
func (f *Fleet) Agents(service string) []string {
	var names []string
	for _, n := range f.nodes {
		if n.service >= 0 && f.Services[n.service].FullName() == service {
			names = append(names, n.name)
		}
	}
	return names
}

// String names the fleet's folder.
func (f *Fleet) String() string { return fmt.Sprintf("fleet in %s", f.Dir) }
