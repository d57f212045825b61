package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/configcheck"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/yamlfile"
)

// checkCommand checks a configuration before it is sent: the settings of a service in YAML, or the platform's object in JSON.
type checkCommand struct {
	Against string `long:"against" description:"print the difference to this configuration of the same format, such as the one in force" value-name:"FILE"`
	Output  string `long:"output" choice:"text" choice:"json" default:"text" description:"format of the findings"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// unusableError is the error of a call or a file that can't be used.
type unusableError struct{ error }

func (e unusableError) Unwrap() error { return e.error }

// checkResult is the result of a check, as printed.
type checkResult struct {
	File     string                `json:"file"`
	Against  string                `json:"against,omitempty"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

// checkedFile is a configuration in one of the formats.
type checkedFile struct {
	name          string
	text          []byte
	configuration *configcheck.Configuration // of the platform's object, else nil
	spec          *settings.Spec             // of valid settings, else nil
	findings      []configcheck.Finding
}

func (c *checkCommand) run(_ context.Context, p *program) error {
	file, err := readChecked(c.Args.File)
	if err != nil {
		return unusableError{err}
	}
	result := checkResult{File: file.name, Against: c.Against, Findings: file.findings, Changes: []configcheck.Change{}}
	if c.Against != "" {
		other, err := readChecked(c.Against)
		if err != nil {
			return unusableError{err}
		}
		if err := result.compare(other, file); err != nil {
			return unusableError{err}
		}
	}
	setLines(result.Findings, file.text)
	for _, f := range result.Findings {
		if f.Severity == configcheck.Error {
			result.Errors++
		} else {
			result.Warnings++
		}
	}
	if err := result.print(p, c.Output); err != nil {
		return err
	}
	if result.Errors > 0 {
		return errors.Errorf("%s: %s", file.name, count(result.Errors, "error"))
	}
	return nil
}

// readChecked reads and checks a file. The error says that the file can't be read or is in neither format.
func readChecked(name string) (*checkedFile, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	file := &checkedFile{name: name, text: text, findings: []configcheck.Finding{}}
	if isJSON(name, text) {
		if file.configuration, err = platform.ReadConfiguration(text); err != nil {
			return nil, errors.Wrap(err, name)
		}
		file.findings = append(file.findings, configcheck.Check(file.configuration)...)
	} else if err := file.readSettings(text); err != nil {
		return nil, err
	}
	return file, nil
}

// isJSON reports whether a file is the platform's object: by its name, or by its first character if the name doesn't tell.
func isJSON(name string, text []byte) bool {
	switch filepath.Ext(name) {
	case ".json":
		return true
	case ".yaml", ".yml":
		return false
	}
	return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

func (f *checkedFile) readSettings(text []byte) error {
	spec, err := settings.Parse(f.name, placeholderService, text)
	if err != nil {
		faults, ok := configcheck.FaultsOf(err)
		if !ok {
			return err
		}
		f.findings = append(f.findings, faults...)
		return nil
	}
	f.spec = spec
	f.findings = append(f.findings, configcheck.CheckSettings(spec)...)
	return nil
}

// setLines adds the lines of the findings that have none.
func setLines(found []configcheck.Finding, text []byte) {
	if len(found) == 0 {
		return
	}
	line := yamlfile.Lines(text)
	for i := range found {
		if found[i].Line == 0 {
			found[i].Line = line(found[i].Path)
		}
	}
}

// compare adds the changes that lead from one file to another. Invalid settings have none.
func (r *checkResult) compare(from, to *checkedFile) error {
	if (from.configuration == nil) != (to.configuration == nil) {
		return errors.Errorf("%s and %s have different formats", from.name, to.name)
	}
	if to.configuration != nil {
		r.Findings = append(r.Findings, configcheck.CheckVersion(from.configuration, to.configuration)...)
		r.Changes = append(r.Changes, configcheck.Diff(from.configuration, to.configuration)...)
		return nil
	}
	if from.spec == nil {
		setLines(from.findings, from.text)
		return errors.Errorf("%s: invalid settings: line %d: %s: %s", from.name, from.findings[0].Line, from.findings[0].Path, from.findings[0].Message)
	}
	if to.spec != nil {
		r.Changes = append(r.Changes, configcheck.DiffSettings(from.spec, to.spec)...)
	}
	return nil
}

func (r *checkResult) print(p *program, format string) error {
	if format == "json" {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		position := r.File
		if f.Line > 0 {
			position = fmt.Sprintf("%s:%d", r.File, f.Line)
		}
		fmt.Fprintf(p.out, "%s: %s: %s: %s\n", position, f.Severity, f.Path, f.Message)
	}
	for _, c := range r.Changes {
		switch c.Kind {
		case configcheck.Added:
			fmt.Fprintf(p.out, "added %s %s: %s\n", c.Part, c.Name, c.After)
		case configcheck.Removed:
			fmt.Fprintf(p.out, "removed %s %s: %s\n", c.Part, c.Name, c.Before)
		default:
			name := c.Name
			if c.Field != "" {
				name += ": " + c.Field
			}
			fmt.Fprintf(p.out, "changed %s %s: %s, before %s\n", c.Part, name, c.After, c.Before)
		}
	}
	summary := fmt.Sprintf("%s: %s, %s", r.File, count(r.Errors, "error"), count(r.Warnings, "warning"))
	if r.Against != "" {
		summary += fmt.Sprintf(", %s against %s", count(len(r.Changes), "change"), r.Against)
	}
	fmt.Fprintln(p.out, summary)
	return nil
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
