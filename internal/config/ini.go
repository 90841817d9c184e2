// Package config reads the operator's file, an INI that says what an instance does beyond what the platform tells it.
// Every value is checked, with its file, line and name; a name or section that is not known is wrong, not passed over.
package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"lanewheel/internal/diagnostic"
)

// reader reads the sections of one file and gathers what is wrong with them.
type reader struct {
	file          string
	ini           *ini.File
	lines         map[string]int // by section, or section and name with a dot between
	knownSections map[string]bool
	diagnostics   diagnostic.List
}

// maxFileBytes is how many bytes an operator's file may have: some thousands of callers, and far from what hurts.
const maxFileBytes = 1 << 20

// newReader takes the text apart. What stands twice is wrong: the library would let the later one win in silence.
func newReader(file string, text []byte) *reader {
	r := &reader{file: file, lines: map[string]int{}, knownSections: map[string]bool{}}
	if len(text) > maxFileBytes {
		r.report("", "", "", fmt.Sprintf("wants %d bytes or fewer", maxFileBytes))
		return r
	}
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		key := ""
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
			continue
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			key = section
		default:
			name, _, _ := strings.Cut(line, "=")
			key = section + "." + strings.TrimSpace(name)
		}
		if firstLine, duplicate := r.lines[key]; duplicate {
			r.diagnostics = append(r.diagnostics, diagnostic.Diagnostic{File: file, Line: i + 1, Name: key,
				Want: fmt.Sprintf("stands in line %d already", firstLine)})
			continue
		}
		r.lines[key] = i + 1
	}
	var err error
	// No shadows, no continuation lines, nothing behind a value: a line says what it says.
	r.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true,
		KeyValueDelimiters: "=", PreserveSurroundedQuote: true, SkipUnrecognizableLines: false}, text)
	if err != nil {
		r.report("", "", "", "can't be read: "+strings.TrimSpace(err.Error()))
		return r
	}
	if unnamed := r.ini.Section(ini.DefaultSection); len(unnamed.Keys()) > 0 {
		r.report("", unnamed.Keys()[0].Name(), "", "stands before the first section")
	}
	return r
}

// report notes a fault; a name that does not stand in the file is told with its section's line.
func (r *reader) report(section, name, value, want string) {
	key := section
	if name != "" {
		key += "." + name
	}
	line := r.lines[key]
	if line == 0 {
		line = r.lines[section]
	}
	r.diagnostics = append(r.diagnostics, diagnostic.Diagnostic{File: r.file, Line: line, Name: strings.TrimPrefix(key, "."),
		Value: value, Want: want})
}

// section is one section that is being read.
type section struct {
	reader     *reader
	name       string
	source     *ini.Section // nil if the file has none such
	knownNames map[string]bool
}

// section gives a section that has a place of its own in the program.
func (r *reader) section(name string) *section {
	s := &section{reader: r, name: name, knownNames: map[string]bool{}}
	r.knownSections[name] = true
	if r.ini != nil && r.ini.HasSection(name) {
		s.source = r.ini.Section(name)
	}
	return s
}

// sectionsOfKind gives the sections of a kind that may stand several times, as [role crew]; in the file's order.
func (r *reader) sectionsOfKind(kind string) []*section {
	var sections []*section
	if r.ini == nil {
		return nil
	}
	for _, name := range r.ini.SectionStrings() {
		if rest, matches := strings.CutPrefix(name, kind+" "); matches && strings.TrimSpace(rest) != "" {
			sections = append(sections, r.section(name))
		}
	}
	return sections
}

// exists tells whether the file has the section.
func (s *section) exists() bool { return s.source != nil }

// label is what stands behind the kind in the section's name.
func (s *section) label() string {
	_, label, _ := strings.Cut(s.name, " ")
	return strings.TrimSpace(label)
}

// lookup is what stands under a name. Raw: the library's %(name)s is no part of our form.
func (s *section) lookup(name string) (string, bool) {
	s.knownNames[name] = true
	if s.source == nil || !s.source.HasKey(name) {
		return "", false
	}
	return s.source.Key(name).Value(), true
}

func (s *section) report(name, value, want string) { s.reader.report(s.name, name, value, want) }

// stringValue reads a value; an empty one counts as none.
func (s *section) stringValue(name string, target *string) {
	if text, found := s.lookup(name); found && text != "" {
		*target = text
	}
}

// requiredString is text that has to be there once its section is.
func (s *section) requiredString(name string, target *string) {
	if s.stringValue(name, target); *target == "" && s.exists() {
		s.report(name, "", "wants text")
	}
}

// enumValue reads one of some words.
func (s *section) enumValue(name string, target *string, allowed ...string) {
	text, found := s.lookup(name)
	if !found {
		return
	}
	for _, word := range allowed {
		if text == word {
			*target = text
			return
		}
	}
	s.report(name, text, "wants one of "+strings.Join(slices.Sorted(slices.Values(allowed)), ", "))
}

// boolValue reads yes or no.
func (s *section) boolValue(name string, target *bool) {
	word := "no"
	if *target {
		word = "yes"
	}
	s.enumValue(name, &word, "yes", "no")
	*target = word == "yes"
}

// floatValue reads a number from least to greatest.
func (s *section) floatValue(name string, target *float64, lowest, highest float64) {
	text, found := s.lookup(name)
	if !found {
		return
	}
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(parsed) || parsed < lowest || parsed > highest {
		s.report(name, text, fmt.Sprintf("wants a number from %g to %g", lowest, highest))
		return
	}
	*target = parsed
}

// intValue reads a whole number from least to greatest.
func (s *section) intValue(name string, target *int, lowest, highest int) {
	text, found := s.lookup(name)
	if !found {
		return
	}
	parsed, err := strconv.Atoi(text)
	if err != nil || parsed < lowest || parsed > highest {
		s.report(name, text, fmt.Sprintf("wants a whole number from %d to %d", lowest, highest))
		return
	}
	*target = parsed
}

// durationValue reads a time with its unit, as 30s or 1h30m.
func (s *section) durationValue(name string, target *time.Duration, lowest, highest time.Duration) {
	text, found := s.lookup(name)
	if !found {
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < lowest || parsed > highest {
		s.report(name, text, fmt.Sprintf("wants a time from %v to %v, as 1m30s", lowest, highest))
		return
	}
	*target = parsed
}

// listValue reads values with commas between.
func (s *section) listValue(name string) []string {
	text, _ := s.lookup(name)
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// reportUnknownNames flags the names in the section that nobody asked for.
func (s *section) reportUnknownNames() {
	if s.source == nil {
		return
	}
	for _, key := range s.source.KeyStrings() {
		if !s.knownNames[key] {
			s.report(key, "", "is no name of this section; wants "+joinSorted(s.knownNames))
		}
	}
}

// reportUnknownSections flags the sections that nobody asked for.
func (r *reader) reportUnknownSections(kinds ...string) {
	if r.ini == nil {
		return
	}
	for _, name := range r.ini.SectionStrings() {
		if name != ini.DefaultSection && !r.knownSections[name] {
			allowed := map[string]bool{}
			for known := range r.knownSections {
				if !strings.Contains(known, " ") {
					allowed[known] = true
				}
			}
			for _, kind := range kinds {
				allowed[kind+" NAME"] = true
			}
			r.report(name, "", "", "is no section; wants "+joinSorted(allowed))
		}
	}
}
