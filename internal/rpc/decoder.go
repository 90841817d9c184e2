package rpc

import (
	"math"
	"strconv"
	"time"

	"lanewheel/internal/transport"
)

// decoder reads MessagePack values off the front of its input. Once it is truncated or malformed, what it reads is
// zero.
type decoder struct {
	input     []byte
	offset    int
	truncated bool // there is not enough input yet; this counts before malformed
	malformed bool // something else stands there than what was asked for
}

func (d *decoder) failed() bool { return d.truncated || d.malformed }

// finish gives what transport.Handler.Parse has to, for a message that was read to its end.
func (d *decoder) finish(call func()) (int, func(), error) {
	switch {
	case d.truncated:
		return 0, nil, nil
	case d.malformed:
		return 0, nil, errMalformed
	}
	return d.offset, call, nil
}

// next takes n bytes. A length that no message can hold is malformed, instead of being waited for.
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

// peek gives the next byte without taking it.
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

// readUint reads a big-endian number of so many bytes.
func (d *decoder) readUint(size int) (x uint64) {
	for _, b := range d.next(size) {
		x = x<<8 | uint64(b)
	}
	return x
}

func (d *decoder) readArrayLength() int { return d.readLength(tagFixArray, fixArrayMask, tagArray16) }
func (d *decoder) readMapLength() int   { return d.readLength(tagFixMap, fixMapMask, tagMap16) }

// readLength reads the head of an array or map: its fixed tag, or tag16 and 16 bits, or the tag behind that and 32
// bits.
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

// isString tells whether a tag is that of a str.
func isString(tag byte) bool {
	return tag&^fixStringMask == tagFixString || tag >= tagString8 && tag <= tagString32
}

// isBin tells whether a tag is that of a bin.
func isBin(tag byte) bool { return tag >= tagBin8 && tag <= tagBin32 }

// readString reads a str, or a bin, which older clients send for it.
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

// readBytes reads a bin, or a str, which older clients send for it.
func (d *decoder) readBytes() []byte { return d.readString() }

// readNil passes over a nil and tells whether one stood there.
func (d *decoder) readNil() bool {
	if tag, found := d.peek(); !found || tag != tagNil {
		return false
	}
	d.offset++
	return true
}

// readNumber reads any of the integers and floats, or text of one, which is how clients write their fields.
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

// maxExactFloat is the highest integer up to which a float64 holds each one.
const maxExactFloat = 1 << 53

// readInteger reads an integer, or a float or text without a fraction.
func (d *decoder) readInteger() int64 {
	switch tag := d.readByte(); {
	case d.failed():
	case tag < tagFixMap || tag >= tagNegativeFixInt:
		return int64(int8(tag))
	case tag >= tagUint8 && tag <= tagUint64:
		x := d.readUint(1 << (tag - tagUint8))
		if x > math.MaxInt64 {
			d.malformed = true
		}
		return int64(x)
	case tag >= tagInt8 && tag <= tagInt64:
		size := 1 << (tag - tagInt8)
		unused := 64 - 8*size // bits, shifted out and back to extend the sign
		return int64(d.readUint(size)<<unused) >> unused
	case tag == tagFloat32 || tag == tagFloat64 || isString(tag):
		d.offset--
		x := d.readNumber()
		if x != math.Trunc(x) || math.Abs(x) > maxExactFloat {
			d.malformed = true
		}
		return int64(x)
	default:
		d.malformed = true
	}
	return 0
}

// maxMilliseconds is the longest duration that is read: some 31 years.
const maxMilliseconds = 1e12

func (d *decoder) readMilliseconds() time.Duration {
	ms := d.readNumber()
	if ms < 0 || ms > maxMilliseconds {
		d.malformed = true
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// skip passes over one value of any form. The depth limits the recursion, which a peer could have use up the stack.
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

// skipScalar passes over a value that holds no others, and is no str or bin.
func (d *decoder) skipScalar(tag byte) {
	switch {
	case tag >= tagExt8 && tag <= tagExt32: // its length and type come before the bytes
		d.offset++
		size := int(d.readUint(1 << (tag - tagExt8)))
		d.next(1)
		d.next(size)
	case tag >= tagFixExt1 && tag <= tagFixExt16: // the type, and 1 to 16 bytes
		d.offset++
		d.next(1 + 1<<(tag-tagFixExt1))
	case tag == tagNil, tag == tagFalse, tag == tagTrue:
		d.offset++
	case tag == tagFloat32:
		d.next(5)
	case tag == tagFloat64, tag == tagUint64: // readInteger refuses what is over an int64
		d.next(9)
	default:
		d.readInteger()
	}
}
