package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"lacewinglever.dev/bench/fleet"
)

const (
	inForceTimeout = 45 * time.Second // time limit for settings to be in force at all nodes
	quietWindow    = 8 * time.Second  // duration of a window without changes
	settleTime     = 4 * time.Second  // wait after the start, for joins to complete
	poolTargets    = 3                // close to the mean of 41,000 targets in 13,000 pools
)

// measureControl measures the control traffic, processor time and memory of real processes without
// load, and the calls to the store per change of settings.
func measureControl(ctx context.Context, r *report) error {
	for _, services := range []int{2, 6, 12} {
		if err := measureControlTraffic(ctx, r, services); err != nil {
			return err
		}
	}
	for _, q := range []string{"sent by an entry", "received by an entry", "processor time of an entry"} {
		r.addSlope(q)
	}
	for _, centres := range []int{1, 3} {
		if err := measureStoreCalls(ctx, r, centres); err != nil {
			return err
		}
	}
	r.addSlope("store calls of all entries per change")
	return nil
}

// withFleet starts a fleet, calls do when all settings are in force, and closes the fleet.
func withFleet(ctx context.Context, o fleet.Options, do func(*fleet.Fleet) error) (err error) {
	f, err := fleet.New(o)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(err != nil); err == nil {
			err = closeErr
		}
	}()
	if err := f.Start(ctx); err != nil {
		return err
	}
	if err := f.ApplyAll(ctx, inForceTimeout); err != nil {
		return err
	}
	return do(f)
}

// smallPools returns count services with pools of poolTargets targets.
func smallPools(count int, dataCentres []int) []fleet.Service {
	var out []fleet.Service
	for i := range count {
		out = append(out, fleet.Service{
			Team: "measure", Name: fmt.Sprint("feed", i+1), Kind: "feed", Targets: poolTargets, Slots: 3,
			DataCentres: dataCentres, Settings: "idle_timeout: 60s\n",
		})
	}
	return out
}

// usage has the means of the counters of a group of nodes: bytes sent and received, seconds of
// processor time and bytes of resident memory.
type usage struct{ sent, received, cpu, resident float64 }

func meanUsage(ctx context.Context, f *fleet.Fleet, names []string) (usage, error) {
	var u usage
	n := float64(len(names))
	for _, name := range names {
		m, err := f.Metrics(ctx, name)
		if err != nil {
			return u, err
		}
		u.sent += m["lacewing_control_sent_bytes_total"] / n
		u.received += m["lacewing_control_received_bytes_total"] / n
		u.cpu += m["process_cpu_seconds_total"] / n
		u.resident += m["process_resident_memory_bytes"] / n
	}
	return u, nil
}

// measureControlTraffic measures a fleet of one data centre that has one entry more than each node
// has watchers.
func measureControlTraffic(ctx context.Context, r *report, services int) error {
	const entries, watchers = 4, 3
	o := fleet.Options{
		Bin: r.Bin, PortBase: r.PortBase, Seed: seed, Entries: []int{1, 1, 1, 1}, Services: smallPools(services, []int{1}),
	}
	return withFleet(ctx, o, func(f *fleet.Fleet) error {
		var agents []string
		for i := range f.Services {
			agents = append(agents, f.Agents(f.Services[i].FullName())...)
		}
		time.Sleep(settleTime)
		groups := [][]string{f.Entries(), agents}
		before := make([]usage, len(groups))
		var err error
		for i, names := range groups {
			if before[i], err = meanUsage(ctx, f, names); err != nil {
				return err
			}
		}
		time.Sleep(quietWindow)
		for i, name := range []string{"an entry", "an agent"} {
			u, err := meanUsage(ctx, f, groups[i])
			if err != nil {
				return err
			}
			size, sizeUnit := float64(len(agents))*watchers/entries, "watched agents"
			if i == 1 {
				size, sizeUnit = poolTargets, "targets in the pool"
			}
			seconds := quietWindow.Seconds()
			r.add("sent by "+name, size, sizeUnit, (u.sent-before[i].sent)/seconds, "bytes/s")
			r.add("received by "+name, size, sizeUnit, (u.received-before[i].received)/seconds, "bytes/s")
			r.add("processor time of "+name, size, sizeUnit, 100*(u.cpu-before[i].cpu)/seconds, "% of a core")
			r.add("resident memory of "+name, size, sizeUnit, u.resident/(1<<20), "MB")
		}
		return nil
	})
}

// measureStoreCalls counts the calls of all entries to the object API per change of a service's
// settings. Each data centre has two entries, both of which read the store.
func measureStoreCalls(ctx context.Context, r *report, centres int) error {
	const changes = 5
	var entries, dataCentres []int
	for i := range centres {
		entries = append(entries, i+1, i+1)
		dataCentres = append(dataCentres, i+1)
	}
	o := fleet.Options{
		Bin: r.Bin, PortBase: r.PortBase, Seed: seed, Entries: entries, Services: smallPools(1, dataCentres),
	}
	return withFleet(ctx, o, func(f *fleet.Fleet) error {
		time.Sleep(settleTime)
		before, err := storeCallsByOperation(ctx, f)
		if err != nil {
			return err
		}
		name := f.Services[0].FullName()
		for i := range changes {
			version, err := f.Apply(ctx, name, fmt.Sprintf("warm_up: %ds\n", 10+i))
			if err != nil {
				return err
			}
			if err := f.WaitInForce(ctx, name, version, f.NodeCount(name), inForceTimeout); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		after, err := storeCallsByOperation(ctx, f)
		if err != nil {
			return err
		}
		var all float64
		for op, n := range after {
			n -= before[op]
			all += n
			r.add("store calls per change: "+op, float64(2*centres), "readers", n/changes, "calls")
		}
		r.add("store calls of all entries per change", float64(2*centres), "readers", all/changes, "calls")
		return nil
	})
}

// storeCallsByOperation returns the number of the entries' calls to the object API by operation.
func storeCallsByOperation(ctx context.Context, f *fleet.Fleet) (map[string]float64, error) {
	const prefix = `lacewing_objectapi_calls_total{op="`
	calls := map[string]float64{}
	for _, name := range f.Entries() {
		m, err := f.Metrics(ctx, name)
		if err != nil {
			return nil, err
		}
		for k, v := range m {
			if rest, ok := strings.CutPrefix(k, prefix); ok {
				op, _, _ := strings.Cut(rest, `"`)
				calls[op] += v
			}
		}
	}
	return calls, nil
}
