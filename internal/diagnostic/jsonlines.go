package diagnostic

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// maxDepth limits the recursion over nested values.
const maxDepth = 32

// JSONLines tells on which line each name of a JSON text stands, by its path: names, and indices of arrays, with dots
// between; the text itself is the empty path. Paths of names that one object has twice come back as duplicates, once
// for each time too many. A text that can't be read gives the lines up to there.
func JSONLines(text []byte) (lines map[string]int, duplicates []string) {
	index := lineIndex{
		decoder: json.NewDecoder(bytes.NewReader(text)),
		text:    text,
		line:    1,
		lines:   map[string]int{},
	}
	index.decoder.UseNumber()
	index.readValue("", 0)
	return index.lines, index.duplicates
}

// lineIndex reads a JSON text and notes the lines of its paths.
type lineIndex struct {
	decoder    *json.Decoder
	text       []byte
	line       int // of the last token
	counted    int // bytes of the text up to which line ends were counted
	lines      map[string]int
	duplicates []string
}

// currentLine is the line of the last token.
func (x *lineIndex) currentLine() int {
	end := int(x.decoder.InputOffset())
	x.line += bytes.Count(x.text[x.counted:end], []byte{'\n'})
	x.counted = end
	return x.line
}

// readValue reads a value and all in it, and tells whether it could.
func (x *lineIndex) readValue(path string, depth int) bool {
	token, err := x.decoder.Token()
	if err != nil || depth > maxDepth {
		return false
	}
	if _, known := x.lines[path]; !known {
		x.lines[path] = x.currentLine()
	}
	delimiter, isContainer := token.(json.Delim)
	if !isContainer {
		return true
	}
	for i := 0; x.decoder.More(); i++ {
		name := strconv.Itoa(i)
		if delimiter == '{' {
			var ok bool
			if name, ok = x.readName(); !ok {
				return false
			}
		}
		if !x.readChild(path, name, depth) {
			return false
		}
	}
	_, err = x.decoder.Token() // the closing delimiter
	return err == nil
}

func (x *lineIndex) readName() (name string, ok bool) {
	token, err := x.decoder.Token()
	if err != nil {
		return "", false
	}
	name, ok = token.(string)
	return name, ok
}

// readChild reads the value that the last token named, or that is the next one of an array.
func (x *lineIndex) readChild(path, name string, depth int) bool {
	child := strings.TrimPrefix(path+"."+name, ".")
	if _, known := x.lines[child]; known {
		x.duplicates = append(x.duplicates, child)
	}
	x.lines[child] = x.currentLine()
	return x.readValue(child, depth+1)
}
