package fleet

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	"lacewinglever.dev/policy/routes"
)

// BenchmarkRoutes gives the size and cost of routes updates for capacity planning: of one changed
// route, and of all routes for a node that starts.
func BenchmarkRoutes(b *testing.B) {
	for _, n := range []int{250, 2250, 13000} {
		before, after := tableOf(1, n, "huvo11a"), tableOf(2, n, "huvo11a")
		added := netip.MustParseAddrPort("198.19.0.1:443")
		after.Routes[added] = routes.Route{Name: "r-3hh2b9w", Shares: []routes.Share{{Service: "huvo11a", Weight: 1}}}
		b.Run(fmt.Sprint("change/", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				c := routes.Diff(before, after)
				m := toChange(&c)
				size = proto.Size(m)
				back, err := fromChange(m)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := back.Apply(before); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run(fmt.Sprint("whole/", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				var current routes.Current
				current.Offer(after)
				var cache updateCache
				packed, err := cache.get(&current, routes.Position{})
				if err != nil {
					b.Fatal(err)
				}
				size = len(packed)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
