package admission

import (
	"slices"
	"sync"

	"lacewinglever.dev/policy/routes"
)

// Classes are the priorities of the routes that lead to a service, without repetitions, the highest
// (lowest number) first.
type Classes []int

// position returns the number of higher priorities.
func (c Classes) position(priority int) int {
	at, _ := slices.BinarySearch(c, priority)
	return at
}

// classCache keeps the classes of all services of the routes in force.
type classCache struct {
	mu      sync.Mutex
	table   *routes.Table
	classes map[string]Classes
}

// of returns the classes of a service.
func (c *classCache) of(t *routes.Table, service string) Classes {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != t {
		c.table, c.classes = t, classesOf(t)
	}
	return c.classes[service]
}

// classesOf returns the classes of the services that more than one priority leads to.
func classesOf(t *routes.Table) map[string]Classes {
	all := map[string]Classes{}
	for _, route := range t.Routes {
		for _, share := range route.Shares {
			if c := all[share.Service]; route.HasService(share.Service) && !slices.Contains(c, route.Priority) {
				all[share.Service] = append(c, route.Priority)
			}
		}
	}
	for service, c := range all {
		if len(c) < 2 {
			delete(all, service)
			continue
		}
		slices.Sort(c)
	}
	return all
}
