// Package measure produces the figures of docs/CAPACITY.md and docs/measurements.md: the slopes of
// single libraries, the control traffic of a few real processes, the comparison of the design with
// alternatives, and load on a fleet.
package measure

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// seed is the random seed of all measurements.
const seed = 1

// Options are the parameters of Run.
type Options struct {
	Bin      string   // directory of the programs
	Out      string   // directory for the results
	Only     []string // names of the parts to run; all if empty
	PortBase int
	Log      io.Writer
}

// part is a group of measurements that can be run alone.
type part struct {
	name string
	run  func(context.Context, *report) error
}

func parts() []part {
	return []part{
		{"libraries", measureLibraries},
		{"control", measureControl},
		{"choice", compareCandidates},
		{"load", measureLoad},
	}
}

// Run runs the parts that the options select. Each part writes its figures to the file <part>.csv
// in the directory for the results.
func Run(ctx context.Context, o Options) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return err
	}
	known := map[string]bool{}
	for _, p := range parts() {
		known[p.name] = true
	}
	for _, name := range o.Only {
		if !known[name] {
			return errors.Errorf("unknown part %q", name)
		}
	}
	for _, p := range parts() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, p.name) {
			continue
		}
		begin := time.Now()
		r := &report{Options: o}
		if err := p.run(ctx, r); err != nil {
			return errors.Wrap(err, p.name)
		}
		if err := r.write(filepath.Join(o.Out, p.name+".csv")); err != nil {
			return err
		}
		fmt.Fprintf(o.Log, "%s took %.0f s\n\n", p.name, time.Since(begin).Seconds())
	}
	return nil
}

// row is one figure: the value of a quantity at a size.
type row struct {
	quantity string
	size     float64
	sizeUnit string // unit of size
	value    float64
	unit     string
}

// report collects the figures of a part.
type report struct {
	Options
	rows []row
}

// add appends a figure to the report and prints it.
func (r *report) add(quantity string, size float64, sizeUnit string, value float64, unit string) {
	r.rows = append(r.rows, row{quantity, size, sizeUnit, value, unit})
	fmt.Fprintf(r.Log, "%-46s %9.0f %-18s %14.4g %s\n", quantity, size, sizeUnit, value, unit)
}

// addSlope adds the increase of a quantity per unit of size between its first and its last row,
// which have the smallest and the largest size.
func (r *report) addSlope(quantity string) {
	var first, last *row
	for i := range r.rows {
		if r.rows[i].quantity != quantity {
			continue
		}
		if first == nil {
			first = &r.rows[i]
		}
		last = &r.rows[i]
	}
	if first == nil || first.size == last.size {
		return
	}
	per := (last.value - first.value) / (last.size - first.size)
	r.add(quantity+": slope", 1, last.sizeUnit, per, last.unit)
}

func (r *report) write(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	_ = w.Write([]string{"quantity", "size", "of", "value", "unit"})
	for _, x := range r.rows {
		_ = w.Write([]string{x.quantity, formatNumber(x.size), x.sizeUnit, formatNumber(x.value), x.unit})
	}
	w.Flush()
	return errors.Join(w.Error(), file.Close())
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 6, 64) }

// meanSeconds returns the mean time of do in seconds, over at least minRuns calls that take at
// least minTime.
func meanSeconds(do func()) float64 {
	const (
		minTime = 200 * time.Millisecond
		minRuns = 3
	)
	do() // warms caches
	runs := 0
	begin := time.Now()
	for runs < minRuns || time.Since(begin) < minTime {
		do()
		runs++
	}
	return time.Since(begin).Seconds() / float64(runs)
}
