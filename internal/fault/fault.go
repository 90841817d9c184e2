// Package fault is what is wrong with a file that a person wrote: the place, what stands there and what is wanted.
package fault

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Fault is one thing that is wrong. Line counts from 1 and is 0 where no line is to blame; Value is as it was read.
type Fault struct {
	File  string
	Line  int
	Name  string
	Value string
	Want  string
}

func (f Fault) Error() string {
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
		const enough = 60 // bytes of a value that show which one it is
		if value := f.Value; len(value) > enough {
			fmt.Fprintf(&b, "is %q..., ", value[:enough])
		} else {
			fmt.Fprintf(&b, "is %q, ", value)
		}
	}
	return b.String() + f.Want
}

// List is all that is wrong with what was read together; as an error it tells the first and how many more there are.
type List []Fault

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
	slices.SortStableFunc(l, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return l
}

// JSONLines tells on which line each name of a JSON text stands, by its path: names and places in lists with dots
// between. Names told twice in one object come back as twice. A text that can't be read gives the lines up to there.
func JSONLines(text []byte) (at map[string]int, twice []string) {
	at = map[string]int{}
	from := json.NewDecoder(bytes.NewReader(text))
	from.UseNumber()
	line, seen := 1, 0
	here := func() int { // the line of the last token
		end := int(from.InputOffset())
		line += bytes.Count(text[seen:end], []byte{'\n'})
		seen = end
		return line
	}
	const deepest = 32 // Danger: a text nested so deep that walking it uses up the stack
	var value func(path string, depth int) bool
	value = func(path string, depth int) bool {
		t, err := from.Token()
		if err != nil || depth > deepest {
			return false
		}
		if _, told := at[path]; !told {
			at[path] = here()
		}
		open, is := t.(json.Delim)
		for i := 0; is && from.More(); i++ {
			name := strconv.Itoa(i)
			if open == '{' {
				t, err := from.Token()
				if err != nil {
					return false
				}
				name = t.(string)
			}
			under := strings.TrimPrefix(path+"."+name, ".")
			if _, told := at[under]; told {
				twice = append(twice, under)
			}
			at[under] = here()
			if !value(under, depth+1) {
				return false
			}
		}
		if is {
			_, err = from.Token()
		}
		return err == nil
	}
	value("", 0)
	return at, twice
}
