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

// section reads the settings of one section of a file. Its methods take the current names of settings.
type section struct {
	reader     *reader
	name       string
	source     *ini.Section      // nil if the file does not have the section
	written    map[string]string // the names as written in the file, by current name
	knownNames map[string]bool   // the current names that have been looked up
	effective  []string          // the settings with their effective values, as "name = value"
}

// exists reports whether the file has the section.
func (s *section) exists() bool { return s.source != nil }

// label returns the part of the section's name that follows the kind, for example crew in [role crew].
func (s *section) label() string {
	_, label, _ := strings.Cut(s.name, " ")
	return strings.TrimSpace(label)
}

// lookup returns the value of a setting and whether the file sets it. The value is as written: the library's %(name)s
// substitution is not part of the file format.
func (s *section) lookup(name string) (string, bool) {
	s.knownNames[name] = true
	written, found := s.written[name]
	if !found {
		return "", false
	}
	return s.source.Key(written).Value(), true
}

// lookupWords is like lookup for a value that consists of words. In text, earlier words are replaced by the current
// ones; written is the value in the file.
func (s *section) lookupWords(name string) (text, written string, found bool) {
	written, found = s.lookup(name)
	text = s.reader.renames.value(s.name, name, written)
	if text != written {
		s.reader.addRenamed(fmt.Sprintf("%s = %s is now %s", s.reader.display(s.name, name), written, text))
	}
	return text, written, found
}

func (s *section) report(name, value, want string) { s.reader.report(s.name, name, value, want) }

// addEffective records the effective value of a setting, whether or not the file sets it.
func (s *section) addEffective(name string, value any) {
	s.effective = append(s.effective, fmt.Sprintf("%s = %v", name, value))
}

// stringValue reads a string. An empty string counts as not set.
func (s *section) stringValue(name string, target *string) {
	if text, found := s.lookup(name); found && text != "" {
		*target = text
	}
	s.addEffective(name, *target)
}

// requiredString reads a string that must be set if the section exists.
func (s *section) requiredString(name string, target *string) {
	if s.stringValue(name, target); *target == "" && s.exists() {
		s.report(name, "", "must be a non-empty string")
	}
}

// pathValue reads the path of a file or directory. A relative path is resolved against the directory of the file that
// sets it.
func (s *section) pathValue(name string, target *string) {
	if text, found := s.lookup(name); found && text != "" {
		*target = text
	}
	if *target != "" && !filepath.IsAbs(*target) {
		*target = filepath.Join(filepath.Dir(s.reader.file), *target)
	}
	s.addEffective(name, *target)
}

// requiredPath reads a path that must be set if the section exists.
func (s *section) requiredPath(name string, target *string) {
	if s.pathValue(name, target); *target == "" && s.exists() {
		s.report(name, "", "must be a path")
	}
}

// enumValue reads one of the allowed words. An earlier word is read as the current one.
func (s *section) enumValue(name string, target *string, allowed ...string) {
	text, written, found := s.lookupWords(name)
	switch {
	case found && slices.Contains(allowed, text):
		*target = text
	case found:
		s.report(name, written, "must be one of "+strings.Join(slices.Sorted(slices.Values(allowed)), ", "))
	}
	s.addEffective(name, *target)
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
			s.report(name, text, fmt.Sprintf("must be a number from %g to %g", lowest, highest))
			return
		}
		*target = parsed
	}
	s.addEffective(name, *target)
}

// intValue reads a whole number from lowest to highest.
func (s *section) intValue(name string, target *int, lowest, highest int) {
	if text, found := s.lookup(name); found {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < lowest || parsed > highest {
			s.report(name, text, fmt.Sprintf("must be a whole number from %d to %d", lowest, highest))
			return
		}
		*target = parsed
	}
	s.addEffective(name, *target)
}

// durationValue reads a duration with its unit, for example 30s or 1h30m, from lowest to highest.
func (s *section) durationValue(name string, target *time.Duration, lowest, highest time.Duration) {
	if text, found := s.lookup(name); found {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < lowest || parsed > highest {
			s.report(name, text, fmt.Sprintf("must be a duration with its unit, from %v to %v", lowest, highest))
			return
		}
		*target = parsed
	}
	s.addEffective(name, *target)
}

// listValue reads a comma-separated list.
func (s *section) listValue(name string) []string {
	text, _ := s.lookup(name)
	items := splitList(text)
	s.addEffective(name, strings.Join(items, ", "))
	return items
}

// splitList splits a comma-separated list and skips empty items.
func splitList(text string) []string {
	var items []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// checkAddress reports a value that is neither empty nor an IP address with a port. A host name is rejected because its
// lookup would block where no resolver answers.
func (s *section) checkAddress(name, value string) {
	if value == "" {
		return
	}
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		s.report(name, value, "must be an IP address and a port from 1 to 65535, for example 10.0.0.7:7946")
	}
}

// requireFleet reports the section if it exists but the file has no [fleet]. provided names the information that the
// section needs from [fleet].
func (s *section) requireFleet(fleet *Fleet, provided string) {
	if s.exists() && !fleet.Enabled {
		s.report("", "", "must be used with a section [fleet], which provides "+provided)
	}
}

// reportUnknownNames reports the names in the section that have not been looked up.
func (s *section) reportUnknownNames() {
	if s.source == nil {
		return
	}
	for _, written := range s.source.KeyStrings() {
		if !s.knownNames[s.reader.renames.name(s.name, written)] {
			s.report(written, "", "is not a setting of this section; must be one of "+joinSorted(s.knownNames))
		}
	}
}

// hostOf returns the host of an address with a port, or "" if the address is not valid.
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
