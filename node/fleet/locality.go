package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/locality"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

// roundTripCheckInterval is the interval at which a node looks for data centres to which the round trip is to
// be measured.
const roundTripCheckInterval = time.Second

// localityState is what a node knows about leaving its data centre.
type localityState struct {
	decisions  locality.Table
	roundTrips locality.RoundTrips
	services   sync.Map // names of the services that have a gauge
}

// Locality returns whether a new flow of a caller in the data centre origin opens there or elsewhere. agents are
// those of the service. Without the setting, the placement is left as it is without a decision.
func (f *Fleet) Locality(now time.Duration, service string, origin ident.DataCentre, flow steering.Flow,
	agents []roster.Peer) steering.Locality {
	if !f.options.Settings.LocalityFailover {
		return steering.Locality{}
	}
	d, changed := f.locality.decisions.Decide(now, locality.Input{
		Service: service, Origin: origin, Agents: agents, RoundTrip: f.roundTrip,
	})
	if origin == f.Self.DataCentre {
		if _, known := f.locality.services.LoadOrStore(service, struct{}{}); !known {
			f.options.Metrics.GetOrCreateGauge(fmt.Sprintf("lacewing_remote_share{service=%q}", service),
				func() float64 { return f.locality.decisions.Share(Now(), service, origin) })
		}
	}
	if changed {
		message := "returning to the data centre"
		if d.Leaving {
			message = "leaving the data centre"
		}
		_ = level.Info(f.options.Logger).Log(logging.KeyMessage, message, logging.KeyService, service, "origin", origin,
			"share", float32(d.Share), "limit", float32(d.Limit), logging.KeyReason, d.Reason, "home_wait", d.HomeWait,
			"far_wait", d.FarWait, "destinations", len(d.Destinations))
	}
	return d.Locality(flow.Hash())
}

// roundTrip returns the round trip to a data centre.
func (f *Fleet) roundTrip(dc ident.DataCentre) time.Duration {
	if d := f.options.Settings.RemoteRoundTrip; d > 0 {
		return d
	}
	return f.locality.roundTrips.RoundTrip(dc)
}

// measureRoundTrips asks a node of each other data centre for a heartbeat at intervals, until the context ends.
func (f *Fleet) measureRoundTrips(ctx context.Context) error {
	if !f.options.Settings.LocalityFailover || f.options.Settings.RemoteRoundTrip > 0 {
		return nil
	}
	return timing.Every(ctx, roundTripCheckInterval, func(time.Time) { f.probeRoundTrips(Now()) })
}

func (f *Fleet) probeRoundTrips(now time.Duration) {
	for _, dc := range f.Roster.DataCentres() {
		if dc == f.Self.DataCentre || !f.locality.roundTrips.Due(now, dc) {
			continue
		}
		running := f.Roster.Running(now, dc)
		if len(running) == 0 {
			continue
		}
		p, ok := f.Roster.Find(running[rand.IntN(len(running))])
		if !ok {
			continue
		}
		message := f.heartbeatMessage(now, f.receiverOutsidePlan(now, p.DataCentre, p.Address), false)
		message.Heartbeat.Probe = true
		f.locality.roundTrips.RecordProbe(now, dc, p.ID)
		f.sendMessage(p.Address, message)
		f.probesSent.Inc()
	}
}
