package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/rogpeppe/go-internal/testscript"

	"lacewinglever.dev/bench/fabric"
	"lacewinglever.dev/bench/fleet"
	"lacewinglever.dev/bench/load"
)

const (
	firstPort        = 20000 // port base of the first scenario; below the range of ephemeral ports
	startTimeout     = 45 * time.Second
	stopTimeout      = 70 * time.Second // exceeds the drain timeout of the fleet's agents
	defaultTimeout   = 10 * time.Second
	maxSleep         = time.Minute
	maxPrintedEvents = 5 // events that a failed expectation prints; the report has more
)

// state is shared by the commands of one script.
type state struct {
	ctx        context.Context
	bin        string
	portBase   int
	fleet      *fleet.Fleet
	applyStart time.Time // when the last apply command began

	monitor *monitor
}

type stateKey struct{}

type command func(s *state, ts *testscript.TestScript, args []string) error

// Guards against the failure that the head of each script in testdata describes, with the real
// programs.
func TestScenarios(t *testing.T) {
	bin := os.Getenv("LACEWING_BIN")
	if bin == "" {
		t.Fatal("LACEWING_BIN is not set; make scenarios sets it")
	}
	base := firstPort
	if text := os.Getenv("LACEWING_FIRST_PORT"); text != "" {
		var err error
		if base, err = strconv.Atoi(text); err != nil {
			t.Fatalf("LACEWING_FIRST_PORT: %v", err)
		}
	}
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	slices.Sort(files)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			name := strings.TrimPrefix(filepath.Base(env.WorkDir), "script-")
			index := slices.Index(files, filepath.Join("testdata", name+".txtar"))
			if index < 0 {
				return errors.Errorf("no script with the name %q", name)
			}
			ctx, cancel := context.WithCancel(context.Background())
			s := &state{ctx: ctx, bin: bin, portBase: base + index*fleet.PortsPerFleet}
			env.Values[stateKey{}] = s
			env.Defer(func() {
				cancel()
				s.close(env.T())
			})
			return nil
		},
		Cmds: commands(),
	})
}

// close kills the fleet. It keeps the logs if the scenario failed.
func (s *state) close(t testscript.T) {
	if s.fleet == nil {
		return
	}
	failed := true
	if f, ok := t.(interface{ Failed() bool }); ok {
		failed = f.Failed()
	}
	if failed {
		t.Log("logs of all programs: " + s.fleet.Dir)
	}
	if err := s.fleet.Close(failed); err != nil {
		t.Log(err)
	}
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"fleet": startFleet, "process": process, "ended": ended, "link": link, "rotation": rotation, "platform": platform,
		"mode": mode, "apply": apply, "inforce": inForce, "ctl": control, "load": loads, "expect": expect, "stats": stats,
		"now": now, "sleep": sleep, "break": breakLink,
	}
	maps.Copy(all, feedCommands())
	maps.Copy(all, settingsCommands)
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range all {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(stateKey{}).(*state)
			if s.fleet == nil && name != "fleet" && name != "sleep" && name != "now" {
				ts.Fatalf("%s: the fleet was not started", name)
			}
			err := run(s, ts, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s %q succeeded, want a failure", name, args)
			case !neg && err != nil:
				ts.Fatalf("%s %q: %v", name, args, err)
			}
		}
	}
	return cmds
}

// process runs an action on processes. It is one command with actions because testscript has
// commands of its own with the names kill and stop.
func process(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: process start|kill|pause|continue|stop NAME...")
	}
	action, ok := map[string]func(string) error{
		"start": s.fleet.StartProcess, "kill": s.fleet.Kill, "pause": s.fleet.Pause, "continue": s.fleet.Continue,
		"stop": func(name string) error { return s.fleet.Stop(name, stopTimeout) },
	}[args[0]]
	if !ok {
		return errors.Errorf("unknown process action %s", args[0])
	}
	for _, name := range args[1:] {
		if err := action(name); err != nil {
			return err
		}
	}
	return nil
}

func readYAML(ts *testscript.TestScript, file string, into any) error {
	return yaml.NewDecoder(strings.NewReader(ts.ReadFile(file)), yaml.Strict()).Decode(into)
}

type fleetSettings struct {
	Entries  []int           `yaml:"entries"`
	Direct   bool            `yaml:"direct"`
	Services []fleet.Service `yaml:"services"`
	Links    []fabric.Link   `yaml:"links"`
}

func startFleet(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 || s.fleet != nil {
		return errors.New("usage: fleet FILE [noapply], once")
	}
	var file fleetSettings
	if err := readYAML(ts, args[0], &file); err != nil {
		return err
	}
	f, err := fleet.New(fleet.Options{
		Bin: s.bin, PortBase: s.portBase, Seed: 1, Entries: file.Entries, Services: file.Services, Links: file.Links,
		Direct: file.Direct,
	})
	if err != nil {
		return err
	}
	s.fleet = f
	if err := f.Start(s.ctx); err != nil || file.Direct || len(args) > 1 {
		return err
	}
	return f.ApplyAll(s.ctx, startTimeout)
}

