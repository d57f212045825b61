package scenario

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// settingsCommands are the commands of the scenarios about settings.
var settingsCommands = map[string]command{
	"monitor": monitorCommand, "applied": applied, "duty": dutyRanks, "race": race, "session": session, "forge": sendRevision,
}

// sampleEvery is the time between looks of a monitor.
const sampleEvery = 50 * time.Millisecond

// monitor looks at what the nodes of a service have in force and at its accepted revisions, and collects what must never happen: a
// process that goes back to an older revision, and a revision that changes after it was accepted.
type monitor struct {
	s       *state
	service string
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu       sync.Mutex
	samples  int
	highest  map[string]uint64 // by process
	versions map[string]uint64 // of the objects of the revisions
	faults   []string
}

func monitorCommand(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) == 2 && args[0] == "start" && s.monitor == nil {
		s.monitor = newMonitor(s, args[1])
		return nil
	}
	if len(args) != 1 || args[0] != "check" || s.monitor == nil {
		return errors.New("usage: monitor start SERVICE, once, then monitor check")
	}
	s.monitor.stop()
	s.monitor.done.Wait()
	if len(s.monitor.faults) > 0 || s.monitor.samples == 0 {
		return errors.Errorf("%d samples\n%s", s.monitor.samples, strings.Join(s.monitor.faults, "\n"))
	}
	return nil
}

func newMonitor(s *state, service string) *monitor {
	ctx, stop := context.WithCancel(s.ctx)
	m := &monitor{s: s, service: service, stop: stop, highest: map[string]uint64{}, versions: map[string]uint64{}}
	m.repeat(ctx, func() {
		if versions, err := s.fleet.Revisions(ctx, service); err == nil {
			m.revisions(versions)
		}
	})
	for _, name := range s.fleet.Concerned(service) {
		m.repeat(ctx, func() {
			// A process that ends while it is asked is not mistaken for the next one.
			before := s.fleet.Process(name)
			if number, err := s.fleet.Applied(ctx, service, name); err == nil && before == s.fleet.Process(name) {
				m.sample(fmt.Sprintf("%s (process %d)", name, before.PID()), number)
			}
		})
	}
	return m
}

func (m *monitor) repeat(ctx context.Context, look func()) {
	m.done.Go(func() {
		for ctx.Err() == nil {
			look()
			time.Sleep(sampleEvery)
		}
	})
}

func (m *monitor) sample(process string, number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	if number < m.highest[process] {
		m.faults = append(m.faults, fmt.Sprintf("%s went back from revision %d to %d", process, m.highest[process], number))
	}
	m.highest[process] = number
}

// revisions checks a listing. One from a stale read lacks the newest revisions.
func (m *monitor) revisions(versions map[string]uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for path, version := range versions {
		if known := m.versions[path]; known != 0 && known != version {
			m.faults = append(m.faults, fmt.Sprintf("%s changed: version %d, then %d", path, known, version))
		}
		m.versions[path] = version
	}
}

func applied(s *state, _ *testscript.TestScript, args []string) error {
	limit, args, err := within(args)
	if err != nil || len(args) < 2 {
		return errors.New("usage: applied [-within D] SERVICE REVISION [NODE...]")
	}
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	names := args[2:]
	if len(names) == 0 {
		names = s.fleet.Concerned(args[0])
	}
	return s.fleet.Until(s.ctx, limit, "revision "+args[1], func() error {
		for _, name := range names {
			number, err := s.fleet.Applied(s.ctx, args[0], name)
			if err != nil {
				return err
			}
			if number != want {
				return errors.Errorf("%s is at revision %d", name, number)
			}
		}
		return nil
	})
}

// dutyRanks sets variables to the names of the entries by their rank for the control duty.
func dutyRanks(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: duty SERVICE VAR...")
	}
	ranked, err := s.fleet.DutyRanks(args[0])
	if err != nil {
		return err
	}
	if len(ranked) < len(args)-1 {
		return errors.Errorf("there are only %d entries with the duty", len(ranked))
	}
	for i, name := range args[1:] {
		ts.Setenv(name, ranked[i])
	}
	return nil
}

