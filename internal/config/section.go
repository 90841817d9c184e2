package config

import (
	"fmt"
	"maps"
	"math"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// section is one section that is being read. Names are those that settings have now.
type section struct {
	reader     *reader
	name       string
	source     *ini.Section      // nil if the file has none such
	written    map[string]string // the names that stand in the file, by those that they have now
	knownNames map[string]bool
	effective  []string // the settings with the values that hold, as they would stand in a file
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
	written, found := s.written[name]
	if !found {
		return "", false
	}
	return s.source.Key(written).Value(), true
}

// lookupWords is lookup for a value of words, each of which is returned as it is now; written is what stands in the
// file.
func (s *section) lookupWords(name string) (text, written string, found bool) {
	written, found = s.lookup(name)
	text = s.reader.renames.value(s.name, name, written)
	if text != written {
		s.reader.noteRenamed(fmt.Sprintf("%s = %s is now %s", s.reader.display(s.name, name), written, text))
	}
	return text, written, found
}

func (s *section) report(name, value, want string) { s.reader.report(s.name, name, value, want) }

// noteEffective notes the value that holds for a name, whether or not it stands in the file.
func (s *section) noteEffective(name string, value any) {
	s.effective = append(s.effective, fmt.Sprintf("%s = %v", name, value))
}

// stringValue reads a value; an empty one counts as none.
func (s *section) stringValue(name string, target *string) {
	if text, found := s.lookup(name); found && text != "" {
		*target = text
	}
	s.noteEffective(name, *target)
}

// requiredString is text that has to stand there once its section does.
func (s *section) requiredString(name string, target *string) {
	if s.stringValue(name, target); *target == "" && s.exists() {
		s.report(name, "", "wants text")
	}
}

// pathValue reads the path of a file or folder; one that does not begin at the root counts from where the file that
// names it is.
func (s *section) pathValue(name string, target *string) {
	if text, found := s.lookup(name); found && text != "" {
		*target = text
	}
	if *target != "" && !filepath.IsAbs(*target) {
		*target = filepath.Join(filepath.Dir(s.reader.file), *target)
	}
	s.noteEffective(name, *target)
}

// requiredPath is a path that has to stand there once its section does.
func (s *section) requiredPath(name string, target *string) {
	if s.pathValue(name, target); *target == "" && s.exists() {
		s.report(name, "", "wants a path")
	}
}

// enumValue reads one of some words; an earlier one is read as that which it is now.
func (s *section) enumValue(name string, target *string, allowed ...string) {
	text, written, found := s.lookupWords(name)
	switch {
	case found && slices.Contains(allowed, text):
		*target = text
	case found:
		s.report(name, written, "wants one of "+strings.Join(slices.Sorted(slices.Values(allowed)), ", "))
	}
	s.noteEffective(name, *target)
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

// floatValue reads a number from lowest to highest.
func (s *section) floatValue(name string, target *float64, lowest, highest float64) {
	if text, found := s.lookup(name); found {
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(parsed) || parsed < lowest || parsed > highest {
			s.report(name, text, fmt.Sprintf("wants a number from %g to %g", lowest, highest))
			return
		}
		*target = parsed
	}
	s.noteEffective(name, *target)
}

// intValue reads a whole number from lowest to highest.
func (s *section) intValue(name string, target *int, lowest, highest int) {
	if text, found := s.lookup(name); found {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < lowest || parsed > highest {
			s.report(name, text, fmt.Sprintf("wants a whole number from %d to %d", lowest, highest))
			return
		}
		*target = parsed
	}
	s.noteEffective(name, *target)
}

// durationValue reads a time with its unit, as 30s or 1h30m.
func (s *section) durationValue(name string, target *time.Duration, lowest, highest time.Duration) {
	if text, found := s.lookup(name); found {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < lowest || parsed > highest {
			s.report(name, text, fmt.Sprintf("wants a time from %v to %v, as 1m30s", lowest, highest))
			return
		}
		*target = parsed
	}
	s.noteEffective(name, *target)
}

// listValue reads values with commas between.
func (s *section) listValue(name string) []string {
	text, _ := s.lookup(name)
	items := splitList(text)
	s.noteEffective(name, strings.Join(items, ", "))
	return items
}

// splitList takes values with commas between apart; empty ones are none.
func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// checkAddress checks an address in figures. A host's name is wrong: looking it up would hang where no resolver
// answers.
func (s *section) checkAddress(name, value string) {
	if value == "" {
		return
	}
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		s.report(name, value, "wants an address in figures and a port, as 10.0.0.7:7946")
	}
}

// requireFleet flags a section that needs [fleet], which the file does not have.
func (s *section) requireFleet(fleet *Fleet, purpose string) {
	if s.exists() && !fleet.Enabled {
		s.report("", "", "wants a section [fleet], by which "+purpose)
	}
}

// reportUnknownNames flags the names in the section that nobody asked for.
func (s *section) reportUnknownNames() {
	if s.source == nil {
		return
	}
	for _, written := range s.source.KeyStrings() {
		if !s.knownNames[s.reader.renames.name(s.name, written)] {
			s.report(written, "", "is no name of this section; wants "+joinSorted(s.knownNames))
		}
	}
}

// hostOf returns the host of an address, empty if it has none.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

func joinSorted(set map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(set)), ", ")
}
