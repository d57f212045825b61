package target

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Headers and query parameters of requests to, and answers from, simulated targets. Agents forward
// them unchanged, except HeaderNotRun, which they evaluate.
const (
	HeaderRunID      = "Run-Id"      // the caller's id of the run
	HeaderTargetName = "Target-Name" // name of the target that ran the request
	HeaderChecksum   = "Body-Xxh64"  // checksum of the whole answer, 16 hexadecimal digits
	// HeaderLogStart is the start time of the target process, which identifies the run log in an
	// answer to GET /runs.
	HeaderLogStart = "Run-Log-Start"
	HeaderNotRun   = "Lacewing-Not-Run"
	QuerySize      = "size" // size of the answer in bytes
	QueryFrom      = "from" // of GET /runs: number of runs to skip
	MaxAnswerBytes = 16 << 20
)

// AnswerBody returns the answer to a run: a line with target, service and run, then bytes derived
// from the run id. With them, a caller can tell an answer to another run, a mixed or a truncated
// answer from its own.
func AnswerBody(target, service, run string, size int) []byte {
	b := fmt.Appendf(nil, "%s %s %s\n", target, service, run)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(run), 0))
	for len(b) < size {
		b = append(b, byte('a'+random.IntN(26)))
	}
	return b
}

// Checksum returns the value of HeaderChecksum.
func Checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }
