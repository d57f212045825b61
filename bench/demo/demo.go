// Package demo runs both users' pools at today's sizes, disturbs them, and tells whether what must hold did.
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

// The course of the demo, counted from the start of the load.
const (
	killAt     = 5 * time.Second
	drainAt    = 8 * time.Second
	changeAt   = 13 * time.Second
	endAt      = 20 * time.Second
	loadLimit  = time.Minute // the load ends by itself if the demo does not end it
	stopLimit  = 20 * time.Second
	startLimit = 45 * time.Second
	// withdrawAfter is how long callers' datagrams still go to the entry that was killed.
	withdrawAfter = 500 * time.Millisecond
)

const (
	inForceBound = 3 * time.Second // of guarantee 8
	drainBound   = 3 * time.Second // of guarantee 6
	inForceLimit = 15 * time.Second

	feedsPerService = 210
	churn           = 10 // feeds a second that are replaced, so that there is new work to place
	loadName        = "demo"
	killedEntry     = "entry-2"
	drainedAgent    = "room-feed-3"
)

// Options of the demo.
type Options struct {
	Bin      string
	PortBase int // of the fleet's ports; two demos at once need different ones
	Out      io.Writer
}

// demo is one run.
type demo struct {
	*fleet.Fleet
	out    io.Writer
	start  time.Time
	faults []string
	rows   []string
}

// Run runs the demo. The error lists what was broken. No process is left behind.
func Run(ctx context.Context, o Options) (err error) {
	f, err := fleet.New(fleet.Options{
		Bin: o.Bin, PortBase: o.PortBase, Seed: 1, Entries: []int{1, 2, 3}, Services: fleet.Today(), Links: fleet.TodaysLinks(),
	})
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			fmt.Fprintf(o.Out, "logs of all programs: %s\n", f.Dir)
		}
		err = join(err, f.Close(err != nil))
	}()
	d := &demo{Fleet: f, out: o.Out}
	if err := d.prepare(ctx); err != nil {
		return err
	}
	if err := d.disturb(ctx); err != nil {
		return err
	}
	report, err := d.StopLoad(ctx, loadName, stopLimit)
	if err != nil {
		return err
	}
	d.judge(report)
	d.print(report)
	if len(d.faults) > 0 {
		return errors.Errorf("%d things that must hold were broken", len(d.faults))
	}
	return nil
}

func join(err, closing error) error {
	if closing == nil {
		return err
	}
	return errors.Join(err, closing)
}

func (d *demo) say(format string, args ...any) {
	at := ""
	if !d.start.IsZero() {
		at = fmt.Sprintf("%5.1f s  ", time.Since(d.start).Seconds())
	}
	fmt.Fprintf(d.out, at+format+"\n", args...)
}

