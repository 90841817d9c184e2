// Package operator reads the operator's file, an INI that says what an instance does beyond what the platform tells it.
// Every value is checked, with its file, line and name; a name or section that is not known is wrong, not passed over.
package operator

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"lanewheel/internal/fault"
)

// reader reads the sections of one file and gathers what is wrong with them.
type reader struct {
	file   string
	ini    *ini.File
	lines  map[string]int // by section, or section and name with a dot between
	known  map[string]bool
	faults fault.List
}

// most is how many bytes an operator's file may have: some thousands of callers, and far from what hurts.
const most = 1 << 20

// read takes the text apart. What stands twice is wrong: the library would let the later one win in silence.
func read(file string, text []byte) *reader {
	r := &reader{file: file, lines: map[string]int{}, known: map[string]bool{}}
	if len(text) > most {
		r.wrong("", "", "", fmt.Sprintf("wants %d bytes or fewer", most))
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
		if first, told := r.lines[key]; told {
			r.faults = append(r.faults, fault.Fault{File: file, Line: i + 1, Name: key,
				Want: fmt.Sprintf("stands in line %d already", first)})
			continue
		}
		r.lines[key] = i + 1
	}
	var err error
	// No shadows, no continuation lines, nothing behind a value: a line says what it says.
	r.ini, err = ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true,
		KeyValueDelimiters: "=", PreserveSurroundedQuote: true, SkipUnrecognizableLines: false}, text)
	if err != nil {
		r.wrong("", "", "", "can't be read: "+strings.TrimSpace(err.Error()))
		return r
	}
	if unnamed := r.ini.Section(ini.DefaultSection); len(unnamed.Keys()) > 0 {
		r.wrong("", unnamed.Keys()[0].Name(), "", "stands before the first section")
	}
	return r
}

// wrong notes a fault; a name that does not stand in the file is told with its section's line.
func (r *reader) wrong(section, name, value, want string) {
	key := section
	if name != "" {
		key += "." + name
	}
	line := r.lines[key]
	if line == 0 {
		line = r.lines[section]
	}
	r.faults = append(r.faults, fault.Fault{File: r.file, Line: line, Name: strings.TrimPrefix(key, "."),
		Value: value, Want: want})
}

// section is one section that is being read.
type section struct {
	r     *reader
	name  string
	keys  *ini.Section // nil if the file has none such
	known map[string]bool
}

// section gives a section that has a place of its own in the program.
func (r *reader) section(name string) *section {
	s := &section{r: r, name: name, known: map[string]bool{}}
	r.known[name] = true
	if r.ini != nil && r.ini.HasSection(name) {
		s.keys = r.ini.Section(name)
	}
	return s
}

// named gives the sections of a kind that may stand several times, as [role crew]; in the file's order.
func (r *reader) named(kind string) []*section {
	var all []*section
	if r.ini == nil {
		return nil
	}
	for _, name := range r.ini.SectionStrings() {
		if rest, is := strings.CutPrefix(name, kind+" "); is && strings.TrimSpace(rest) != "" {
			all = append(all, r.section(name))
		}
	}
	return all
}

// given tells whether the file has the section.
func (s *section) given() bool { return s.keys != nil }

// title is what stands behind the kind in the section's name.
func (s *section) title() string {
	_, title, _ := strings.Cut(s.name, " ")
	return strings.TrimSpace(title)
}

// value is what stands under a name. Raw: the library's %(name)s is no part of our form.
func (s *section) value(name string) (string, bool) {
	s.known[name] = true
	if s.keys == nil || !s.keys.HasKey(name) {
		return "", false
	}
	return s.keys.Key(name).Value(), true
}

func (s *section) wrong(name, value, want string) { s.r.wrong(s.name, name, value, want) }

// text reads a value; an empty one counts as none.
func (s *section) text(name string, to *string) {
	if v, told := s.value(name); told && v != "" {
		*to = v
	}
}

// wanted is text that has to be there once its section is.
func (s *section) wanted(name string, to *string) {
	if s.text(name, to); *to == "" && s.given() {
		s.wrong(name, "", "wants text")
	}
}

// word reads one of some words.
func (s *section) word(name string, to *string, words ...string) {
	v, told := s.value(name)
	if !told {
		return
	}
	for _, w := range words {
		if v == w {
			*to = v
			return
		}
	}
	s.wrong(name, v, "wants one of "+strings.Join(slices.Sorted(slices.Values(words)), ", "))
}

// flag reads yes or no.
func (s *section) flag(name string, to *bool) {
	word := "no"
	if *to {
		word = "yes"
	}
	s.word(name, &word, "yes", "no")
	*to = word == "yes"
}

// number reads a number from least to greatest.
func (s *section) number(name string, to *float64, least, greatest float64) {
	v, told := s.value(name)
	if !told {
		return
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || x < least || x > greatest {
		s.wrong(name, v, fmt.Sprintf("wants a number from %g to %g", least, greatest))
		return
	}
	*to = x
}

// count reads a whole number from least to greatest.
func (s *section) count(name string, to *int, least, greatest int) {
	v, told := s.value(name)
	if !told {
		return
	}
	x, err := strconv.Atoi(v)
	if err != nil || x < least || x > greatest {
		s.wrong(name, v, fmt.Sprintf("wants a whole number from %d to %d", least, greatest))
		return
	}
	*to = x
}

// span reads a time with its unit, as 30s or 1h30m.
func (s *section) span(name string, to *time.Duration, least, greatest time.Duration) {
	v, told := s.value(name)
	if !told {
		return
	}
	x, err := time.ParseDuration(v)
	if err != nil || x < least || x > greatest {
		s.wrong(name, v, fmt.Sprintf("wants a time from %v to %v, as 1m30s", least, greatest))
		return
	}
	*to = x
}

// list reads values with commas between.
func (s *section) list(name string) []string {
	v, _ := s.value(name)
	var all []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			all = append(all, item)
		}
	}
	return all
}

// close flags the names in the section that nobody asked for.
func (s *section) close() {
	if s.keys == nil {
		return
	}
	for _, key := range s.keys.KeyStrings() {
		if !s.known[key] {
			s.wrong(key, "", "is no name of this section; wants "+words(s.known))
		}
	}
}

// close flags the sections that nobody asked for.
func (r *reader) close(kinds ...string) {
	if r.ini == nil {
		return
	}
	for _, name := range r.ini.SectionStrings() {
		if name != ini.DefaultSection && !r.known[name] {
			all := map[string]bool{}
			for known := range r.known {
				if !strings.Contains(known, " ") {
					all[known] = true
				}
			}
			for _, kind := range kinds {
				all[kind+" NAME"] = true
			}
			r.wrong(name, "", "", "is no section; wants "+words(all))
		}
	}
}
