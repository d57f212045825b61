package measure

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Target scale, section 4 of the design.
const (
	scaleEntries     = 7000
	scaleTargets     = 41000
	scaleServices    = 13000
	scaleDataCentres = 18
	lostTargets      = 2300
	lostEntries      = 390
	endedPerDay      = 11099 // nodes
	specBytes        = 300   // size of a service's settings, as in section 13 with two rules
)

const testKey = "000102030405060708090a0b0c0d0e0f"

func keyring() (*wire.Keyring, error) {
	key, err := wire.ParseKey(testKey)
	if err != nil {
		return nil, err
	}
	return wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
}

// serviceName returns a name about as long as those of the users' services.
func serviceName(i int) ident.ServiceName {
	return ident.ServiceName{Team: fmt.Sprintf("team-%04d", i/4), Name: fmt.Sprintf("service-%05d", i)}
}

func dataCentre(i int) ident.DataCentre {
	return ident.DataCentre(fmt.Sprintf("region%d-dc%02d", i%5, i))
}

func address(i, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", 1+i/62500, i/250%250, 1+i%250, port)
}

func entryNode(i int) record.Node {
	name := fmt.Sprintf("entry-%05d", i)
	return record.Node{
		ID: ident.NewNodeID(name), Name: name, Entry: true, DataCentre: dataCentre(i % scaleDataCentres),
		Rack: fmt.Sprint("rack-", i/40%40), UDPAddress: address(i, 7000), RPCAddress: address(i, 7001),
		Incarnation: ident.Incarnation(1_700_000_000_000_000 + i), Sequence: 1, State: record.Ready,
	}
}

func agentNode(i, services int) record.Node {
	name := fmt.Sprintf("agent-%05d", i)
	s := serviceName(i % services)
	return record.Node{
		ID: ident.NewNodeID(name), Name: name, DataCentre: dataCentre(i / services % scaleDataCentres),
		Rack: fmt.Sprint("rack-", i/40%40), UDPAddress: address(100000+i, 7000), RPCAddress: address(100000+i, 7001),
		Service: s.ID(), ServiceName: s, Incarnation: ident.Incarnation(1_700_000_000_000_000 + i), Sequence: 2, State: record.Ready, Weight: 1,
	}
}

// revision returns the settings of a service. No other service has its port, so that one host can
// bind all services.
func revision(i int) record.Revision {
	text := fmt.Sprintf("kind: feed\naddress: 10.9.%d.%d:%d\nidle_timeout: 60s\n", i/250, 1+i%250, 20000+i)
	text += "# " + strings.Repeat("x", max(0, specBytes-len(text)-3)) + "\n"
	return record.Revision{
		Service: serviceName(i), Number: 3, Spec: []byte(text), Writer: "operator-12",
		Accepted: time.UnixMilli(1_700_000_000_000), SourceVersion: 123456, WriteID: "0123456789abcdef",
	}
}

// fleetRecords returns the records of a fleet whose size is the target scale divided by divisor.
func fleetRecords(divisor int) []record.Record {
	services := scaleServices / divisor
	var out []record.Record
	for i := range services {
		out = append(out, record.ForRevision(revision(i)))
	}
	for i := range scaleEntries / divisor {
		out = append(out, record.ForNode(entryNode(i)))
	}
	for i := range scaleTargets / divisor {
		out = append(out, record.ForNode(agentNode(i, services)))
	}
	return out
}

// heapBytes returns the bytes of heap and stacks in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