func (d *demo) fault(format string, args ...any) {
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

// prepare starts the fleet and the load.
func (d *demo) prepare(ctx context.Context) error {
	d.say("starting 3 entries and %d services in 4 data centres", len(d.Services))
	if err := d.Start(ctx); err != nil {
		return err
	}
	begin := time.Now()
	if err := d.ApplyAll(ctx, startLimit); err != nil {
		return err
	}
	d.say("settings of all services are in force everywhere after %d ms", time.Since(begin).Milliseconds())
	config, err := d.loadConfig()
	if err != nil {
		return err
	}
	if err := d.StartLoad(ctx, loadName, config); err != nil {
		return err
	}
	d.start = time.Now()
	d.say("load started: %d feeds, %d request services", 2*feedsPerService, len(config.Requests))
	return nil
}

func (d *demo) loadConfig() (load.Config, error) {
	c := load.Config{Duration: loadLimit, Seed: 1}
	for _, service := range []string{fleet.RoomFeed, fleet.SlotFeed} {
		feeds, err := d.FeedLoad(service, feedsPerService)
		if err != nil {
			return c, err
		}
		feeds.Churn = churn
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

// until waits for a time of the demo's course.
func (d *demo) until(ctx context.Context, at time.Duration) error {
	select {
	case <-time.After(time.Until(d.start.Add(at))):
		return nil
	case <-ctx.Done():
		return errors.New("interrupted")
	}
}

func (d *demo) disturb(ctx context.Context) error {
	steps := []struct {
		at  time.Duration
		run func(context.Context) error
	}{{killAt, d.killEntry}, {drainAt, d.drainTarget}, {changeAt, d.changeSetting}, {endAt, d.checkDrained}}
	for _, step := range steps {
		if err := d.until(ctx, step.at); err != nil {
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
	d.say("%s killed", killedEntry)
	if err := d.until(ctx, killAt+withdrawAfter); err != nil {
		return err
	}
	return d.SetEntries(ctx, "entry-1", "entry-3")
}

func (d *demo) drainTarget(ctx context.Context) error {
	d.say("draining the target of %s", drainedAgent)
	return d.change(ctx, fleet.RoomFeed, fmt.Sprintf("drain: [%s]\n", drainedAgent))
}

func (d *demo) changeSetting(ctx context.Context) error {
	d.say("changing the deadline of %s", fleet.SlotDesk)
	return d.change(ctx, fleet.SlotDesk, "deadline: 8s\n")
}

// change writes settings and measures the time until they are reported to be in force everywhere.
func (d *demo) change(ctx context.Context, service, more string) error {
	begin := time.Now()
	version, err := d.Apply(ctx, service, more)
	if err != nil {
		return err
	}
	err = d.WaitInForce(ctx, service, version, d.NodesOf(service), inForceLimit)
	took := time.Since(begin)
	if err != nil {
		d.fault("%s: settings are not in force: %v", service, err)
		return nil
	}
	d.rows = append(d.rows, fmt.Sprintf("%s: settings in force everywhere after %d ms", service, took.Milliseconds()))
	if took > inForceBound {
		d.fault("%s: settings in force after %v, bound %v", service, took, inForceBound)
	}
	return nil
}

// checkDrained looks when the drained target got its last new flow.
func (d *demo) checkDrained(ctx context.Context) error {
	stats, err := d.Stats(ctx, drainedAgent)
	if err != nil {
		return err
	}
	since := time.UnixMilli(stats.LastFlowUnixMs).Sub(d.start) - drainAt
	d.rows = append(d.rows, fmt.Sprintf("%s: last new flow %d ms after the start of draining, %d flows still open",
		drainedAgent, max(0, since.Milliseconds()), stats.Flows))
	if since > drainBound {
		d.fault("%s got a new flow %v after it was told to drain, bound %v", drainedAgent, since, drainBound)
	}
	return nil
}

// judge compares the report with what must hold whatever fails, and with the loss that the disturbances allow: none.
func (d *demo) judge(r *load.Report) {
	d.faults = append(d.faults, r.Faults()...)
	for _, f := range r.Feeds {
		if f.Broken > 0 {
			d.fault("%s: %d feeds broken", f.Service, f.Broken)
		}
		if f.Opened < f.Wanted || f.Unanswered > 0 {
			d.fault("%s: %d feeds opened, want at least %d; %d not answered within 2 s", f.Service, f.Opened, f.Wanted, f.Unanswered)
		}
	}
	for _, q := range r.Requests {
		if q.Answered == 0 {
			d.fault("%s: no request was answered", q.Service)
		}
		// No agent died, so every outcome is known.
		if q.Unknown > 0 {
			d.fault("%s: the outcome of %d requests is unknown", q.Service, q.Unknown)
		}
	}
	for _, name := range d.Ended() {
		if name != killedEntry {
			d.fault("%s ended by itself: %s", name, d.LogTail(name))
		}
	}
}

func (d *demo) print(r *load.Report) {
	fmt.Fprintln(d.out)
	r.Table(d.out)
	fmt.Fprintln(d.out)
	for _, row := range d.rows {
		fmt.Fprintln(d.out, row)
	}
	for _, f := range r.Feeds {
		d.events(f.Service, f.Events)
	}
	for _, q := range r.Requests {
		d.events(q.Service, q.Events)
	}
	slices.Sort(d.faults)
	for _, fault := range d.faults {
		fmt.Fprintln(d.out, "BROKEN:", fault)
	}
}

// events prints the first events of a service.
func (d *demo) events(service string, events []string) {
	const most = 3
	for _, e := range events[:min(most, len(events))] {
		fmt.Fprintf(d.out, "%s: %s\n", service, e)
	}
}
