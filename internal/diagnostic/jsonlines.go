package diagnostic

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

// maxDepth is the maximum depth of nested values that are read. It limits the recursion.
const maxDepth = 32

// JSONLines returns the line of each name in a JSON text, by path. A path consists of names and array indices separated
// by dots; the path of the text as a whole is empty. If an object contains a name more than once, duplicates contains
// its path once for each repetition. If the text is malformed or nested too deeply, JSONLines returns the lines up to
// that point.
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

// lineIndex reads a JSON text and records the line of each path.
type lineIndex struct {
	decoder    *json.Decoder
	text       []byte
	line       int // of the last token
	counted    int // the offset in bytes up to which line ends have been counted
	lines      map[string]int
	duplicates []string
}

// currentLine returns the line of the last token.
func (x *lineIndex) currentLine() int {
	end := int(x.decoder.InputOffset())
	x.line += bytes.Count(x.text[x.counted:end], []byte{'\n'})
	x.counted = end
	return x.line
}

// readValue reads a value with all its nested values and reports whether it succeeded.
func (x *lineIndex) readValue(path string, depth int) bool {
	token, err := x.decoder.Token()
	if err != nil || depth > maxDepth {
		return false
	}
	if _, recorded := x.lines[path]; !recorded {
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

// readChild reads the value whose name was the last token, or the next element of an array.
func (x *lineIndex) readChild(path, name string, depth int) bool {
	child := strings.TrimPrefix(path+"."+name, ".")
	if _, duplicate := x.lines[child]; duplicate {
		x.duplicates = append(x.duplicates, child)
	}
	x.lines[child] = x.currentLine()
	return x.readValue(child, depth+1)
}
