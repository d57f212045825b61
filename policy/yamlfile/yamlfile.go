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

func (f *Faults) line(path string) int { return lineOf(f.tree, path) }

// lineOf returns the line of a path, 0 if the tree lacks it.
func lineOf(tree *ast.File, path string) int {
	p, err := yaml.PathString(path)
	if err != nil || tree == nil {
		return 0
	}
	node, err := p.FilterFile(tree)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// Lines returns a function that gives the line of a path in a text of YAML or JSON, or of the closest parent that the
// text has; 0 if there is none below the root.
func Lines(text []byte) func(path string) int {
	var tree *ast.File
	if len(text) <= maxFileSize {
		tree = parseTree(text)
	}
	return func(path string) (line int) {
		defer func() {
			if recover() != nil { // see Parse
				line = 0
			}
		}()
		for line == 0 && path != "" && path != "$" {
			line = lineOf(tree, path)
			path = path[:max(0, strings.LastIndexAny(path, ".["))]
		}
		return line
	}
}

// parseTree returns the tree of a text, nil if it can't be read.
func parseTree(text []byte) (tree *ast.File) {
	defer func() {
		if recover() != nil { // see Parse
			tree = nil
		}
	}()
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil
	}
	return tree
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

// DecodeError is the error of a text that is YAML, but has unknown fields, or values of another type.
type DecodeError struct {
	File    string
	Line    int // of the first fault; 0 if it is unknown
	Message string
}

// Error returns the message with the name of the file.
func (e *DecodeError) Error() string { return e.File + ": " + e.Message }

// newDecodeError returns the error of the decoder with its position.
func newDecodeError(file string, err error) *DecodeError {
	decode := &DecodeError{File: file, Message: yaml.FormatError(err, false, false)}
	if at := yaml.Error(nil); errors.As(err, &at) && at.GetToken() != nil {
		decode.Line = at.GetToken().Position.Line
	}
	return decode
}

// Parse decodes text into a copy of defaults, then runs check on it. Unknown fields are faults. The
// name of the text appears in error messages. The error is a *Faults if check found any, and a
// *DecodeError if the text doesn't fit the struct. A text with more than one document is rejected, as only the first would be decoded.
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
		return nil, newDecodeError(name, err)
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
