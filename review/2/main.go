// Command 2 rolls the agents of a service in turn while one of its targets drains, and checks that
// no open flow of a live target is reset.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/lab"

	"lacewinglever.dev/bench/flows"
	"lacewinglever.dev/platform/platformtest"
)

const (
	service = "a"
	agents  = 3
	opened  = 60 // flows
	// rollGap is the pause between the signals to two processes in turn.
	rollGap = time.Second
	// restartDelay is the delay after which the platform starts a process again that has exited.
	restartDelay = 1300 * time.Millisecond
	// joinTime is more than an agent takes after its start to learn the other nodes.
	joinTime = 350 * time.Millisecond
	// idleTimeout is that of the routes. Flows that were idle for longer are not judged.
	idleTimeout = 15 * time.Second
)

func main() {
	l := lab.Start(2, map[string]int{service: agents})
	to := l.ServiceAddress(443)
	l.Store.PutRoutes(3, []string{service},
		[]platformtest.Route{{Name: "feed", Host: to.Addr().String(), Port: int(to.Port()), Service: service}})
	l.AwaitReady()
	byAgent := map[*flows.Node][]*lab.Flow{}
	for i := range opened {
		if f := l.Open(to, fmt.Sprintf("first-%02d", i)); f != nil {
			byAgent[f.Agent] = append(byAgent[f.Agent], f)
		}
	}
	for _, n := range l.Agents {
		l.Log("%s's target holds %d flows", n.Name, len(byAgent[n]))
	}
	drained := l.Agents[0]
	if len(byAgent[drained]) == 0 {
		l.Fail("no flow is open at %s", drained.Name)
	}
	if l.Trouble {
		target, _ := l.Target(drained)
		target.Drain()
		l.Log("target of %s says that it drains, confirmed: %v", drained.Name, !target.DrainConfirmedAt().IsZero())
		go restart(l, l.Entries[0])
		go restart(l, l.Agents[1])
		time.Sleep(rollGap)
		restarted := make(chan struct{})
		go func() { restart(l, l.Agents[2]); close(restarted) }()
		time.Sleep(rollGap)
		go restart(l, drained)
		<-restarted
		time.Sleep(joinTime)
	}
	broken, answered := 0, 0
	var mu sync.Mutex
	var requests sync.WaitGroup
	for i, f := range byAgent[drained] {
		requests.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			id := fmt.Sprintf("second-%02d", i)
			l.Log("sent      %s on flow %v, idle for %v", id, f.ID, time.Since(f.Used).Round(time.Millisecond))
			if time.Since(f.Used) > idleTimeout {
				return
			}
			outcome, target, _ := f.Request(id, 6*time.Second)
			holder := l.Holder(f.ID)
			held := holder != nil
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
		broken, len(byAgent[drained]), answered)
	if broken > 0 {
		l.Finish(lab.Broken, "FLOW broken: %s", summary)
	}
	l.Finish(lab.Held, "FLOW held: %s", summary)
}

// restart stops a process with SIGTERM and starts it again after a short delay, as the platform does.
func restart(l *lab.Lab, n *flows.Node) {
	l.Log("SIGTERM to %s", n.Name)
	n.Stop()
	l.Log("%s has exited", n.Name)
	time.Sleep(restartDelay)
	if err := n.Launch(); err != nil {
		l.Fail("start of %s: %v", n.Name, err)
	}
	l.Log("%s started again", n.Name)
}
