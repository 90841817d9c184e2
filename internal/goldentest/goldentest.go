// Package goldentest is imported by tests alone. It compares what the code writes with files under testdata, which
// prove that the form of a stored file or of a message stays as it is. With the flag -update the files are written
// anew.
package goldentest

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write golden files anew with what the code under test writes")

// File holds named messages, one a line: the name, a blank and the bytes as a quoted Go string. It belongs to the
// goroutine of one test.
type File struct {
	t      *testing.T
	path   string
	names  []string // in the order of the file
	stored map[string][]byte
	used   map[string]bool // asked for by the test
}

// Open reads the file at path. When the test ends, each message of the file has to have been asked for by Bytes or
// Check; with -update the file is written with those that were.
func Open(t *testing.T, path string) *File {
	t.Helper()
	f := &File{t: t, path: path, stored: map[string][]byte{}, used: map[string]bool{}}
	text, err := os.ReadFile(path)
	if err != nil && !*update {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		name, quoted, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		message, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: %s: %v", path, name, err)
		}
		f.names = append(f.names, name)
		f.stored[name] = []byte(message)
	}
	t.Cleanup(f.close)
	return f
}

// Bytes gives a copy of a stored message. The test fails at once if there is none of that name.
func (f *File) Bytes(name string) []byte {
	f.t.Helper()
	message, known := f.stored[name]
	if !known {
		f.t.Fatalf("%s has no message %q", f.path, name)
	}
	f.used[name] = true
	return bytes.Clone(message)
}

// Check compares what the code writes with a stored message; with -update it becomes the stored one.
func (f *File) Check(name string, written []byte) {
	f.t.Helper()
	if *update {
		if _, known := f.stored[name]; !known {
			f.names = append(f.names, name)
		}
		f.stored[name] = bytes.Clone(written)
	}
	if stored := f.Bytes(name); !bytes.Equal(stored, written) {
		f.t.Errorf("%s: %s:\nstored  %+q\nwritten %+q", f.path, name, stored, written)
	}
}

// close checks that all messages were asked for and writes the file with -update.
func (f *File) close() {
	var text bytes.Buffer
	for _, name := range f.names {
		switch {
		case f.used[name]:
			fmt.Fprintf(&text, "%s %s\n", name, strconv.QuoteToASCII(string(f.stored[name])))
		case !*update && !f.t.Failed():
			f.t.Errorf("%s: no test asks for %q", f.path, name)
		}
	}
	if *update && !f.t.Failed() {
		if err := os.WriteFile(f.path, text.Bytes(), 0o600); err != nil {
			f.t.Error(err)
		}
	}
}

// CheckText compares the whole file at path with what the code writes; with -update it is written anew.
func CheckText(t *testing.T, path string, written []byte) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, written, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(stored, written) {
		t.Errorf("%s:\nstored:\n%s\nwritten:\n%s", path, stored, written)
	}
}