// optionalDuration parses the timeout in the first argument. Without arguments it returns the
// default.
func optionalDuration(args []string) (time.Duration, error) {
	if len(args) == 0 {
		return defaultTimeout, nil
	}
	return time.ParseDuration(args[0])
}

func ended(s *state, _ *testscript.TestScript, args []string) error {
	got := s.fleet.EndedProcesses()
	slices.Sort(got)
	slices.Sort(args)
	if !slices.Equal(got, args) {
		return errors.Errorf("ended: %q", got)
	}
	return nil
}

// yamlPairs converts KEY=VALUE arguments to a YAML mapping.
func yamlPairs(args []string) string {
	var b strings.Builder
	b.WriteString("{")
	for _, a := range args {
		key, value, _ := strings.Cut(a, "=")
		fmt.Fprintf(&b, "%s: %s, ", key, value)
	}
	return b.String() + "}"
}

func link(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: link FROM TO [KEY=VALUE...]")
	}
	var l fabric.Link
	if err := yaml.UnmarshalWithOptions([]byte(yamlPairs(args[2:])), &l, yaml.Strict()); err != nil {
		return err
	}
	l.From, l.To = args[0], args[1]
	return s.fleet.SetLink(s.ctx, l)
}

func rotation(s *state, _ *testscript.TestScript, args []string) error {
	return s.fleet.SetRotation(s.ctx, args...)
}

// toJSON converts KEY=VALUE arguments to a JSON object. Durations become nanoseconds.
func toJSON(args []string) (string, error) {
	values := map[string]any{}
	for _, a := range args {
		key, text, _ := strings.Cut(a, "=")
		if d, err := time.ParseDuration(text); err == nil && text != "0" {
			values[key] = d
			continue
		}
		var value any
		if err := json.Unmarshal([]byte(text), &value); err != nil {
			return "", errors.Wrap(err, a)
		}
		values[key] = value
	}
	b, err := json.Marshal(values)
	return string(b), err
}

func platform(s *state, _ *testscript.TestScript, args []string) error {
	faults, err := toJSON(args)
	if err != nil {
		return err
	}
	return s.fleet.SetPlatformFaults(s.ctx, faults)
}

func mode(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: mode TARGET KEY=VALUE...")
	}
	change, err := toJSON(args[1:])
	if err != nil {
		return err
	}
	return s.fleet.SetTargetMode(s.ctx, args[0], change)
}

func apply(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("usage: apply SERVICE [FILE]")
	}
	extraYAML := ""
	if len(args) > 1 {
		extraYAML = ts.ReadFile(args[1])
	}
	s.applyStart = time.Now()
	version, err := s.fleet.Apply(s.ctx, args[0], extraYAML)
	if err != nil {
		return err
	}
	ts.Setenv("VERSION", strconv.FormatUint(version, 10))
	return nil
}

func inForce(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("usage: inforce SERVICE [WITHIN]")
	}
	limit, err := optionalDuration(args[1:])
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(ts.Getenv("VERSION"), 10, 64)
	if err != nil {
		return err
	}
	err = s.fleet.WaitInForce(s.ctx, args[0], version, s.fleet.NodeCount(args[0]), limit)
	ts.Setenv("TOOK_MS", strconv.FormatInt(time.Since(s.applyStart).Milliseconds(), 10))
	return err
}

func control(s *state, ts *testscript.TestScript, args []string) error {
	out, err := s.fleet.RunCtl(s.ctx, args...)
	_, _ = ts.Stdout().Write([]byte(out))
	return err
}

// loadSettings are the settings of a load. The addresses come from the fleet.
type loadSettings struct {
	Duration time.Duration   `yaml:"duration"`
	Seed     uint64          `yaml:"seed"`
	Feeds    []load.Feeds    `yaml:"feeds"`
	Requests []load.Requests `yaml:"requests"`
}

func loads(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: load start|mark|stop|wait NAME [FILE]")
	}
	var err error
	switch args[0] {
	case "start":
		if len(args) < 3 {
			return errors.New("load start: no file")
		}
		return startLoad(s, ts, args[1], args[2])
	case "mark":
		return s.fleet.MarkLoad(s.ctx, args[1])
	case "stop":
		_, err = s.fleet.StopLoad(s.ctx, args[1], startTimeout)
	case "wait":
		_, err = s.fleet.WaitLoad(s.ctx, args[1], maxSleep)
	default:
		err = errors.Errorf("unknown load action %s", args[0])
	}
	return err
}

