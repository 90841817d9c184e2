// Package diagnostic is what is wrong with a file that a person wrote: the place, what stands there and what is wanted.
package diagnostic

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Diagnostic is one thing that is wrong. Line counts from 1 and is 0 where no line is to blame; Value is as it was read.
type Diagnostic struct {
	File  string
	Line  int
	Name  string
	Value string
	Want  string
}

func (f Diagnostic) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		b.WriteString(":" + strconv.Itoa(f.Line))
	}
	b.WriteString(": ")
	if f.Name != "" {
		b.WriteString(f.Name + ": ")
	}
	if f.Value != "" {
		const maxValueBytes = 60 // bytes of a value that show which one it is
		if value := f.Value; len(value) > maxValueBytes {
			fmt.Fprintf(&b, "is %q..., ", value[:maxValueBytes])
		} else {
			fmt.Fprintf(&b, "is %q, ", value)
		}
	}
	return b.String() + f.Want
}

// List is all that is wrong with what was read together; as an error it tells the first and how many more there are.
type List []Diagnostic

func (l List) Error() string {
	switch len(l) {
	case 0:
		return "nothing is wrong"
	case 1:
		return l[0].Error()
	}
	return fmt.Sprintf("%v (and %d more)", l[0], len(l)-1)
}

// Err is the list as an error, in the order of the lines; nil if nothing is wrong.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return l
}

// JSONLines tells on which line each name of a JSON text stands, by its path: names and places in lists with dots
// between. Names told twice in one object come back as twice. A text that can't be read gives the lines up to there.
func JSONLines(text []byte) (lines map[string]int, duplicates []string) {
	lines = map[string]int{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	line, counted := 1, 0
	currentLine := func() int { // the line of the last token
		end := int(decoder.InputOffset())
		line += bytes.Count(text[counted:end], []byte{'\n'})
		counted = end
		return line
	}
	const maxDepth = 32 // Danger: a text nested so deep that walking it uses up the stack
	var walk func(path string, depth int) bool
	walk = func(path string, depth int) bool {
		token, err := decoder.Token()
		if err != nil || depth > maxDepth {
			return false
		}
		if _, known := lines[path]; !known {
			lines[path] = currentLine()
		}
		delimiter, isContainer := token.(json.Delim)
		for i := 0; isContainer && decoder.More(); i++ {
			name := strconv.Itoa(i)
			if delimiter == '{' {
				token, err := decoder.Token()
				if err != nil {
					return false
				}
				name = token.(string)
			}
			child := strings.TrimPrefix(path+"."+name, ".")
			if _, known := lines[child]; known {
				duplicates = append(duplicates, child)
			}
			lines[child] = currentLine()
			if !walk(child, depth+1) {
				return false
			}
		}
		if isContainer {
			_, err = decoder.Token()
		}
		return err == nil
	}
	walk("", 0)
	return lines, duplicates
}
