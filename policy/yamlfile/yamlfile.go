// Package yamlfile decodes YAML text into a typed struct and reports every fault with its path and
// line.
package yamlfile

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileSize bounds a settings file, in bytes.
const maxFileSize = 1 << 20

// Fault is one error in a settings file.
type Fault struct {
	Path    string // YAML path, such as $.udp.listen
	Line    int    // 0 if the path is absent from the file
	Message string
}

// Faults collects the faults of one file. It is an error if the list is not empty.
type Faults struct {
	File string
	List []Fault
	tree *ast.File
}

// Add appends a fault at a YAML path.
func (f *Faults) Add(path, format string, args ...any) {
	f.List = append(f.List, Fault{Path: path, Line: f.line(path), Message: fmt.Sprintf(format, args...)})
}

func (f *Faults) line(path string) int {
	p, err := yaml.PathString(path)
	if err != nil || f.tree == nil {
		return 0
	}
	node, err := p.FilterFile(f.tree)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// Error lists all faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", f.File, fault.Line, fault.Path, fault.Message)
	}
	return strings.Join(lines, "\n")
}

// Err returns f if it has a fault, else nil.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}

// Parse decodes text into a copy of defaults, then runs check on it. Unknown fields are faults. The
// name of the text appears in error messages. The error is a *Faults if check found any. A text
// with more than one document is rejected, as only the first would be decoded.
func Parse[T any](name string, text []byte, defaults T, check func(*T, *Faults)) (result *T, err error) {
	// The YAML library panics on some malformed texts (see FuzzParse of package settings). Settings
	// are untrusted input, so a panic is returned as an error.
	defer func() {
		if p := recover(); p != nil {
			result, err = nil, errors.Errorf("%s: the text is not valid YAML: %v", name, p)
		}
	}()
	if len(text) > maxFileSize {
		return nil, errors.Errorf("%s: %d bytes, at most %d", name, len(text), maxFileSize)
	}
	faults := &Faults{File: name}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, errors.Errorf("%s: %s", name, yaml.FormatError(err, false, false))
	}
	if len(tree.Docs) > 1 {
		return nil, errors.Errorf("%s:%d: $: a second document starts here, want one", name, firstLine(tree.Docs[1]))
	}
	faults.tree = tree
	value := defaults
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&value); err != nil {
		return nil, errors.Errorf("%s: %s", name, yaml.FormatError(err, false, false))
	}
	check(&value, faults)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return &value, nil
}

// firstLine returns the line on which a document starts; 0 if it is empty and has no marker.
func firstLine(d *ast.DocumentNode) int {
	switch {
	case d.Start != nil:
		return d.Start.Position.Line
	case d.Body != nil:
		return d.Body.GetToken().Position.Line
	}
	return 0
}
