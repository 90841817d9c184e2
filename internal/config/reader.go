package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"lanewheel/internal/diagnostic"
)

// reader reads the sections of one file and collects the errors in them. Its methods take the current names of sections
// and settings, even if the file uses earlier ones. Diagnostics use the names as written in the file.
type reader struct {
	file          string
	renames       *renames
	ini           *ini.File         // with the names as written; nil if the file could not be parsed
	lines         map[string]int    // line numbers; the key is SECTION or SECTION.NAME, with current names
	written       map[string]string // names as written, by key of lines; only those that contain an earlier name
	renamed       RenamedSettings
	knownSections map[string]bool // the current names of sections that have been looked up
	diagnostics   diagnostic.List
}

// maxFileBytes is the maximum size of a file in bytes. It is enough for several thousand callers and small enough
// not to use much memory.
const maxFileBytes = 1 << 20

// newReader parses the text. A section or setting that appears twice is an error, because the library would silently
// use the later one. An earlier name and the current one count as the same name.
func newReader(file string, text []byte, renames *renames) *reader {
	r := &reader{
		file:          file,
		renames:       renames,
		lines:         map[string]int{},
		written:       map[string]string{},
		knownSections: map[string]bool{},
	}
	if len(text) > maxFileBytes {
		r.report("", "", "", fmt.Sprintf("must be %d bytes or fewer", maxFileBytes))
		return r
	}
	r.readLines(string(text))
	var err error
	// Without repeated keys, continuation lines and inline comments, each line can be read on its own.
	r.ini, err = ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		KeyValueDelimiters:      "=",
		PreserveSurroundedQuote: true,
		SkipUnrecognizableLines: false,
	}, text)
	if err != nil {
		r.report("", "", "", "must be a valid INI file: "+strings.TrimSpace(err.Error()))
		return r
	}
	if unnamed := r.ini.Section(ini.DefaultSection); len(unnamed.Keys()) > 0 {
		r.report("", unnamed.Keys()[0].Name(), "", "must be in a section, but appears before the first one")
	}
	return r
}

// readLines records the line of each section and each setting, and reports those that appear more than once.
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
				Want: fmt.Sprintf("must appear only once, but already appears on line %d", firstLine),
			})
			continue
		}
		r.lines[key] = i + 1
		r.recordWritten(section, name, key)
	}
}

// resolve returns the key of lines for a section and a name as written. If name is empty, resolve returns the key of
// the section itself.
func (r *reader) resolve(section, name string) string {
	section = r.renames.section(section)
	if name == "" {
		return section
	}
	return section + "." + r.renames.name(section, name)
}

// recordWritten records the name as written for a key of lines if it contains an earlier name.
func (r *reader) recordWritten(section, name, key string) {
	written := section
	if name != "" {
		written += "." + name
	}
	if written == key {
		return
	}
	r.written[key] = written
	switch current := r.renames.section(section); {
	case name == "":
		r.addRenamed("[" + section + "] is now [" + key + "]")
	case r.renames.name(current, name) != name:
		r.addRenamed(written + " is now " + key)
	}
}

// addRenamed adds the use of an earlier name or word to those that the process warns about.
func (r *reader) addRenamed(use string) { r.renamed = append(r.renamed, use) }

// override replaces the value of a setting, or adds the setting if the file does not have it.
func (r *reader) override(section, name, value string) {
	key := r.resolve(section, name)
	if r.lines[key] == 0 {
		r.recordWritten(section, name, key)
	}
	source := r.source(r.renames.section(section))
	if source == nil {
		source = r.ini.Section(r.renames.section(section)) // creates the section
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

// report adds a diagnostic. If the file does not contain the name, the diagnostic has the line of the section.
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

// display returns the name of a section or of a setting in it, as written in the file.
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

// source returns the section of the file with the given current name, or nil if there is none. If the file has the
// section under both an earlier and the current name, which is an error, source returns the first one.
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

// section returns the section with the given current name, which need not exist, and records that the name is known.
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
		if current := r.renames.name(name, written); s.written[current] == "" {
			s.written[current] = written
		}
	}
	return s
}

// sectionsOfKind returns the sections of a kind of which a file can have several, for example [role crew], in the order
// of the file.
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

// reportUnknownSections reports the sections that have not been looked up. kinds are the kinds of which the file may
// have several sections.
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
		r.report(name, "", "", "is not a known section; must be one of "+joinSorted(allowed))
	}
}
