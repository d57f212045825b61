package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/yamlfile"
)

// MaxSpecSize bounds the YAML text of one service, in bytes. A revision must fit into one datagram of gossip.
const MaxSpecSize = 32 << 10

// Defaults of fields that a spec leaves out.
const (
	DefaultIdleTimeout = 60 * time.Second
	DefaultHashSlots   = 1024
	DefaultWarmUp      = 10 * time.Second
	DefaultQueueLimit  = 64
	DefaultDeadline    = 10 * time.Second
)

// Limits of fields.
const (
	MaxHashSlots   = 65536
	MaxIdleTimeout = 24 * time.Hour
	MaxWarmUp      = time.Hour
	MaxDeadline    = 10 * time.Minute
	MaxQueueLimit  = 100_000
	MaxWeight      = 1000.0
	MaxListLength  = 2300 // the largest pool that the design allows for
)

// maxNesting bounds the depth of brackets, and of list items begun on one line. A spec needs 2 levels.
const maxNesting = 32

type specFile struct {
	Kind          Kind               `yaml:"kind"`
	Address       string             `yaml:"address"`
	IdleTimeout   time.Duration      `yaml:"idle_timeout"`
	HashSlots     int                `yaml:"hash_slots"`
	WarmUp        time.Duration      `yaml:"warm_up"`
	DataCentres   []string           `yaml:"data_centres"`
	Weights       map[string]float64 `yaml:"weights"`
	Drain         []string           `yaml:"drain"`
	QueueLimit    int                `yaml:"queue_limit"`
	Deadline      time.Duration      `yaml:"deadline"`
	NonIdempotent []ruleFile         `yaml:"non_idempotent"`
}

type ruleFile struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
}

// Parse decodes and validates the YAML text of a service's settings. The name is used in messages. The error lists every fault of the
// decoded file by path and line; a text that is not YAML or has unknown fields is reported with the place of the first such fault.
func Parse(name string, service ident.ServiceName, text []byte) (*Spec, error) {
	if err := CheckService(service); err != nil {
		return nil, errors.Wrap(err, name)
	}
	if err := checkText(name, text); err != nil {
		return nil, err
	}
	defaults := specFile{
		IdleTimeout: DefaultIdleTimeout,
		HashSlots:   DefaultHashSlots,
		WarmUp:      DefaultWarmUp,
		QueueLimit:  DefaultQueueLimit,
		Deadline:    DefaultDeadline,
	}
	file, err := yamlfile.Parse(name, text, defaults, checkFile)
	if err != nil {
		return nil, err
	}
	return file.spec(service), nil
}

// checkText refuses what must not reach the YAML parser: texts that are too large, and texts so deep that the parser's time, which grows
// with the square of the depth, would hold up the caller.
func checkText(name string, text []byte) error {
	if len(text) > MaxSpecSize {
		return errors.Errorf("%s: %d bytes, at most %d", name, len(text), MaxSpecSize)
	}
	line, brackets, dashes := 1, 0, 0
	for i, b := range text {
		switch b {
		case '[', '{':
			brackets++
		case ']', '}':
			brackets--
		case '-', '?':
			if i+1 < len(text) && text[i+1] == ' ' { // begins an item; a row of dashes doesn't
				dashes++
			}
		case '\n':
			line, dashes = line+1, 0
		case ' ', '\t':
		default:
			dashes = 0
		}
		if brackets > maxNesting || dashes > maxNesting {
			return errors.Errorf("%s:%d: $: nested deeper than %d levels", name, line, maxNesting)
		}
	}
	return nil
}

func checkFile(s *specFile, f *yamlfile.Faults) {
	if s.Kind != KindFeed && s.Kind != KindRequest {
		f.Add("$.kind", "%q: want %s or %s", s.Kind, KindFeed, KindRequest)
	}
	checkAddress(f, s.Address)
	checkDuration(f, "$.idle_timeout", s.IdleTimeout, time.Second, MaxIdleTimeout)
	checkDuration(f, "$.warm_up", s.WarmUp, 0, MaxWarmUp)
	checkDuration(f, "$.deadline", s.Deadline, time.Millisecond, MaxDeadline)
	if s.HashSlots < 1 || s.HashSlots > MaxHashSlots || s.HashSlots&(s.HashSlots-1) != 0 {
		f.Add("$.hash_slots", "%d: want a power of two from 1 to %d", s.HashSlots, MaxHashSlots)
	}
	if s.QueueLimit < 0 || s.QueueLimit > MaxQueueLimit {
		f.Add("$.queue_limit", "%d: want 0 to %d", s.QueueLimit, MaxQueueLimit)
	}
	checkNames(f, "$.data_centres", s.DataCentres)
	checkNames(f, "$.drain", s.Drain)
	checkWeights(f, s)
	checkRules(f, s)
}

