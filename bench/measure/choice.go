package measure

import (
	"context"
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// namedCandidate is a candidate's name in the report and its factory.
type namedCandidate struct {
	name         string
	newCandidate func(*trace) func(deliverFunc) candidate
}

func candidates() []namedCandidate {
	plain := func(f func(deliverFunc) candidate) func(*trace) func(deliverFunc) candidate {
		return func(*trace) func(deliverFunc) candidate { return f }
	}
	return []namedCandidate{
		{"design", func(t *trace) func(deliverFunc) candidate { return newFlowDirectory(t, false) }},
		{"load-blind", func(t *trace) func(deliverFunc) candidate { return newFlowDirectory(t, true) }},
		{"plain hash", plain(newPlainHash)},
		{"entry tables", plain(newEntryTables)},
		{"two generations", plain(newGenerations)},
	}
}

// compareCandidates compares the design with the alternatives on the same traces.
func compareCandidates(ctx context.Context, r *report) error {
	broken := map[string]plotter.Values{}
	allTraces := traces()
	for i := range allTraces {
		t := &allTraces[i]
		for _, c := range candidates() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			o := replay(t, c.newCandidate(t))
			name := func(what string) string { return fmt.Sprintf("%s: %s: %s", t.name, c.name, what) }
			flows := float64(o.flows)
			r.add(name("broken flows"), flows, "flows", float64(o.broken), "flows")
			r.add(name("connections"), flows, "flows", o.connections, "max/mean")
			r.add(name("new flows, last 30 s"), flows, "flows", o.newFlows, "max/mean")
			r.add(name("extra hops"), flows, "flows", o.hops, "per datagram")
			r.add(name("control messages"), flows, "flows", o.messages, "per second")
			r.add(name("datagrams not delivered"), float64(o.datagrams), "datagrams", float64(o.undelivered), "datagrams")
			broken[c.name] = append(broken[c.name], 100*float64(o.broken)/flows)
		}
	}
	return plotBroken(filepath.Join(r.Out, "choice.png"), allTraces, broken)
}

// plotBroken draws the percentage of flows that each candidate broke, by trace.
func plotBroken(path string, allTraces []trace, broken map[string]plotter.Values) error {
	p := plot.New()
	p.Title.Text = "Broken flows, percent of the flows of the trace"
	p.Y.Label.Text = "%"
	width := vg.Points(12)
	for i, c := range candidates() {
		bars, err := plotter.NewBarChart(broken[c.name], width)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(i-2)
		p.Add(bars)
		p.Legend.Add(c.name, bars)
	}
	p.Legend.Top = true
	var names []string
	for i := range allTraces {
		names = append(names, allTraces[i].name)
	}
	p.NominalX(names...)
	return p.Save(20*vg.Inch, 5*vg.Inch, path)
}
