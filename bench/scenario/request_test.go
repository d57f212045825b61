package scenario

import (
	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// breakLink resets the TCP connections between two endpoints of a link, so that requests or answers
// in flight are lost.
func breakLink(s *state, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: break FROM TO")
	}
	return s.fleet.BreakLink(s.ctx, args[0], args[1])
}
