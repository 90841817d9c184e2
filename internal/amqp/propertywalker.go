package amqp

// Bits of the property flags in the specification: the continuation flag, the lowest and the highest bit of a property,
// and the properties that are not short strings.
const (
	continuationFlag = 1 << 0 // further flags follow, which the specification does not define
	lastPropertyBit  = 2
	timestampBit     = 6
	priorityBit      = 11
	deliveryModeBit  = 12
	headersBit       = 13
	firstBit         = 15
)

// maxTableDepth is the maximum nesting depth of tables and arrays in the headers.
const maxTableDepth = 8

// validProperties reports whether the client library can read properties, which begin with their flags. They must be
// complete, and tables must contain known types only and must not be nested too deeply. The library closes the
// connection when it cannot read a message, and the broker then redelivers it, so a single message could keep a queue
// from ever being consumed.
func validProperties(b []byte) bool {
	w := propertyWalker{rest: b}
	flags := w.readUint(2)
	if flags&continuationFlag != 0 {
		return false
	}
	for bit := firstBit; bit >= lastPropertyBit; bit-- {
		if flags&(1<<bit) == 0 {
			continue
		}
		switch bit {
		case headersBit:
			w.skipTable(0)
		case deliveryModeBit, priorityBit:
			w.skip(1)
		case timestampBit:
			w.skip(8)
		default:
			w.skip(w.readUint(1))
		}
	}
	return !w.invalid && len(w.rest) == 0
}

// propertyWalker traverses encoded properties without decoding their values.
type propertyWalker struct {
	rest    []byte
	invalid bool // the properties are incomplete or cannot be read
}

func (w *propertyWalker) markInvalid() {
	w.invalid = true
	w.rest = nil
}

func (w *propertyWalker) skip(n int) {
	if n < 0 || n > len(w.rest) {
		w.markInvalid()
		return
	}
	w.rest = w.rest[n:]
}

func (w *propertyWalker) readUint(size int) (x int) {
	if size > len(w.rest) {
		w.markInvalid()
		return 0
	}
	for _, c := range w.rest[:size] {
		x = x<<8 | int(c)
	}
	w.rest = w.rest[size:]
	return x
}

// section returns a walker for the next n bytes, and skips them.
func (w *propertyWalker) section(n int) propertyWalker {
	if n < 0 || n > len(w.rest) {
		w.markInvalid()
		return propertyWalker{}
	}
	section := propertyWalker{rest: w.rest[:n]}
	w.rest = w.rest[n:]
	return section
}

// skipTable skips a table with its length. depth is the number of tables and arrays that enclose it.
func (w *propertyWalker) skipTable(depth int) {
	section := w.section(w.readUint(4))
	for len(section.rest) > 0 && !section.invalid {
		section.skip(section.readUint(1))
		section.skipValue(depth)
	}
	w.invalid = w.invalid || section.invalid
}

// skipArray skips an array with its length. depth is the number of tables and arrays that enclose it.
func (w *propertyWalker) skipArray(depth int) {
	section := w.section(w.readUint(4))
	for len(section.rest) > 0 && !section.invalid {
		section.skipValue(depth)
	}
	w.invalid = w.invalid || section.invalid
}

// skipValue skips a value of a table or an array. The value begins with its type.
func (w *propertyWalker) skipValue(depth int) {
	if depth > maxTableDepth {
		w.invalid = true
		return
	}
	switch kind := w.readUint(1); kind {
	case 't', 'b', 'B':
		w.skip(1)
	case 's':
		w.skip(2)
	case 'I', 'f':
		w.skip(4)
	case 'D':
		w.skip(5)
	case 'l', 'd', 'T':
		w.skip(8)
	case 'S', 'x':
		w.skip(w.readUint(4))
	case 'F':
		w.skipTable(depth + 1)
	case 'A':
		w.skipArray(depth + 1)
	case 'V':
	default:
		w.invalid = true
	}
}