func checkAddress(f *yamlfile.Faults, text string) {
	if text == "" {
		f.Add("$.address", "is required")
		return
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Add("$.address", "%q: want an IP address and a port", text)
		return
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		f.Add("$.address", "%q: want a unicast address without a zone and a port other than 0", text)
	}
}

func checkDuration(f *yamlfile.Faults, path string, d, lowest, highest time.Duration) {
	if d < lowest || d > highest {
		f.Add(path, "%s: want %s to %s", d, lowest, highest)
	}
}

func checkNames(f *yamlfile.Faults, path string, names []string) {
	if len(names) > MaxListLength {
		f.Add(path, "%d names, at most %d", len(names), MaxListLength)
		return
	}
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", path, i)
		if !legalNode(name) {
			f.Add(at, "%q: want letters, digits, '-', '_' and '.', at most %d", name, maxNameLength)
		}
		if seen[name] {
			f.Add(at, "%q is given twice", name)
		}
		seen[name] = true
	}
}

func checkWeights(f *yamlfile.Faults, s *specFile) {
	admitted := make(map[string]bool, len(s.DataCentres))
	for _, dc := range s.DataCentres {
		admitted[dc] = true
	}
	for _, dc := range sortedKeys(s.Weights) {
		w := s.Weights[dc]
		if !legalNode(dc) {
			f.Add("$.weights", "%q: not the name of a data centre", dc)
			continue
		}
		at := "$.weights." + quoteKey(dc)
		if math.IsNaN(w) || w < 0 || w > MaxWeight {
			f.Add(at, "%v: want 0 to %v", w, MaxWeight)
		}
		if len(admitted) > 0 && !admitted[dc] {
			f.Add(at, "data centre %q is not in data_centres", dc)
		}
	}
}

func checkRules(f *yamlfile.Faults, s *specFile) {
	if len(s.NonIdempotent) > 0 && s.Kind == KindFeed {
		f.Add("$.non_idempotent", "applies to services of kind %s only", KindRequest)
	}
	if len(s.NonIdempotent) > MaxListLength {
		f.Add("$.non_idempotent", "%d rules, at most %d", len(s.NonIdempotent), MaxListLength)
		return
	}
	for i, rule := range s.NonIdempotent {
		at := fmt.Sprintf("$.non_idempotent[%d]", i)
		if rule.Method == "" && rule.Path == "" {
			f.Add(at, "want a method, a path or both")
		}
		if rule.Method != strings.ToUpper(rule.Method) || strings.ContainsAny(rule.Method, " \t\r\n") {
			f.Add(at+".method", "%q: want an HTTP method in upper case", rule.Method)
		}
		if rule.Path != "" && !strings.HasPrefix(rule.Path, "/") {
			f.Add(at+".path", "%q: want a path that begins with /", rule.Path)
		}
	}
}

func (s *specFile) spec(service ident.ServiceName) *Spec {
	address := netip.MustParseAddrPort(s.Address)
	out := &Spec{
		Service:     service,
		Kind:        s.Kind,
		Address:     netip.AddrPortFrom(address.Addr().Unmap(), address.Port()),
		IdleTimeout: s.IdleTimeout,
		HashSlots:   s.HashSlots,
		WarmUp:      s.WarmUp,
		Drain:       s.Drain,
		QueueLimit:  s.QueueLimit,
		Deadline:    s.Deadline,
	}
	for _, dc := range s.DataCentres {
		out.DataCentres = append(out.DataCentres, ident.DataCentre(dc))
	}
	if len(s.Weights) > 0 {
		out.Weights = make(map[ident.DataCentre]float64, len(s.Weights))
	}
	for dc, w := range s.Weights {
		out.Weights[ident.DataCentre(dc)] = w
	}
	for _, rule := range s.NonIdempotent {
		out.NonIdempotent = append(out.NonIdempotent, Rule(rule))
	}
	return out
}
