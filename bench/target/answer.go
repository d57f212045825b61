package target

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Headers of requests and answers of the stand-ins. The agents pass them through.
const (
	HeaderRunID      = "Run-Id"      // the caller's id of the run
	HeaderTargetName = "Target-Name" // who ran it
	HeaderChecksum   = "Body-Xxh64"  // checksum of the whole answer, 16 hexadecimal digits
	// HeaderLogStart tells which process's run log an answer to GET /runs is from.
	HeaderLogStart = "Run-Log-Start"
	HeaderNotRun   = "Lacewing-Not-Run"
	QuerySize      = "size" // bytes of the answer
	QueryFrom      = "from" // of GET /runs: how many runs to skip
	MaxAnswerBytes = 16 << 20
)

// AnswerBody returns the answer to a run: a line that names target, service and run, then bytes that follow from the run id, so
// that the caller can tell a foreign, mixed or cut answer from its own.
func AnswerBody(target, service, run string, size int) []byte {
	b := fmt.Appendf(nil, "%s %s %s\n", target, service, run)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(run), 0))
	for len(b) < size {
		b = append(b, byte('a'+random.IntN(26)))
	}
	return b
}

// Checksum returns the checksum that HeaderChecksum carries.
func Checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }
