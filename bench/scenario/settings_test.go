package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// settingsCommands are the commands of the scenarios for settings.
var settingsCommands = map[string]command{
	"monitor": monitorCommand, "applied": applied, "duty": controllerRanks, "race": race, "session": session,
	"forge": forgeRevision, "nodes": nodesCommand, "missing": missing, "caller": loggedCallerOf,
}

// sampleInterval is the pause between two reads of a monitor.
const sampleInterval = 50 * time.Millisecond

// monitor polls the revision in force at each node of a service and the accepted revisions in the
// store, and collects violations: a process that goes back to an older revision, and a revision
// that changes after it was accepted.
type monitor struct {
	s       *state
	service string
	stop    context.CancelFunc
	running sync.WaitGroup

	mu             sync.Mutex
	samples        int
	newestRevision map[string]uint64 // newest revision seen in force, by process
	objectVersions map[string]uint64 // of the accepted revisions, by object path
	violations     []string
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
	s.monitor.running.Wait()
	if len(s.monitor.violations) > 0 || s.monitor.samples == 0 {
		return errors.Errorf("%d samples\n%s", s.monitor.samples, strings.Join(s.monitor.violations, "\n"))
	}
	return nil
}

func newMonitor(s *state, service string) *monitor {
	ctx, stop := context.WithCancel(s.ctx)
	m := &monitor{s: s, service: service, stop: stop,
		newestRevision: map[string]uint64{}, objectVersions: map[string]uint64{}}
	m.poll(ctx, func() {
		if versions, err := s.fleet.RevisionVersions(ctx, service); err == nil {
			m.checkRevisions(versions)
		}
	})
	for _, name := range s.fleet.ConcernedNodes(service) {
		m.poll(ctx, func() {
			// A process that is replaced during the call must not be confused with its successor.
			before := s.fleet.Process(name)
			if number, err := s.fleet.AppliedRevision(ctx, service, name); err == nil && before == s.fleet.Process(name) {
				m.checkApplied(fmt.Sprintf("%s (process %d)", name, before.PID()), number)
			}
		})
	}
	return m
}

func (m *monitor) poll(ctx context.Context, read func()) {
	m.running.Go(func() {
		for ctx.Err() == nil {
			read()
			time.Sleep(sampleInterval)
		}
	})
}

func (m *monitor) checkApplied(process string, number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	if number < m.newestRevision[process] {
		m.violations = append(m.violations,
			fmt.Sprintf("%s went back from revision %d to %d", process, m.newestRevision[process], number))
	}
	m.newestRevision[process] = number
}

// checkRevisions checks a listing of the revisions. Paths that are missing in it are no violation,
// because a stale read lacks the newest revisions.
func (m *monitor) checkRevisions(versions map[string]uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for path, version := range versions {
		if known := m.objectVersions[path]; known != 0 && known != version {
			m.violations = append(m.violations, fmt.Sprintf("%s changed: version %d, then %d", path, known, version))
		}
		m.objectVersions[path] = version
	}
}

func applied(s *state, _ *testscript.TestScript, args []string) error {
	limit, args, err := splitWithin(args)
	if err != nil || len(args) < 2 {
		return errors.New("usage: applied [-within D] SERVICE REVISION [NODE...]")
	}
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	names := args[2:]
	if len(names) == 0 {
		names = s.fleet.ConcernedNodes(args[0])
	}
	return s.fleet.WaitUntil(s.ctx, limit, "revision "+args[1], func() error {
		for _, name := range names {
			number, err := s.fleet.AppliedRevision(s.ctx, args[0], name)
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

// controllerRanks sets variables to the names of the entries in the order of their controller rank.
func controllerRanks(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: duty SERVICE VAR...")
	}
	ranked, err := s.fleet.EntriesByControllerRank(args[0])
	if err != nil {
		return err
	}
	if len(ranked) < len(args)-1 {
		return errors.Errorf("only %d entries have a controller rank", len(ranked))
	}
	for i, name := range args[1:] {
		ts.Setenv(name, ranked[i])
	}
	return nil
}

// race writes the settings concurrently, once per file, each time as another operator. Exactly one
// write must succeed, and the others must fail with the name of the winner.
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
		file, err := s.fleet.WriteSettingsFile(args[0], fmt.Sprint("operator-", i), ts.ReadFile(args[i+1]))
		if err != nil {
			return err
		}
		racing.Go(func() {
			outputs[i], failures[i] = s.fleet.RunCtlAs(s.ctx, fmt.Sprint("operator-", i),
				"apply", "--if-version", strconv.FormatUint(current, 10), args[0], file)
		})
	}
	racing.Wait()
	winner := -1
	for i, err := range failures[:len(args)-1] {
		if err == nil && winner >= 0 {
			return errors.Errorf("the writes of operators %d and %d both succeeded", winner, i)
		}
		if err == nil {
			winner = i
		}
	}
	if winner < 0 {
		return errors.Errorf("no write succeeded: %v", failures)
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
			return errors.Errorf("output for operator-%d is %q, want %q in it", i, outputs[i], want)
		}
	}
	return nil
}