// race lets one operator per file write the settings at the same moment. One must win, and the others must be told its name.
func race(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: race SERVICE FILE FILE...")
	}
	current, err := s.fleet.SpecVersion(s.ctx, args[0])
	if err != nil {
		return err
	}
	outputs, failures := make([]string, len(args)), make([]error, len(args))
	var racing sync.WaitGroup
	for i := range args[1:] {
		file, err := s.fleet.SettingsFile(args[0], fmt.Sprint("operator-", i), ts.ReadFile(args[i+1]))
		if err != nil {
			return err
		}
		racing.Go(func() {
			outputs[i], failures[i] = s.fleet.ControlAs(s.ctx, fmt.Sprint("operator-", i),
				"apply", "--if-version", strconv.FormatUint(current, 10), args[0], file)
		})
	}
	racing.Wait()
	winner := -1
	for i, err := range failures[:len(args)-1] {
		if err == nil && winner >= 0 {
			return errors.Errorf("operators %d and %d won", winner, i)
		}
		if err == nil {
			winner = i
		}
	}
	if winner < 0 {
		return errors.Errorf("nobody won: %v", failures)
	}
	version, err := s.fleet.SpecVersion(s.ctx, args[0])
	if err != nil {
		return err
	}
	ts.Setenv("VERSION", strconv.FormatUint(version, 10))
	ts.Setenv("WINNER", fmt.Sprint("operator-", winner))
	want := fmt.Sprintf("changed by %q in version %d", ts.Getenv("WINNER"), version)
	for i := range args[1:] {
		if i != winner && !strings.Contains(outputs[i], want) {
			return errors.Errorf("operator-%d was told %q, want %q", i, outputs[i], want)
		}
	}
	return nil
}

// varying are the values of a session that differ from run to run.
var varying = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`\d+ ms`), "N ms"},
	{regexp.MustCompile(`version \d+`), "version V"},
	{regexp.MustCompile(`write [A-Z0-9]{26}`), "write ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`127\.250\.0\.1:\d+`), "ADDRESS"},
}

// session runs the command lines of a golden file, which begin with "$ OPERATOR", and compares all output with the file. Words that
// begin with @ are files of the script, to which the fleet's own settings of the service are added.
func session(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: session SERVICE FILE")
	}
	want := ts.ReadFile(args[1])
	var got strings.Builder
	for _, line := range strings.Split(want, "\n") {
		words := strings.Fields(line)
		if len(words) < 3 || words[0] != "$" {
			continue
		}
		got.WriteString(line + "\n")
		out, err := s.sessionLine(ts, args[0], words[1], words[2:])
		if err != nil {
			out += "failed\n"
		}
		got.WriteString(out)
	}
	if got.String() == want {
		return nil
	}
	if file := os.Getenv("LACEWING_SESSION_OUT"); file != "" {
		return os.WriteFile(file, []byte(got.String()), 0o600)
	}
	return errors.Errorf("the session printed:\n%s", got.String())
}

func (s *state) sessionLine(ts *testscript.TestScript, service, writer string, words []string) (string, error) {
	files := map[string]string{}
	for i, word := range words {
		name, ok := strings.CutPrefix(word, "@")
		if !ok {
			continue
		}
		file, err := s.fleet.SettingsFile(service, name, ts.ReadFile(name))
		if err != nil {
			return "", err
		}
		files[file], words[i] = word, file
	}
	out, err := s.fleet.ControlAs(s.ctx, writer, words...)
	for file, word := range files {
		out = strings.ReplaceAll(out, file, word)
	}
	for _, v := range varying {
		out = v.pattern.ReplaceAllString(out, v.with)
	}
	return out, err
}

// sendRevision sends every node of a service a revision by datagram and by RPC: signed with a key that is not the fleet's, or a valid old one.
func sendRevision(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 || args[2] != "forged" && args[2] != "stale" {
		return errors.New("usage: forge SERVICE REVISION forged|stale")
	}
	number, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	return s.fleet.SendRevision(s.ctx, args[0], number, args[2] == "forged")
}
