// Package demo runs both users' pools at their current sizes under load, with a failed entry, a
// drained target and a settings change, and reports whether the guarantees held.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/bench/fleet"
	"lacewinglever.dev/bench/load"
)

// Times of the steps, from the start of the load, and timeouts.
const (
	killAt       = 5 * time.Second
	drainAt      = 8 * time.Second
	changeAt     = 13 * time.Second
	endAt        = 20 * time.Second
	maxLoadTime  = time.Minute // after which the load ends even if the demo does not stop it
	stopTimeout  = 20 * time.Second
	startTimeout = 45 * time.Second
	// withdrawDelay is the time from the crash of the entry until it is out of rotation. Until then
	// callers' datagrams still go to it.
	withdrawDelay = 500 * time.Millisecond
)

const (
	inForceBound   = 3 * time.Second // guarantee 8: changed settings are in force at all nodes
	drainBound     = 3 * time.Second // guarantee 6: a draining target gets no new flows
	inForceTimeout = 15 * time.Second

	feedsPerService = 210
	churnRate       = 10 // feeds replaced per second; they are the new flows to place
	loadName        = "demo"
	killedEntry     = "entry-2"
	drainedAgent    = "room-feed-3"
)

// Options are the options of the demo.
type Options struct {
	Bin      string
	PortBase int // first port of the fleet; concurrent demos need different ones
	Out      io.Writer
}

// demo is one run.
type demo struct {
	*fleet.Fleet
	out        io.Writer
	start      time.Time
	violations []string
	results    []string
}

// Run runs the demo. The error has the number of violations, which are listed in the output. Run
// leaves no process behind.
func Run(ctx context.Context, o Options) (err error) {
	f, err := fleet.New(fleet.Options{
		Bin: o.Bin, PortBase: o.PortBase, Seed: 1, Entries: []int{1, 2, 3}, Services: fleet.UserServices(),
		Links: fleet.UserLinks(),
	})
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			fmt.Fprintf(o.Out, "logs of all programs: %s\n", f.Dir)
		}
		err = joinErrors(err, f.Close(err != nil))
	}()
	d := &demo{Fleet: f, out: o.Out}
	if err := d.startAll(ctx); err != nil {
		return err
	}
	if err := d.runSteps(ctx); err != nil {
		return err
	}
	report, err := d.StopLoad(ctx, loadName, stopTimeout)
	if err != nil {
		return err
	}
	d.checkReport(report)
	d.printReport(report)
	if len(d.violations) > 0 {
		return errors.Errorf("%d violations of the guarantees", len(d.violations))
	}
	return nil
}

func joinErrors(err, closeErr error) error {
	if closeErr == nil {
		return err
	}
	return errors.Join(err, closeErr)
}

func (d *demo) printProgress(format string, args ...any) {
	at := ""
	if !d.start.IsZero() {
		at = fmt.Sprintf("%5.1f s  ", time.Since(d.start).Seconds())
	}
	fmt.Fprintf(d.out, at+format+"\n", args...)
}

func (d *demo) addViolation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// startAll starts the fleet and the load.
func (d *demo) startAll(ctx context.Context) error {
	d.printProgress("starting 3 entries and %d services in 4 data centres", len(d.Services))
	if err := d.Start(ctx); err != nil {
		return err
	}
	begin := time.Now()
	if err := d.ApplyAll(ctx, startTimeout); err != nil {
		return err
	}
	d.printProgress("settings of all services are in force at all nodes after %d ms", time.Since(begin).Milliseconds())
	config, err := d.loadConfig()
	if err != nil {
		return err
	}
	if err := d.StartLoad(ctx, loadName, config); err != nil {
		return err
	}
	d.start = time.Now()
	d.printProgress("load started: %d feeds, %d request services", 2*feedsPerService, len(config.Requests))
	return nil
}

func (d *demo) loadConfig() (load.Config, error) {
	c := load.Config{Duration: maxLoadTime, Seed: 1}
	for _, service := range []string{fleet.RoomFeed, fleet.SlotFeed} {
		feeds, err := d.FeedLoad(service, feedsPerService)
		if err != nil {
			return c, err
		}
		feeds.ChurnRate = churnRate
		c.Feeds = append(c.Feeds, feeds)
	}
	for _, r := range []struct {
		service string
		rate    float64
		mix     load.Request
	}{
		{fleet.RoomControl, 40, fleet.Setpoint}, {fleet.Reports, 20, fleet.Report},
		{fleet.SlotDesk, 40, fleet.Booking}, {fleet.Records, 20, fleet.Certificate},
	} {
		requests, err := d.RequestLoad(r.service, r.rate, r.mix)
		if err != nil {
			return c, err
		}
		c.Requests = append(c.Requests, requests)
	}
	return c, nil
}

// waitUntil waits until a time after the start of the load.
func (d *demo) waitUntil(ctx context.Context, at time.Duration) error {
	select {
	case <-time.After(time.Until(d.start.Add(at))):
		return nil
	case <-ctx.Done():
		return errors.New("interrupted")
	}
}