// variableValues are the values in the output of a session that differ from run to run, with their
// placeholders.
var variableValues = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`\d+ ms`), "N ms"},
	{regexp.MustCompile(`version \d+`), "version V"},
	{regexp.MustCompile(`write [A-Z0-9]{26}`), "write ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`127\.250\.0\.1:\d+`), "ADDRESS"},
}

// session runs the command lines of a golden file, which begin with "$ OPERATOR", and compares the
// output with the file. A word that begins with @ names a file of the script; the planned settings
// of the service are added to it.
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
		out, err := s.runSessionLine(ts, args[0], words[1], words[2:])
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
	return errors.Errorf("the output differs from the golden file:\n%s", got.String())
}

func (s *state) runSessionLine(ts *testscript.TestScript, service, writer string, words []string) (string, error) {
	files := map[string]string{}
	for i, word := range words {
		name, ok := strings.CutPrefix(word, "@")
		if !ok {
			continue
		}
		file, err := s.fleet.WriteSettingsFile(service, name, ts.ReadFile(name))
		if err != nil {
			return "", err
		}
		files[file], words[i] = word, file
	}
	out, err := s.fleet.RunCtlAs(s.ctx, writer, words...)
	for file, word := range files {
		out = strings.ReplaceAll(out, file, word)
	}
	for _, v := range variableValues {
		out = v.pattern.ReplaceAllString(out, v.with)
	}
	return out, err
}

// forgeRevision sends every node of a service a revision by datagram and by RPC: signed with a key
// that is not the fleet's, or a valid old one.
func forgeRevision(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 || args[2] != "forged" && args[2] != "stale" {
		return errors.New("usage: forge SERVICE REVISION forged|stale")
	}
	number, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	return s.fleet.SendRevision(s.ctx, args[0], number, args[2] == "forged")
}

// nodesCommand runs lacewingctl with the settings file for commands that call nodes.
func nodesCommand(s *state, ts *testscript.TestScript, args []string) error {
	file, err := s.fleet.WriteCtlConfig()
	if err != nil {
		return err
	}
	return control(s, ts, append([]string{"--config", file}, args...))
}

// missing waits until the status of a service names exactly these nodes as missing.
func missing(s *state, _ *testscript.TestScript, args []string) error {
	limit, args, err := splitWithin(args)
	if err != nil || len(args) < 1 {
		return errors.New("usage: missing [-within D] SERVICE NODE...")
	}
	return s.fleet.WaitUntil(s.ctx, limit, "missing nodes", func() error {
		status, err := s.fleet.Status(s.ctx, args[0])
		if err == nil && !slices.Equal(status.Missing, args[1:]) {
			err = errors.Errorf("missing: %q", status.Missing)
		}
		return err
	})
}

// loggedCaller matches a caller in the decision log of an entry.
var loggedCaller = regexp.MustCompile(`decision=forward .*caller=(\S+)`)

// loggedCallerOf sets a variable to a caller from the decision log of an entry.
func loggedCallerOf(s *state, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: caller ENTRY VAR")
	}
	return s.fleet.WaitUntil(s.ctx, defaultTimeout, "a caller in the log", func() error {
		text, err := os.ReadFile(filepath.Join(s.fleet.Dir, args[0]+".log"))
		if err != nil {
			return err
		}
		match := loggedCaller.FindSubmatch(text)
		if match == nil {
			return errors.New("no caller is logged")
		}
		ts.Setenv(args[1], string(match[1]))
		return nil
	})
}
