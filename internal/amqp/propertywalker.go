package amqp

// validProperties tells whether properties, behind class, weight and size, can be read: text where text has to be, tables of known kinds and
// of little depth. Danger: the library closes the connection over what it can't read, the broker sends it again, and a single
// message keeps a queue from being consumed for ever.
func validProperties(b []byte) bool {
	walk := propertyWalker{rest: b}
	flags := walk.readUint(2)
	if flags&1 != 0 { // more flags than the specification has properties
		return false
	}
	for bit := 15; bit >= 2; bit-- {
		if flags&(1<<bit) == 0 {
			continue
		}
		switch bit {
		case 13:
			walk.table(0)
		case 12, 11:
			walk.skip(1)
		case 6:
			walk.skip(8)
		default:
			walk.skip(walk.readUint(1))
		}
	}
	return !walk.invalid && len(walk.rest) == 0
}

// propertyWalker passes over the parts of properties.
type propertyWalker struct {
	rest    []byte
	invalid bool
}

func (w *propertyWalker) skip(n int) {
	if n < 0 || n > len(w.rest) {
		w.invalid, w.rest = true, nil
		return
	}
	w.rest = w.rest[n:]
}

func (w *propertyWalker) readUint(size int) (x int) {
	if size > len(w.rest) {
		w.invalid, w.rest = true, nil
		return 0
	}
	for _, c := range w.rest[:size] {
		x = x<<8 | int(c)
	}
	w.rest = w.rest[size:]
	return x
}

// maxTableDepth is how far tables may be nested; a person nests two or three.
const maxTableDepth = 8

// section gives the next so many bytes to walk by themselves.
func (w *propertyWalker) section(n int) propertyWalker {
	if n < 0 || n > len(w.rest) {
		w.invalid, w.rest = true, nil
		return propertyWalker{}
	}
	p := propertyWalker{rest: w.rest[:n]}
	w.rest = w.rest[n:]
	return p
}

func (w *propertyWalker) table(depth int) {
	p := w.section(w.readUint(4))
	for len(p.rest) > 0 && !p.invalid {
		p.skip(p.readUint(1))
		p.value(depth)
	}
	w.invalid = w.invalid || p.invalid
}

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
		p := w.section(w.readUint(4))
		for len(p.rest) > 0 && !p.invalid {
			p.value(depth + 1)
		}
		w.invalid = w.invalid || p.invalid
	case 'V':
	default:
		w.invalid = true
	}
}
