package runtimelink

import (
	"encoding/base64"
	"strconv"
	"unicode/utf8"

	"lanewheel/admission"
)

// commandLine is output for the runtime that ends with an incomplete command.
type commandLine []byte

func newCommandLine(output []byte, kind string) commandLine {
	output = append(output, '{')
	return appendQuoted(appendFieldName(output, fieldKind), kind)
}

func (l commandLine) sequence(n uint64) commandLine {
	return strconv.AppendUint(l.beginField(fieldSequence), n, 10)
}

func (l commandLine) requestID(id admission.RequestID) commandLine {
	return l.text(fieldRequestID, string(id))
}

func (l commandLine) text(name, value string) commandLine {
	return appendQuoted(l.beginField(name), value)
}

func (l commandLine) body(body []byte) commandLine {
	l = append(l.beginField(fieldBody), '"')
	return append(base64.StdEncoding.AppendEncode(l, body), '"')
}

// end completes the command and returns the output.
func (l commandLine) end() []byte { return append(l, '}', '\n') }

// beginField appends the name of a field after the first one.
func (l commandLine) beginField(name string) commandLine {
	return appendFieldName(append(l, ','), name)
}

func appendFieldName(b []byte, name string) []byte {
	b = append(append(b, '"'), name...)
	return append(b, '"', ':')
}

// appendQuoted appends a string in JSON form.
func appendQuoted(b []byte, s string) []byte {
	const hexDigits = "0123456789abcdef"
	b = append(b, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', byte(c))
		case c < 0x20:
			b = append(b, `\u00`...)
			b = append(b, hexDigits[c>>4], hexDigits[c&15])
		default:
			b = utf8.AppendRune(b, c)
		}
	}
	return append(b, '"')
}
