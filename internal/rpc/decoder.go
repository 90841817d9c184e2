package rpc

import (
	"math"
	"strconv"
	"time"

	"lanewheel/internal/transport"
)

// decoder reads consecutive MessagePack values from its input. Once truncated or malformed is set, further
// values read are zero.
type decoder struct {
	input     []byte
	offset    int
	truncated bool // the input is incomplete; takes precedence over malformed
	malformed bool // the input is not a value of the expected type or size
}

// failed reports whether the input is truncated or malformed.
func (d *decoder) failed() bool { return d.truncated || d.malformed }

// finish returns the results of transport.Handler.Parse after a message has been read to its end.
func (d *decoder) finish(call func()) (int, func(), error) {
	switch {
	case d.truncated:
		return 0, nil, nil
	case d.malformed:
		return 0, nil, errMalformed
	}
	return d.offset, call, nil
}

// next reads n bytes. A length that no message can contain sets malformed, so that the connection does not wait for
// more input.
func (d *decoder) next(n int) []byte {
	if n < 0 || n > transport.BufferSize {
		d.malformed = true
	}
	if d.failed() {
		return nil
	}
	if len(d.input)-d.offset < n {
		d.truncated = true
		return nil
	}
	d.offset += n
	return d.input[d.offset-n : d.offset]
}

// peek returns the next byte without consuming it.
func (d *decoder) peek() (tag byte, found bool) {
	if d.offset >= len(d.input) {
		return 0, false
	}
	return d.input[d.offset], true
}

func (d *decoder) readByte() byte {
	if b := d.next(1); b != nil {
		return b[0]
	}
	return 0
}

// readUint reads a big-endian unsigned integer of size bytes.
func (d *decoder) readUint(size int) (x uint64) {
	for _, b := range d.next(size) {
		x = x<<8 | uint64(b)
	}
	return x
}

func (d *decoder) readArrayLength() int { return d.readLength(tagFixArray, fixArrayMask, tagArray16) }
func (d *decoder) readMapLength() int   { return d.readLength(tagFixMap, fixMapMask, tagMap16) }

// readLength reads the header of an array or map: its fixed tag, or tag16 and 16 bits, or the tag following tag16
// and 32 bits.
func (d *decoder) readLength(fixed, mask, tag16 byte) int {
	switch tag := d.readByte(); {
	case d.failed():
	case tag&^mask == fixed:
		return int(tag & mask)
	case tag == tag16:
		return int(d.readUint(2))
	case tag == tag16+1:
		return int(d.readUint(4))
	default:
		d.malformed = true
	}
	return 0
}

// isString reports whether a tag is that of a str.
func isString(tag byte) bool {
	return tag&^fixStringMask == tagFixString || tag >= tagString8 && tag <= tagString32
}

// isBin reports whether a tag is that of a bin.
func isBin(tag byte) bool { return tag >= tagBin8 && tag <= tagBin32 }

// readString reads a str, or a bin, which older clients send instead.
func (d *decoder) readString() []byte {
	if tag, found := d.peek(); found && tag&^fixStringMask == tagFixString {
		return d.next(int(d.readByte() & fixStringMask))
	}
	switch tag := d.readByte(); {
	case d.failed():
	case tag == tagString8 || tag == tagBin8:
		return d.next(int(d.readUint(1)))
	case tag == tagString16 || tag == tagBin16:
		return d.next(int(d.readUint(2)))
	case tag == tagString32 || tag == tagBin32:
		return d.next(int(d.readUint(4)))
	default:
		d.malformed = true
	}
	return nil
}

// readBytes reads a bin, or a str, which older clients send instead.
func (d *decoder) readBytes() []byte { return d.readString() }

// readNil skips a nil and reports whether the next value was nil.
func (d *decoder) readNil() bool {
	if tag, found := d.peek(); !found || tag != tagNil {
		return false
	}
	d.offset++
	return true
}

