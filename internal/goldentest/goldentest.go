// Package goldentest compares the output of the code under test with golden files under testdata. The golden files
// ensure that the format of stored files and of messages does not change. With the flag -update the golden files are
// rewritten. Only tests import this package.
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

var update = flag.Bool("update", false, "rewrite golden files with the output of the code under test")

// File is a golden file of named messages, one per line: the name, a space and the bytes as a quoted Go string. Only
// the goroutine of one test may use it.
type File struct {
	t      *testing.T
	path   string
	names  []string // in the order of the file
	stored map[string][]byte
	used   map[string]bool // names that the test has passed to Bytes or Check
}

// Open reads the file at path. When the test ends, it fails if a message of the file was not used by Bytes or Check.
// With -update the file is rewritten with the used messages instead, unless the test failed.
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

// Bytes returns a copy of a stored message. It fails the test immediately if no message has that name.
func (f *File) Bytes(name string) []byte {
	f.t.Helper()
	message, found := f.stored[name]
	if !found {
		f.t.Fatalf("%s has no message %q", f.path, name)
	}
	f.used[name] = true
	return bytes.Clone(message)
}

// Check fails the test if written differs from the stored message. With -update written replaces the stored message.
func (f *File) Check(name string, written []byte) {
	f.t.Helper()
	if *update {
		if _, found := f.stored[name]; !found {
			f.names = append(f.names, name)
		}
		f.stored[name] = bytes.Clone(written)
	}
	if stored := f.Bytes(name); !bytes.Equal(stored, written) {
		f.t.Errorf("%s: %s:\nstored  %+q\nwritten %+q", f.path, name, stored, written)
	}
}

// close checks that all messages were used. With -update it rewrites the file instead, unless the test failed.
func (f *File) close() {
	var text bytes.Buffer
	for _, name := range f.names {
		switch {
		case f.used[name]:
			fmt.Fprintf(&text, "%s %s\n", name, strconv.QuoteToASCII(string(f.stored[name])))
		case !*update && !f.t.Failed():
			f.t.Errorf("%s: message %q is not used by the test", f.path, name)
		}
	}
	if *update && !f.t.Failed() {
		if err := os.WriteFile(f.path, text.Bytes(), 0o600); err != nil {
			f.t.Error(err)
		}
	}
}

// CheckText fails the test if written differs from the whole file at path. With -update written replaces the file.
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
