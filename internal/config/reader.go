package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"lanewheel/internal/diagnostic"
)

// reader reads the sections of one file and gathers what is wrong with them. Sections and names go by the terms that
// they have now, also where the file has earlier ones; what is wrong is told by what stands in the file.
type reader struct {
	file          string
	renames       *renames
	ini           *ini.File         // as written
	lines         map[string]int    // by section, or section and name with a dot between
	written       map[string]string // what stands in the file for a key of lines, where that is an earlier term
	renamed       RenamedSettings
	knownSections map[string]bool
	diagnostics   diagnostic.List
}

// maxFileBytes is how many bytes an operator's file may have: some thousands of callers, and far from what hurts.
const maxFileBytes = 1 << 20

// newReader takes the text apart. What stands twice is wrong, also by an earlier and the present term: the library
// would let the later one win in silence.
func newReader(file string, text []byte, renames *renames) *reader {
	r := &reader{
		file:          file,
		renames:       renames,
		lines:         map[string]int{},
		written:       map[string]string{},
		knownSections: map[string]bool{},
	}
	if len(text) > maxFileBytes {
		r.report("", "", "", fmt.Sprintf("wants %d bytes or fewer", maxFileBytes))
		return r
	}
	r.readLines(string(text))
	var err error
	// No shadows, no continuation lines, nothing behind a value: a line says what it says.
	r.ini, err = ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		KeyValueDelimiters:      "=",
		PreserveSurroundedQuote: true,
		SkipUnrecognizableLines: false,
	}, text)
	if err != nil {
		r.report("", "", "", "can't be read: "+strings.TrimSpace(err.Error()))
		return r
	}
	if unnamed := r.ini.Section(ini.DefaultSection); len(unnamed.Keys()) > 0 {
		r.report("", unnamed.Keys()[0].Name(), "", "stands before the first section")
	}
	return r
}

// readLines notes where each section and name stands.
func (r *reader) readLines(text string) {
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		written, name := "", ""
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			written = section
		} else {
			name, _, _ = strings.Cut(line, "=")
			name = strings.TrimSpace(name)
			written = section + "." + name
		}
		key := r.resolve(section, name)
		if firstLine, duplicate := r.lines[key]; duplicate {
			r.diagnostics = append(r.diagnostics, diagnostic.Diagnostic{
				File: r.file,
				Line: i + 1,
				Name: written,
				Want: fmt.Sprintf("stands in line %d already", firstLine),
			})
			continue
		}
		r.lines[key] = i + 1
		r.noteWritten(section, name, key)
	}
}

// resolve returns the key of lines for a section and a name as written; no name is the section itself.
func (r *reader) resolve(section, name string) string {
	section = r.renames.section(section)
	if name == "" {
		return section
	}
	return section + "." + r.renames.name(section, name)
}

// noteWritten notes what stands in the file for a key, if an earlier term does.
func (r *reader) noteWritten(section, name, key string) {
	written := section
	if name != "" {
		written += "." + name
	}
	if written == key {
		return
	}
	r.written[key] = written
	switch now := r.renames.section(section); {
	case name == "":
		r.noteRenamed("[" + section + "] is now [" + key + "]")
	case r.renames.name(now, name) != name:
		r.noteRenamed(written + " is now " + key)
	}
}

// noteRenamed adds an earlier term to those that the process warns of.
func (r *reader) noteRenamed(use string) { r.renamed = append(r.renamed, use) }

// override puts a value in place of what the file says, or beside it.
func (r *reader) override(section, name, value string) {
	key := r.resolve(section, name)
	if r.lines[key] == 0 {
		r.noteWritten(section, name, key)
	}
	source := r.source(r.renames.section(section))
	if source == nil {
		source = r.ini.Section(r.renames.section(section)) // makes it
	}
	written := name
	for _, candidate := range source.KeyStrings() {
		if r.resolve(section, candidate) == key {
			written = candidate
			break
		}
	}
	source.Key(written).SetValue(value)
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
	r.diagnostics = append(r.diagnostics, diagnostic.Diagnostic{
		File:  r.file,
		Line:  line,
		Name:  strings.TrimPrefix(r.display(section, name), "."),
		Value: value,
		Want:  want,
	})
}

// display returns a section, or one of its names, as the file has it.
func (r *reader) display(section, name string) string {
	written := section
	if earlier := r.written[section]; earlier != "" {
		written = earlier
	}
	if name == "" {
		return written
	}
	if earlier := r.written[section+"."+name]; earlier != "" {
		return earlier
	}
	return written + "." + name
}

// source returns the section of the file that has the name now, nil if there is none. Of an earlier and the present
// name together, which is an error, the first counts.
func (r *reader) source(section string) *ini.Section {
	if r.ini == nil {
		return nil
	}
	for _, written := range r.ini.SectionStrings() {
		if r.renames.section(written) == section {
			return r.ini.Section(written)
		}
	}
	return nil
}

// section gives a section that has a place of its own in the program.
func (r *reader) section(name string) *section {
	r.knownSections[name] = true
	s := &section{
		reader:     r,
		name:       name,
		source:     r.source(name),
		written:    map[string]string{},
		knownNames: map[string]bool{},
	}
	if s.source == nil {
		return s
	}
	for _, written := range s.source.KeyStrings() {
		if now := r.renames.name(name, written); s.written[now] == "" {
			s.written[now] = written
		}
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

// reportUnknownSections flags the sections that nobody asked for.
func (r *reader) reportUnknownSections(kinds ...string) {
	if r.ini == nil {
		return
	}
	for _, name := range r.ini.SectionStrings() {
		if name == ini.DefaultSection || r.knownSections[r.renames.section(name)] {
			continue
		}
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