// readNumber reads an integer, a float, or a number as text, the form in which clients send their fields.
func (d *decoder) readNumber() float64 {
	switch tag := d.readByte(); {
	case d.failed():
	case tag == tagFloat32:
		return d.requireFinite(float64(math.Float32frombits(uint32(d.readUint(4)))))
	case tag == tagFloat64:
		return d.requireFinite(math.Float64frombits(d.readUint(8)))
	case isString(tag):
		d.offset--
		text := d.readString()
		x, err := strconv.ParseFloat(string(text), 64)
		if err != nil && !d.truncated {
			d.malformed = true
		}
		return d.requireFinite(x)
	default:
		d.offset--
		return float64(d.readInteger())
	}
	return 0
}

func (d *decoder) requireFinite(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		d.malformed = true
	}
	return x
}

// maxInteger is the largest magnitude of an integer that is accepted. It is the same for integers, floats and text, so
// that a value can be forwarded in another form; a float64 represents every integer up to it exactly.
const maxInteger = 1 << 53

// readInteger reads an integer, or a float or text whose value has no fraction.
func (d *decoder) readInteger() int64 {
	var x int64
	switch tag := d.readByte(); {
	case d.failed():
	case tag < tagFixMap || tag >= tagNegativeFixInt:
		return int64(int8(tag))
	case tag >= tagUint8 && tag <= tagUint64:
		x = int64(min(d.readUint(1<<(tag-tagUint8)), math.MaxInt64))
	case tag >= tagInt8 && tag <= tagInt64:
		size := 1 << (tag - tagInt8)
		unused := 64 - 8*size // bits, shifted out and back to extend the sign
		x = int64(d.readUint(size)<<unused) >> unused
	case tag == tagFloat32 || tag == tagFloat64 || isString(tag):
		d.offset--
		return d.requireInteger(d.readNumber())
	default:
		d.malformed = true
	}
	return d.requireInteger(float64(x))
}

// requireInteger converts a number without a fraction to an integer.
func (d *decoder) requireInteger(x float64) int64 {
	if x != math.Trunc(x) || math.Abs(x) > maxInteger {
		d.malformed = true
		return 0
	}
	return int64(x)
}

// maxMilliseconds is the longest duration that is accepted, about 31 years.
const maxMilliseconds = 1e12

func (d *decoder) readMilliseconds() time.Duration {
	ms := d.readNumber()
	if ms < 0 || ms > maxMilliseconds {
		d.malformed = true
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// skip skips one value of any type. depth is the nesting depth of the value; its limit prevents a peer from
// exhausting the stack.
func (d *decoder) skip(depth int) {
	if depth > maxDepth {
		d.malformed = true
	}
	tag, found := d.peek()
	if !found {
		d.truncated = true
	}
	if d.failed() {
		return
	}
	switch {
	case isString(tag), isBin(tag):
		d.readString()
	case tag&^fixArrayMask == tagFixArray, tag == tagArray16, tag == tagArray32:
		for i := d.readArrayLength(); i > 0 && !d.failed(); i-- {
			d.skip(depth + 1)
		}
	case tag&^fixMapMask == tagFixMap, tag == tagMap16, tag == tagMap32:
		for i := d.readMapLength(); i > 0 && !d.failed(); i-- {
			d.skip(depth + 1)
			d.skip(depth + 1)
		}
	default:
		d.skipScalar(tag)
	}
}

// skipScalar skips a value that is not an array, map, str or bin.
func (d *decoder) skipScalar(tag byte) {
	switch {
	case tag >= tagExt8 && tag <= tagExt32: // length and type precede the bytes
		d.offset++
		size := int(d.readUint(1 << (tag - tagExt8)))
		d.next(1)
		d.next(size)
	case tag >= tagFixExt1 && tag <= tagFixExt16: // the type, followed by 1 to 16 bytes
		d.offset++
		d.next(1 + 1<<(tag-tagFixExt1))
	case tag == tagNil, tag == tagFalse, tag == tagTrue:
		d.offset++
	case tag == tagFloat32:
		d.next(5)
	case tag == tagFloat64:
		d.next(9)
	case tag >= tagUint8 && tag <= tagUint64:
		d.next(1 + 1<<(tag-tagUint8))
	case tag >= tagInt8 && tag <= tagInt64:
		d.next(1 + 1<<(tag-tagInt8))
	case tag < tagFixMap, tag >= tagNegativeFixInt:
		d.offset++
	default:
		d.malformed = true
	}
}
