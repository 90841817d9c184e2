package operator

import (
	"maps"
	"os"
	"slices"
	"strings"

	"lanewheel/internal/fault"
)

// File is a whole operator's file. Its zero value is what holds without one: everything off.
type File struct {
	Path string
	Log  Log
}

// Log is how lines are written.
type Log struct {
	Format string // text or json
}

// Load reads the file at path; no path gives a File with everything off. The error is a fault.List with all that is wrong.
func Load(path string) (File, error) {
	if path == "" {
		return File{Log: Log{Format: "text"}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fault.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	return Parse(path, text)
}

// Parse reads the text of a file; path is what its faults name.
func Parse(path string, text []byte) (File, error) {
	r := read(path, text)
	f := File{Path: path}
	f.Log = r.log()
	r.close()
	return f, r.faults.Err()
}

func (r *reader) log() Log {
	l := Log{Format: "text"}
	s := r.section("log")
	s.word("format", &l.Format, "text", "json")
	s.close()
	return l
}

func words(set map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(set)), ", ")
}
