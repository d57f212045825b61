// Command flowsoak runs the fault soak of package flows, which tests the programs in flows mode:
// one run per seed, several of them concurrently.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"lacewinglever.dev/bench/flows"
)

type options struct {
	Bin         string         `long:"bin" description:"directory of the programs" required:"true"`
	Out         string         `long:"out" description:"directory for settings files and logs" default:"soak-out"`
	Seed        uint64         `long:"seed" description:"first seed; 0 selects one from the clock"`
	Runs        int            `long:"runs" description:"number of runs, each with the next seed" default:"1"`
	AtOnce      int            `long:"at-once" description:"number of concurrent runs" default:"3"`
	Faults      time.Duration  `long:"faults" description:"duration of fault injection in each run" default:"12s"`
	Spacing     time.Duration  `long:"spacing" description:"mean time between two faults" default:"450ms"`
	Churn       bool           `long:"churn" description:"instances are also added, replaced and rolled, and callers have an entry of their own zone"`
	Evacuations bool           `long:"evacuations" description:"data centres are also evacuated"`
	BadTargets  bool           `long:"bad-targets" description:"targets are also slow or mute"`
	ScarceRoom  bool           `long:"scarce-room" description:"routes differ in priority, and callers of the lowest priority come in bursts"`
	Zones       int            `long:"zones" description:"number of data centres, with one entry each" default:"3"`
	Targets     map[string]int `long:"target" description:"number of targets of the services a and b, as a:4" default:"a:4" default:"b:3"`
	Heartbeat   time.Duration  `long:"heartbeat" description:"interval of the targets' reports" default:"800ms"`
	Loss        float64        `long:"loss" description:"share of the datagrams between nodes that are lost" default:"0"`
	Subnet      int            `long:"subnet" description:"second octet of the loopback addresses of the first concurrent run" default:"50"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for worker := range o.AtOnce {
		workers.Go(func() {
			for seed := range seeds {
				ok := run(&o, seed, worker)
				mu.Lock()
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for i := range uint64(o.Runs) {
		seeds <- o.Seed + i
	}
	close(seeds)
	workers.Wait()
	fmt.Printf("%d runs from seed %d, %d with violations\n", o.Runs, o.Seed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func run(o *options, seed uint64, worker int) bool {
	dir, err := filepath.Abs(filepath.Join(o.Out, fmt.Sprint("seed-", seed)))
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err != nil {
		fmt.Println(err)
		return false
	}
	log, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer func() { _ = log.Close() }() // the log is diagnostic; violations are printed too
	violations, err := flows.Soak(flows.SoakOptions{
		Cluster: flows.Options{Bin: o.Bin, Dir: dir, Subnet: o.Subnet + worker, Zones: o.Zones, Targets: o.Targets,
			Heartbeat: o.Heartbeat, ZoneRouting: o.Churn, Loss: o.Loss},
		Seed: seed, Faults: o.Faults, Spacing: o.Spacing, Churn: o.Churn, Callers: 8, Log: log,
		Evacuations: o.Evacuations, BadTargets: o.BadTargets, ScarceRoom: o.ScarceRoom,
	})
	if err != nil {
		violations = append(violations, err.Error())
	}
	for _, v := range violations {
		fmt.Printf("seed %d: %s\n", seed, v)
		fmt.Fprintln(log, v)
	}
	return len(violations) == 0
}
