package runtimelink

import (
	"bytes"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// jsonReader reads consecutive JSON values from a complete line.
type jsonReader struct {
	input     []byte
	offset    int
	malformed bool // the input does not match what a method expects; further values are zero
}

// peek skips white space and returns the next byte without consuming it.
func (r *jsonReader) peek() byte {
	for r.offset < len(r.input) && isSpace(r.input[r.offset]) {
		r.offset++
	}
	if r.malformed || r.offset >= len(r.input) {
		r.malformed = true
		return 0
	}
	return r.input[r.offset]
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' }

// expect consumes c, which must be the next byte other than white space.
func (r *jsonReader) expect(c byte) {
	if r.peek() == c && !r.malformed {
		r.offset++
		return
	}
	r.malformed = true
}

// accept consumes c if it is the next byte other than white space, and reports whether it is.
func (r *jsonReader) accept(c byte) bool {
	if r.peek() != c || r.malformed {
		return false
	}
	r.offset++
	return true
}

// readString reads a string. The result is a part of the input, or a new slice if the string contains escapes.
func (r *jsonReader) readString() []byte {
	r.expect('"')
	from := r.offset
	plain := true // contains no escapes
	for ; !r.malformed; r.offset++ {
		switch {
		case r.offset >= len(r.input) || r.input[r.offset] < 0x20:
			r.malformed = true
		case r.input[r.offset] == '\\':
			plain = false
			r.offset++
		case r.input[r.offset] == '"':
			r.offset++
			if plain {
				return r.input[from : r.offset-1]
			}
			return r.unescape(r.input[from : r.offset-1])
		}
	}
	return nil
}

func (r *jsonReader) unescape(s []byte) []byte {
	out := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' {
			out = append(out, s[i])
			continue
		}
		i++
		if i >= len(s) {
			r.malformed = true
			return nil
		}
		switch index := bytes.IndexByte([]byte(`"\/bfnrt`), s[i]); {
		case index >= 0:
			out = append(out, "\"\\/\b\f\n\r\t"[index])
		case s[i] == 'u':
			c := r.readHex(s, i+1)
			i += 4
			if utf16.IsSurrogate(c) && i+6 < len(s) && s[i+1] == '\\' && s[i+2] == 'u' {
				c = utf16.DecodeRune(c, r.readHex(s, i+3))
				i += 6
			}
			out = utf8.AppendRune(out, c)
		default:
			r.malformed = true
		}
	}
	return out
}

// readHex reads the four hex digits at index.
func (r *jsonReader) readHex(s []byte, index int) rune {
	if index+4 > len(s) {
		r.malformed = true
		return 0
	}
	x, err := strconv.ParseUint(string(s[index:index+4]), 16, 16)
	r.malformed = r.malformed || err != nil
	return rune(x)
}

func (r *jsonReader) readNumber() float64 {
	r.peek()
	from := r.offset
	for r.offset < len(r.input) && bytes.IndexByte([]byte("+-.0123456789eE"), r.input[r.offset]) >= 0 {
		r.offset++
	}
	if r.malformed {
		return 0
	}
	x, err := strconv.ParseFloat(string(r.input[from:r.offset]), 64)
	r.malformed = err != nil
	return x
}

// skip skips one value of any type. It rejects values nested deeper than maxDepth, because a peer could
// otherwise exhaust the stack by recursion.
func (r *jsonReader) skip(depth int) {
	switch c := r.peek(); {
	case r.malformed || depth > maxDepth:
		r.malformed = true
	case c == '"':
		r.readString()
	case c == '{' || c == '[':
		r.offset++
		for first := true; !r.malformed && !r.accept(c+2); first = false { // the code of the closing bracket is 2 higher
			if !first {
				r.expect(',')
			}
			if c == '{' {
				r.readString()
				r.expect(':')
			}
			r.skip(depth + 1)
		}
	case c == 't' || c == 'f' || c == 'n':
		for _, word := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(r.input[r.offset:], []byte(word)) {
				r.offset += len(word)
				return
			}
		}
		r.malformed = true
	default:
		r.readNumber()
	}
}