func (d *demo) runSteps(ctx context.Context) error {
	steps := []struct {
		at  time.Duration
		run func(context.Context) error
	}{{killAt, d.killEntry}, {drainAt, d.drainTarget}, {changeAt, d.changeSetting}, {endAt, d.checkDrained}}
	for _, step := range steps {
		if err := d.waitUntil(ctx, step.at); err != nil {
			return err
		}
		if err := step.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) killEntry(ctx context.Context) error {
	if err := d.Kill(killedEntry); err != nil {
		return err
	}
	d.printProgress("%s killed", killedEntry)
	if err := d.waitUntil(ctx, killAt+withdrawDelay); err != nil {
		return err
	}
	return d.SetRotation(ctx, "entry-1", "entry-3")
}

func (d *demo) drainTarget(ctx context.Context) error {
	d.printProgress("draining the target of %s", drainedAgent)
	return d.applyAndWait(ctx, fleet.RoomFeed, fmt.Sprintf("drain: [%s]\n", drainedAgent))
}

func (d *demo) changeSetting(ctx context.Context) error {
	d.printProgress("changing the deadline of %s", fleet.SlotDesk)
	return d.applyAndWait(ctx, fleet.SlotDesk, "deadline: 8s\n")
}

// applyAndWait writes settings and measures the time until they are reported in force at all nodes.
func (d *demo) applyAndWait(ctx context.Context, service, extraYAML string) error {
	begin := time.Now()
	version, err := d.Apply(ctx, service, extraYAML)
	if err != nil {
		return err
	}
	err = d.WaitInForce(ctx, service, version, d.NodeCount(service), inForceTimeout)
	elapsed := time.Since(begin)
	if err != nil {
		d.addViolation("%s: settings did not come into force: %v", service, err)
		return nil
	}
	d.results = append(d.results,
		fmt.Sprintf("%s: settings in force at all nodes after %d ms", service, elapsed.Milliseconds()))
	if elapsed > inForceBound {
		d.addViolation("%s: settings in force after %v; the bound is %v", service, elapsed, inForceBound)
	}
	return nil
}

// checkDrained checks when the drained target received its last new flow.
func (d *demo) checkDrained(ctx context.Context) error {
	stats, err := d.TargetStats(ctx, drainedAgent)
	if err != nil {
		return err
	}
	since := time.UnixMilli(stats.LastFlowUnixMs).Sub(d.start) - drainAt
	d.results = append(d.results, fmt.Sprintf("%s: last new flow %d ms after the start of draining, %d flows still open",
		drainedAgent, max(0, since.Milliseconds()), stats.Flows))
	if since > drainBound {
		d.addViolation("%s received a new flow %v after the start of draining; the bound is %v",
			drainedAgent, since, drainBound)
	}
	return nil
}

// checkReport checks the guarantees that hold under any failure, and that the steps of the demo
// broke no feed, left no call unanswered and no outcome unknown, and ended no other process.
func (d *demo) checkReport(r *load.Report) {
	d.violations = append(d.violations, r.Violations()...)
	for _, f := range r.Feeds {
		if f.Broken > 0 {
			d.addViolation("%s: %d feeds broken", f.Service, f.Broken)
		}
		if f.Opened < f.Wanted || f.Unanswered > 0 {
			d.addViolation("%s: %d feeds opened, want at least %d; %d not answered within 2 s", f.Service, f.Opened,
				f.Wanted, f.Unanswered)
		}
	}
	for _, q := range r.Requests {
		if q.Answered == 0 {
			d.addViolation("%s: no request was answered", q.Service)
		}
		// No agent crashes in the demo, so every outcome must be known.
		if q.Unknown > 0 {
			d.addViolation("%s: the outcome of %d requests is unknown", q.Service, q.Unknown)
		}
	}
	for _, name := range d.EndedProcesses() {
		if name != killedEntry {
			d.addViolation("%s exited unexpectedly: %s", name, d.LogTail(name))
		}
	}
}

func (d *demo) printReport(r *load.Report) {
	fmt.Fprintln(d.out)
	r.Table(d.out)
	fmt.Fprintln(d.out)
	for _, row := range d.results {
		fmt.Fprintln(d.out, row)
	}
	for _, f := range r.Feeds {
		d.printEvents(f.Service, f.Events)
	}
	for _, q := range r.Requests {
		d.printEvents(q.Service, q.Events)
	}
	slices.Sort(d.violations)
	for _, violation := range d.violations {
		fmt.Fprintln(d.out, "BROKEN:", violation)
	}
}

// printEvents prints the first three events of a service.
func (d *demo) printEvents(service string, events []string) {
	const maxPrinted = 3
	for _, e := range events[:min(maxPrinted, len(events))] {
		fmt.Fprintf(d.out, "%s: %s\n", service, e)
	}
}
