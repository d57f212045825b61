package fleet

import (
	"fmt"
	"time"

	"lacewinglever.dev/bench/fabric"
	"lacewinglever.dev/bench/load"
)

const linkJitter = 200 * time.Microsecond

// Requests of the users' services.
var (
	Setpoint    = load.Request{Method: "POST", Path: "/setpoint", AnswerBytes: 200, NeedsPermit: true}
	Booking     = load.Request{Method: "POST", Path: "/booking", AnswerBytes: 200, NeedsPermit: true}
	Report      = load.Request{Method: "GET", Path: "/report", AnswerBytes: 20_000}
	Certificate = load.Request{Method: "GET", Path: "/certificate", AnswerBytes: 50_000}
)

// Names of the users' services.
const (
	RoomFeed    = "maturacao/room-feed"
	RoomControl = "maturacao/room-control"
	Reports     = "maturacao/reports"
	SlotFeed    = "bluestem/slot-feed"
	SlotDesk    = "bluestem/slot-desk"
	Records     = "bluestem/records"
)

// UserServices returns the services of both users with their current pool sizes. A service has one
// kind, so room control and slot desk are two services each, with one agent per target and service.
func UserServices() []Service {
	permits := func(path string) string {
		return fmt.Sprintf("non_idempotent:\n  - {method: POST, path: %s}\n", path)
	}
	three, four := []int{1, 2, 3}, []int{1, 2, 3, 4}
	const feeds, quick, slow = "idle_timeout: 60s\n", 20 * time.Millisecond, 50 * time.Millisecond
	return []Service{
		{Team: "maturacao", Name: "room-feed", Kind: "feed", Targets: 7, Slots: 3, DataCentres: three, Settings: feeds},
		{Team: "maturacao", Name: "room-control", Kind: "request", Targets: 7, Slots: 3, DataCentres: three,
			ServiceTime: quick, Settings: permits("/setpoint")},
		{Team: "maturacao", Name: "reports", Kind: "request", Targets: 3, Slots: 3, DataCentres: three, ServiceTime: slow},
		{Team: "bluestem", Name: "slot-feed", Kind: "feed", Targets: 7, Slots: 2, DataCentres: four, Settings: feeds},
		{Team: "bluestem", Name: "slot-desk", Kind: "request", Targets: 7, Slots: 2, DataCentres: four,
			ServiceTime: quick, Settings: permits("/booking")},
		{Team: "bluestem", Name: "records", Kind: "request", Targets: 4, Slots: 2, DataCentres: four, ServiceTime: slow},
	}
}

// UserLinks returns the links between data centres and between callers and entries, with their
// delays.
func UserLinks() []fabric.Link {
	links := []fabric.Link{
		{From: "dc1", To: "dc2", Delay: 4 * time.Millisecond},
		{From: "dc1", To: "dc3", Delay: 4500 * time.Microsecond},
		{From: "dc2", To: "dc3", Delay: 5 * time.Millisecond},
		{From: "dc1", To: "dc4", Delay: 3 * time.Millisecond},
		{From: "dc2", To: "dc4", Delay: 3500 * time.Microsecond},
		{From: "dc3", To: "dc4", Delay: 4 * time.Millisecond},
	}
	for _, name := range []string{RoomFeed, RoomControl, Reports} {
		links = append(links, fabric.Link{From: name, To: fabric.AnyEndpoint, Delay: time.Millisecond})
	}
	for _, name := range []string{SlotFeed, SlotDesk, Records} {
		links = append(links, fabric.Link{From: name, To: fabric.AnyEndpoint, Delay: 3 * time.Millisecond})
	}
	for i := range links {
		links[i].Jitter = linkJitter
	}
	return links
}
