package operator

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

// maxLine bounds a log line that is read, in bytes.
const maxLine = 1 << 20

// traceCommand collects what the programs' logs say of one flow, and what its nodes believed around that time.
type traceCommand struct {
	Around time.Duration `long:"around" default:"3s" description:"how long before and after the flow's lines other events of its nodes are shown"`
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
		_ = file.Close() // it was only read
		if err != nil {
			return errors.Wrap(err, path)
		}
		lines = append(lines, read...)
	}
	shown := selectLines(lines, c.Args.Flow, c.Around)
	if len(shown) == 0 {
		return errors.Errorf("no line names flow %s; decisions beyond the bound of a log are only counted", c.Args.Flow)
	}
	for _, l := range shown {
		fmt.Fprintln(p.out, l.text)
	}
	return nil
}

// readLog reads the lines that are logfmt with a time and a node. Others are left out.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		if i := strings.Index(text, logging.KeyTime+"="); i > 0 {
			text = text[i:] // collectors put the instance before the line
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

// selectLines returns the lines of the flow, and those of its nodes around that time that tell of no flow, in the order of time.
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
	var shown []logLine
	for _, l := range lines {
		own := l.fields[logging.KeyFlow] == flow
		event := l.fields[logging.KeyFlow] == "" && nodes[l.node] && !l.at.Before(first.Add(-around)) && !l.at.After(last.Add(around))
		about := l.fields[logging.KeyPeer] == "" || nodes[l.fields[logging.KeyPeer]]
		if own || event && about {
			shown = append(shown, l)
		}
	}
	slices.SortStableFunc(shown, func(a, b logLine) int { return a.at.Compare(b.at) })
	return shown
}
