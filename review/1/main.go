// Command 1 lets a deployment grow past the size at which nodes send heartbeats to all others, while
// the only entry of a zone loses power, and checks that no open flow of a live target is reset.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"review/lab"

	"lacewinglever.dev/platform/platformtest"
)

const (
	service = "b" // has one target in each of two zones
	// others is the number of targets of the other service. With the two of service b and the two
	// entries there are 33 nodes.
	others = 29
	added  = 1
	opened = 60 // flows
	// darkFor is how long the machine of the entry has no power.
	darkFor = 3500 * time.Millisecond
	// killAfter is when the power goes, after the new agents have started.
	killAfter = 500 * time.Millisecond
	// outOfRotation is the time in which the routers take the dark entry out.
	outOfRotation = 1100 * time.Millisecond
	// sendInterval is the pause between the requests of two flows.
	sendInterval = 50 * time.Millisecond
)

func main() {
	l := lab.Start(2, map[string]int{"a": others, service: 2})
	to := l.ServiceAddress(443)
	l.Store.PutRoutes(3, []string{"a", service},
		[]platformtest.Route{{Name: "feed", Host: to.Addr().String(), Port: int(to.Port()), Service: service}})
	l.AwaitReady()
	time.Sleep(5 * time.Second) // all machines have run for longer than stable_window_ms
	var far []*lab.Flow
	for i := range opened {
		if f := l.Open(to, fmt.Sprintf("first-%02d", i)); f != nil && f.Agent.Zone == 0 {
			far = append(far, f)
		}
	}
	if len(far) == 0 {
		l.Fail("no flow is open in zone 0")
	}
	l.Log("%d flows are open at %s", len(far), far[0].Agent.Name)
	// PART=grow or PART=power leaves out the other half of the disruption.
	part := os.Getenv("PART")
	if l.Trouble && part != "power" {
		for i := range added {
			l.AddAgent(i, i%2, "a")
		}
	}
	time.Sleep(killAfter)
	if l.Trouble && part != "grow" {
		l.Log("%s loses power", l.Entries[0].Name)
		l.Entries[0].Kill()
		time.AfterFunc(darkFor, func() {
			l.Log("%s starts again", l.Entries[0].Name)
			if err := l.Entries[0].Launch(); err != nil {
				l.Fail("start of %s: %v", l.Entries[0].Name, err)
			}
		})
	}
	time.Sleep(outOfRotation)
	broken, answered := 0, 0
	var mu sync.Mutex
	var requests sync.WaitGroup
	for i, f := range far {
		requests.Go(func() {
			time.Sleep(time.Duration(i) * sendInterval)
			id := fmt.Sprintf("second-%02d", i)
			l.Log("sent      %s on flow %v, idle for %v", id, f.ID, time.Since(f.Used).Round(time.Millisecond))
			outcome, target, _ := f.Request(id, 6*time.Second)
			held := l.Holder(f.ID) != nil
			l.Log("answered  %s: %s by %q; its target is alive and holds the flow: %v", id, outcome, target, held)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case outcome == platformtest.WasReset && held:
				broken++
			case outcome == platformtest.Answered:
				answered++
			}
		})
	}
	requests.Wait()
	summary := fmt.Sprintf("%d of %d open flows of a live target were reset by the system, %d were answered",
		broken, len(far), answered)
	if broken > 0 {
		l.Finish(lab.Broken, "FLOW broken: %s", summary)
	}
	l.Finish(lab.Held, "FLOW held: %s", summary)
}