func startLoad(s *state, ts *testscript.TestScript, name, file string) error {
	var l loadSettings
	if err := readYAML(ts, file, &l); err != nil {
		return err
	}
	for i := range l.Feeds {
		planned, err := s.fleet.FeedLoad(l.Feeds[i].Service, 0)
		if err != nil {
			return err
		}
		l.Feeds[i].Address, l.Feeds[i].Targets = planned.Address, planned.Targets
	}
	for i := range l.Requests {
		planned, err := s.fleet.RequestLoad(l.Requests[i].Service, 0)
		if err != nil {
			return err
		}
		l.Requests[i].Address, l.Requests[i].Targets = planned.Address, planned.Targets
	}
	return s.fleet.StartLoad(s.ctx, name, load.Config{
		Duration: l.Duration, Seed: l.Seed, Feeds: l.Feeds, Requests: l.Requests})
}

// splitWithin splits off the timeout of a wait. Without one it is 0: the condition must hold at
// once.
func splitWithin(args []string) (time.Duration, []string, error) {
	if len(args) < 2 || args[0] != "-within" {
		return 0, args, nil
	}
	d, err := time.ParseDuration(args[1])
	return d, args[2:], err
}

func expect(s *state, _ *testscript.TestScript, args []string) error {
	limit, args, err := splitWithin(args)
	if err != nil || len(args) < 4 {
		return errors.New("usage: expect [-within D] LOAD SERVICE FIELD OP VALUE, or LOAD faults == 0")
	}
	return s.fleet.WaitUntil(s.ctx, limit, strings.Join(args, " "), func() error {
		r, err := s.fleet.LoadReport(s.ctx, args[0])
		if err != nil {
			return err
		}
		if args[1] == "faults" {
			return compare(float64(len(r.Violations())), args[2:], fmt.Sprintf("%q", r.Violations()))
		}
		row, events, err := serviceReport(r, args[1])
		if err != nil {
			return err
		}
		return compareField(row, args[2:], strings.Join(events[:min(maxPrintedEvents, len(events))], "\n"))
	})
}

// serviceReport returns the part of a report for a service, and its events.
func serviceReport(r *load.Report, service string) (any, []string, error) {
	for _, f := range r.Feeds {
		if f.Service == service {
			return f, f.Events, nil
		}
	}
	for _, q := range r.Requests {
		if q.Service == service {
			return q, q.Events, nil
		}
	}
	return nil, nil, errors.Errorf("the report has no service %q", service)
}

func stats(s *state, _ *testscript.TestScript, args []string) error {
	limit, args, err := splitWithin(args)
	if err != nil || len(args) < 4 {
		return errors.New("usage: stats [-within D] TARGET FIELD OP VALUE")
	}
	return s.fleet.WaitUntil(s.ctx, limit, strings.Join(args, " "), func() error {
		got, err := s.fleet.TargetStats(s.ctx, args[0])
		if err != nil {
			return err
		}
		return compareField(got, args[1:], "")
	})
}

// compareField compares a numeric field of a value, such as pool.busy_imbalance, by the field names
// of its JSON form.
func compareField(value any, args []string, detail string) error {
	got, err := numberField(value, args[0])
	if err != nil {
		return err
	}
	return compare(got, args[1:], detail)
}

// numberField returns a numeric field of the JSON form of a value.
func numberField(value any, name string) (float64, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	var tree any
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&tree); err != nil {
		return 0, err
	}
	for _, key := range strings.Split(name, ".") {
		object, ok := tree.(map[string]any)
		if !ok || object[key] == nil {
			return 0, errors.Errorf("no field %q in %s", name, text)
		}
		tree = object[key]
	}
	got, ok := tree.(float64)
	if !ok {
		return 0, errors.Errorf("%s is not a number", name)
	}
	return got, nil
}

func compare(got float64, args []string, detail string) error {
	if len(args) != 2 {
		return errors.New("want OP VALUE")
	}
	var want float64
	for _, addend := range strings.Split(args[1], "+") {
		n, err := strconv.ParseFloat(addend, 64)
		if err != nil {
			return err
		}
		want += n
	}
	holds, known := map[string]bool{
		"==": got == want, "!=": got != want, "<": got < want, "<=": got <= want, ">": got > want, ">=": got >= want,
	}[args[0]]
	switch {
	case !known:
		return errors.Errorf("unknown comparison operator %s", args[0])
	case !holds:
		return errors.Errorf("is %v, want %s %v\n%s", got, args[0], want, detail)
	}
	return nil
}

func now(_ *state, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: now VAR")
	}
	ts.Setenv(args[0], strconv.FormatInt(time.Now().UnixMilli(), 10))
	return nil
}

func sleep(s *state, _ *testscript.TestScript, args []string) error {
	d, err := optionalDuration(args)
	if err != nil || d > maxSleep {
		return errors.Errorf("want a duration of at most %v: %v", maxSleep, err)
	}
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
	return nil
}
