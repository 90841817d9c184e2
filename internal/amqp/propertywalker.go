package amqp

// Bits of the property flags, by the specification, whose properties are not short strings.
const (
	moreFlags       = 1 << 0 // there are more flags than the specification has properties
	lastPropertyBit = 2
	timestampBit    = 6
	priorityBit     = 11
	deliveryModeBit = 12
	headersBit      = 13
	firstBit        = 15
)

// maxTableDepth is how far tables may be nested.
const maxTableDepth = 8

// validProperties tells whether the client library can read properties, their flags first: strings where strings have
// to be, tables of known types and of little depth. The library closes the connection over what it can't read, and
// the broker delivers it again: a single message would keep a queue from ever being consumed.
func validProperties(b []byte) bool {
	w := propertyWalker{rest: b}
	flags := w.readUint(2)
	if flags&moreFlags != 0 {
		return false
	}
	for bit := firstBit; bit >= lastPropertyBit; bit-- {
		if flags&(1<<bit) == 0 {
			continue
		}
		switch bit {
		case headersBit:
			w.table(0)
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

// propertyWalker walks over properties without reading their values.
type propertyWalker struct {
	rest    []byte
	invalid bool // they end too early, or can't be read
}

func (w *propertyWalker) fail() {
	w.invalid = true
	w.rest = nil
}

func (w *propertyWalker) skip(n int) {
	if n < 0 || n > len(w.rest) {
		w.fail()
		return
	}
	w.rest = w.rest[n:]
}

func (w *propertyWalker) readUint(size int) (x int) {
	if size > len(w.rest) {
		w.fail()
		return 0
	}
	for _, c := range w.rest[:size] {
		x = x<<8 | int(c)
	}
	w.rest = w.rest[size:]
	return x
}

// section returns a walker over the next n bytes, and skips them.
func (w *propertyWalker) section(n int) propertyWalker {
	if n < 0 || n > len(w.rest) {
		w.fail()
		return propertyWalker{}
	}
	section := propertyWalker{rest: w.rest[:n]}
	w.rest = w.rest[n:]
	return section
}

func (w *propertyWalker) table(depth int) {
	section := w.section(w.readUint(4))
	for len(section.rest) > 0 && !section.invalid {
		section.skip(section.readUint(1))
		section.value(depth)
	}
	w.invalid = w.invalid || section.invalid
}

func (w *propertyWalker) array(depth int) {
	section := w.section(w.readUint(4))
	for len(section.rest) > 0 && !section.invalid {
		section.value(depth)
	}
	w.invalid = w.invalid || section.invalid
}

// value walks over a value of a table or an array, which begins with its type.
func (w *propertyWalker) value(depth int) {
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
		w.table(depth + 1)
	case 'A':
		w.array(depth + 1)
	case 'V':
	default:
		w.invalid = true
	}
}
