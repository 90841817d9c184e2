package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// MessagePack tags that are used here. A fix tag holds the length in its low bits; a tag below tagFixMap is the number
// itself.
const (
	tagFixMap    = 0x80
	tagFixArray  = 0x90
	tagFixString = 0xa0
	tagNil       = 0xc0
	tagFalse     = 0xc2
	tagTrue      = 0xc3
	tagBin8      = 0xc4
	tagBin16     = 0xc5
	tagUint32    = 0xce
	tagString8   = 0xd9
	tagString16  = 0xda

	fixMask       = 0x0f // length bits of fix maps and fix arrays
	fixStringMask = 0x1f // length bits of fix strings
)

// Encode appends the encoding of value to b. It supports the kinds of values that a client sends: nil, int, string,
// []byte, []any and map[string]string. A list or map has at most 15 elements.
func Encode(b []byte, value any) []byte {
	switch value := value.(type) {
	case nil:
		return append(b, tagNil)
	case int:
		return binary.BigEndian.AppendUint32(append(b, tagUint32), uint32(value))
	case string:
		if len(value) > 255 {
			return append(binary.BigEndian.AppendUint16(append(b, tagString16), uint16(len(value))), value...)
		}
		return append(append(b, tagString8, byte(len(value))), value...)
	case []byte:
		return append(binary.BigEndian.AppendUint16(append(b, tagBin16), uint16(len(value))), value...)
	case []any:
		b = append(b, tagFixArray|byte(len(value)))
		for _, element := range value {
			b = Encode(b, element)
		}
	case map[string]string:
		b = append(b, tagFixMap|byte(len(value)))
		for name, element := range value {
			b = Encode(Encode(b, name), element)
		}
	}
	return b
}

// decode reads one value. It supports the formats that an instance writes and returns an error for any other tag.
func decode(r *bufio.Reader) (any, error) {
	tag, err := r.ReadByte()
	if err != nil {
		return nil, err
	}
	switch {
	case tag < tagFixMap:
		return int(tag), nil
	case tag&^fixMask == tagFixArray:
		return decodeArray(r, int(tag&fixMask))
	case tag&^fixMask == tagFixMap:
		return decodeMap(r, int(tag&fixMask))
	case tag&^fixStringMask == tagFixString:
		b, err := readBytes(r, int(tag&fixStringMask))
		return string(b), err
	case tag == tagNil:
		return nil, nil
	case tag == tagFalse, tag == tagTrue:
		return tag == tagTrue, nil
	case tag == tagUint32:
		x, err := readUint(r, 4)
		return x, err
	case tag == tagBin8:
		return decodeBin(r, 1)
	case tag == tagBin16:
		return decodeBin(r, 2)
	}
	return nil, fmt.Errorf("message tag %x is not used by instances", tag)
}

func decodeArray(r *bufio.Reader, length int) (any, error) {
	list := []any{}
	for range length {
		element, err := decode(r)
		if err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	return list, nil
}

func decodeMap(r *bufio.Reader, length int) (any, error) {
	fields := map[string]any{}
	for range length {
		name, err := decode(r)
		if err != nil {
			return nil, err
		}
		if fields[fmt.Sprint(name)], err = decode(r); err != nil {
			return nil, err
		}
	}
	return fields, nil
}

// decodeBin reads binary data whose length is encoded in lengthBytes bytes.
func decodeBin(r *bufio.Reader, lengthBytes int) (any, error) {
	length, err := readUint(r, lengthBytes)
	if err != nil {
		return nil, err
	}
	return readBytes(r, length)
}

// readUint reads a big-endian number of size bytes.
func readUint(r *bufio.Reader, size int) (x int, err error) {
	b, err := readBytes(r, size)
	for _, digit := range b {
		x = x<<8 | int(digit)
	}
	return x, err
}

func readBytes(r *bufio.Reader, size int) ([]byte, error) {
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return b, err
}
