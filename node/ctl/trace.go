package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"

	"lacewinglever.dev/node/logging"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// traceCommand prints the log lines of entries and agents about one flow, and other events of its
// nodes around that time.
type traceCommand struct {
	Around time.Duration `long:"around" default:"3s" description:"time before and after the flow's lines in which other events of its nodes are printed"`
	Args   struct {
		Flow  string   `positional-arg-name:"FLOW" description:"caller>service, both host:port"`
		Files []string `positional-arg-name:"LOG" description:"log files of entries and agents" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is one line of a log.
type logLine struct {
	at     time.Time
	node   string
	fields map[string]string
	text   string
}

func (c *traceCommand) run(_ context.Context, p *program) error {
	if c.Args.Flow == "" {
		return errors.New("the flow is empty")
	}
	var lines []logLine
	for _, path := range c.Args.Files {
		file, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		read, err := readLog(file)
		_ = file.Close() // opened for reading only
		if err != nil {
			return errors.Wrap(err, path)
		}
		lines = append(lines, read...)
	}
	selected := selectLines(lines, c.Args.Flow, c.Around)
	if len(selected) == 0 {
		return errors.Errorf(
			"no log line names flow %s; decisions above the rate limit of a log are counted but not logged", c.Args.Flow)
	}
	for _, l := range selected {
		fmt.Fprintln(p.out, l.text)
	}
	return nil
}

// readLog returns the lines that are logfmt with a time and a node. Other lines are skipped.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if i := strings.Index(text, logging.KeyTime+"="); i > 0 {
			text = text[i:] // log collectors prepend the instance to the line
		}
		if l, ok := parseLine(text); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLine(text string) (logLine, bool) {
	l := logLine{text: text, fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			l.fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, l.fields[logging.KeyTime])
	l.at, l.node = at, l.fields[logging.KeyNode]
	return l, err == nil && l.node != "" && decoder.Err() == nil
}

// selectLines returns the lines of the flow, and the lines without a flow that its nodes logged
// around that time, ordered by time. Of the latter, lines about a peer are included only if the
// peer is one of the nodes.
func selectLines(lines []logLine, flow string, around time.Duration) []logLine {
	nodes := map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.fields[logging.KeyFlow] != flow {
			continue
		}
		for _, n := range []string{l.node, l.fields[logging.KeyPeer], l.fields["to"]} {
			nodes[n] = true
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	var selected []logLine
	for _, l := range lines {
		ofFlow := l.fields[logging.KeyFlow] == flow
		nearby := l.fields[logging.KeyFlow] == "" && nodes[l.node] && !l.at.Before(first.Add(-around)) &&
			!l.at.After(last.Add(around))
		aboutItsNodes := l.fields[logging.KeyPeer] == "" || nodes[l.fields[logging.KeyPeer]]
		if ofFlow || nearby && aboutItsNodes {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b logLine) int { return a.at.Compare(b.at) })
	return selected
}
