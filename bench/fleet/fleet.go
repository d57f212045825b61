// Package fleet starts and controls a fleet of the real programs, with stand-ins for the platform,
// the fabric and the targets. The demo, the scenarios and the measurements share it.
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

const (
	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
	callTimeout  = 5 * time.Second
)

// Names of the processes besides nodes and targets.
const (
	Platform = "platform"
	Fabric   = "fabric"
)

// Fleet is a fleet of processes and the client that controls it.
type Fleet struct {
	*plan
	client *http.Client

	mu           sync.Mutex
	processes    map[string]*Process
	startOrder   []string
	loads        map[string]*loadProgram
	temporaryDir bool
}

// New plans a fleet and starts no process.
func New(o Options) (*Fleet, error) {
	p, err := newPlan(o)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		plan: p, client: &http.Client{Timeout: callTimeout}, processes: map[string]*Process{},
		loads:        map[string]*loadProgram{},
		temporaryDir: o.Dir == "",
	}
	if f.temporaryDir {
		if f.Dir, err = os.MkdirTemp("", "lacewing-fleet-"); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Start starts the stand-ins, then the entries, then the agents. It returns when the stand-ins
// respond and every entry has a record of every node.
func (f *Fleet) Start(ctx context.Context) error {
	names := []string{Fabric}
	if !f.Direct {
		names = append(names, Platform)
	}
	for _, n := range f.nodes {
		if n.serviceIndex >= 0 {
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
	return f.waitForRecords(ctx)
}

// waitForRecords waits until every entry has a record of every node. The count of nodes at which a
// setting is in force is closed when all nodes with a record at that moment have applied it, so a
// setting that is applied while nodes join may be counted at fewer nodes.
func (f *Fleet) waitForRecords(ctx context.Context) error {
	for _, entry := range f.Entries() {
		err := f.WaitUntil(ctx, startTimeout, entry+" has a record of every node", func() error {
			records, err := f.Metric(ctx, entry, "lacewing_records")
			if err == nil && int(records) < len(f.nodes) {
				err = errors.Errorf("%d of %d records", int(records), len(f.nodes))
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

// StartProcess starts a process of the plan that is not running.
func (f *Fleet) StartProcess(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[name]; p != nil && p.Running() {
		return errors.Errorf("%s is already running", name)
	}
	args, err := f.commandLine(name)
	if err != nil {
		return err
	}
	p, err := startProcess(f.Dir, name, args...)
	if err != nil {
		return err
	}
	if f.processes[name] == nil {
		f.startOrder = append(f.startOrder, name)
	}
	f.processes[name] = p
	return nil
}

// commandLine writes the settings file of a process and returns its command line.
func (f *Fleet) commandLine(name string) ([]string, error) {
	switch name {
	case Platform:
		return []string{f.binary("standin-platform"), "--listen", f.platformAddress()}, nil
	case Fabric:
		return f.commandWithConfig("standin-fabric", name, f.fabricConfig())
	}
	for _, n := range f.nodes {
		switch {
		case n.target == name:
			return f.commandWithConfig("standin-target", name, f.targetConfig(n))
		case n.name == name && n.serviceIndex < 0:
			return f.commandWithConfig("lacewing-entry", name, f.entryConfig(n))
		case n.name == name:
			return f.commandWithConfig("lacewing-agent", name, f.agentConfig(n))
		}
	}
	return nil, errors.Errorf("no process with the name %q", name)
}

func (f *Fleet) binary(program string) string { return filepath.Join(f.Bin, program) }

func (f *Fleet) commandWithConfig(program, name string, settings any) ([]string, error) {
	text, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrapf(err, "settings of %s", name)
	}
	path := filepath.Join(f.Dir, name+".yaml")
	// The file may contain the fleet's key.
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	return []string{f.binary(program), "--config", path}, nil
}

// waitHealthy waits until the health check of a stand-in succeeds. It ends early if the process
// ends.
func (f *Fleet) waitHealthy(ctx context.Context, name string) error {
	url := "http://" + f.fabricAddress()
	switch {
	case name == Platform:
		url = "http://" + f.platformAddress()
	case name != Fabric:
		n, err := f.findAgent(name)
		if err != nil {
			return err
		}
		url = f.targetURL(n)
	}
	return f.WaitUntil(ctx, startTimeout, name+" responds", func() error {
		if p := f.Process(name); !p.Running() {
			return errors.Wrapf(errProcessEnded, "%s: %s", name, f.LogTail(name))
		}
		return f.call(ctx, http.MethodGet, url+"/healthz", nil, nil)
	})
}

// errProcessEnded, wrapped in the error of a check, ends WaitUntil early.
var errProcessEnded = errors.New("process ended")

// WaitUntil polls check until it returns nil. After the limit, the error names the awaited
// condition and wraps the last error of check.
func (f *Fleet) WaitUntil(ctx context.Context, limit time.Duration, condition string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := check()
		if err == nil || errors.Is(err, errProcessEnded) {
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "not within %v: %s", limit, condition)
		}
	}
}

// call sends a request with body as JSON, unless nil, and decodes the response into out, unless
// nil. A status other than 2xx is an error.
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
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, url, response.Status, bytes.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}

// Process returns the process of a name, nil if it was not started.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

func (f *Fleet) startedProcess(name string) (*Process, error) {
	if p := f.Process(name); p != nil {
		return p, nil
	}
	return nil, errors.Errorf("%s was not started", name)
}

// Kill ends a process with SIGKILL.
func (f *Fleet) Kill(name string) error {
	p, err := f.startedProcess(name)
	if err != nil {
		return err
	}
	return p.Kill()
}

// Stop sends SIGTERM to a process and waits for its exit.
func (f *Fleet) Stop(name string, limit time.Duration) error {
	p, err := f.startedProcess(name)
	if err != nil {
		return err
	}
	return p.Stop(limit)
}

// Pause stops a process with SIGSTOP.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Continue resumes a paused process with SIGCONT.
func (f *Fleet) Continue(name string) error { return f.signal(name, syscall.SIGCONT) }

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.startedProcess(name)
	if err != nil {
		return err
	}
	return p.Signal(s)
}

// EndedProcesses returns the names of the processes that have ended, in the order of their first
// start.
func (f *Fleet) EndedProcesses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range f.startOrder {
		if !f.processes[name].Running() {
			names = append(names, name)
		}
	}
	return names
}

// Close kills all processes. It removes a temporary directory unless keepLogs is set.
func (f *Fleet) Close(keepLogs bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var errs []error
	for _, l := range f.loads {
		errs = append(errs, l.process.Kill())
	}
	for _, name := range f.startOrder {
		errs = append(errs, f.processes[name].Kill())
	}
	if f.temporaryDir && !keepLogs {
		errs = append(errs, os.RemoveAll(f.Dir))
	}
	return errors.Join(errs...)
}

// LogTail returns the last five lines of the log of a process.
func (f *Fleet) LogTail(name string) string {
	const lines = 5
	text, err := os.ReadFile(filepath.Join(f.Dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	logLines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(logLines[max(0, len(logLines)-lines):], "\n")
}

// SetLink sets the properties of a link of the fabric.
func (f *Fleet) SetLink(ctx context.Context, l fabric.Link) error {
	return f.call(ctx, http.MethodPost, "http://"+f.fabricAddress()+"/link", l, nil)
}

// BreakLink resets the TCP connections between two endpoints of a link.
func (f *Fleet) BreakLink(ctx context.Context, from, to string) error {
	return f.call(ctx, http.MethodPost, "http://"+f.fabricAddress()+"/break", fabric.Link{From: from, To: to}, nil)
}

// FabricState returns the state of the fabric.
func (f *Fleet) FabricState(ctx context.Context) (fabric.State, error) {
	var s fabric.State
	return s, f.call(ctx, http.MethodGet, "http://"+f.fabricAddress()+"/state", nil, &s)
}

// SetRotation puts only the named entries in rotation, for all services. In a direct fleet the
// names are those of agents.
func (f *Fleet) SetRotation(ctx context.Context, names ...string) error {
	for i := range f.Services {
		s := fabric.Service{Name: f.Services[i].FullName(), Entries: f.rotation(i, names)}
		if err := f.call(ctx, http.MethodPost, "http://"+f.fabricAddress()+"/entries", s, nil); err != nil {
			return err
		}
	}
	return nil
}

// SetPlatformFaults replaces the faults of the platform stand-in by those in a JSON object.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults string) error {
	return f.call(ctx, http.MethodPost, "http://"+f.platformAddress()+"/admin/faults", json.RawMessage(faults), nil)
}

// SetTargetMode changes the fields of a target's mode that a JSON object has. name is that of the
// target or of its agent.
func (f *Fleet) SetTargetMode(ctx context.Context, name, mode string) error {
	n, err := f.findAgent(name)
	if err != nil {
		return err
	}
	return f.call(ctx, http.MethodPost, f.targetURL(n)+"/admin/mode", json.RawMessage(mode), nil)
}

// TargetStats returns a target's counters.
func (f *Fleet) TargetStats(ctx context.Context, name string) (target.Stats, error) {
	var s target.Stats
	n, err := f.findAgent(name)
	if err != nil {
		return s, err
	}
	return s, f.call(ctx, http.MethodGet, f.targetURL(n)+"/stats", nil, &s)
}

func (f *Fleet) targetURL(n node) string { return "http://" + f.hostPort(n.host, portTarget) }

// findAgent returns an agent by its own name or that of its target.
func (f *Fleet) findAgent(name string) (node, error) {
	for _, n := range f.nodes {
		if n.serviceIndex >= 0 && (n.target == name || n.name == name) {
			return n, nil
		}
	}
	return node{}, errors.Errorf("no target or agent with the name %q", name)
}

// TakeAddress gives a service the planned address of another service. It applies to settings and
// loads from now on.
func (f *Fleet) TakeAddress(service, from string) error {
	i, err := f.serviceIndex(service)
	if err != nil {
		return err
	}
	f.addressOf[i], err = f.serviceIndex(from)
	return err
}

// MoveAgent sets the addresses for the next start of an agent to those of another agent. Neither
// may run.
func (f *Fleet) MoveAgent(name, place string) error {
	to, err := f.findAgent(place)
	if err != nil {
		return err
	}
	for i := range f.nodes {
		if f.nodes[i].name == name {
			f.nodes[i].agentHost = to.host
			return nil
		}
	}
	return errors.Errorf("no agent with the name %q", name)
}

// Metric returns the value of a metric of a node. The name of the metric includes its labels.
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

// NodeConfig returns the settings that entries and agents have in common, the fleet's key included.
func (f *Fleet) NodeConfig(name string) (config.Node, error) {
	n, err := f.findNode(name)
	return f.commonConfig(n), err
}

func (f *Fleet) findNode(name string) (node, error) {
	for _, n := range f.nodes {
		if n.name == name {
			return n, nil
		}
	}
	return node{}, errors.Errorf("no node with the name %q", name)
}

func (f *Fleet) serviceIndex(full string) (int, error) {
	for i := range f.Services {
		if f.Services[i].FullName() == full {
			return i, nil
		}
	}
	return 0, errors.Errorf("no service with the name %q", full)
}

func (f *Fleet) targetURLs(service int) []string {
	var urls []string
	for _, n := range f.nodes {
		if n.serviceIndex == service {
			urls = append(urls, f.targetURL(n))
		}
	}
	return urls
}

// Agents returns the names of a service's agents.
func (f *Fleet) Agents(service string) []string {
	var names []string
	for _, n := range f.nodes {
		if n.serviceIndex >= 0 && f.Services[n.serviceIndex].FullName() == service {
			names = append(names, n.name)
		}
	}
	return names
}

// String returns a description with the directory.
func (f *Fleet) String() string { return fmt.Sprintf("fleet in %s", f.Dir) }
