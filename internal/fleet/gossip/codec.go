package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// What members say to each other, MessagePack behind a head of one byte for the kind and four for the age in
// milliseconds. The age stands apart, as it is written anew whenever the message goes out; nobody's wall clock is in
// any message.
const (
	kindHeartbeat    byte = 'b'
	kindFenceNotice  byte = 'f'
	kindQuery        byte = 'q'
	kindQueryReply   byte = 'w'
	kindLeaseRequest byte = 'a'
	kindLease        byte = 'g'
	kindPermitNotice byte = 'p'
	kindPermitBegin  byte = 'i'
	headSize              = 5
)

// What a member may say. A bulletin has to go into a packet beside others, and a claim into the 512 bytes that the
// gossip gives.
const (
	maxNameBytes       = 64
	maxMetricNameBytes = 16
	maxMessageBytes    = 512
)

var (
	errUnknownKind = errors.New("no kind that we know")
	errTruncated   = errors.New("cut short")
	errTooLarge    = errors.New("too large")
	errOutOfRange  = errors.New("out of range")
)

var msgpackHandle = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.RawToString = true
	h.MaxInitLen = 64 // Danger: a length of billions in a packet of ten bytes
	return h
}()

func encode(kind byte, value any) []byte {
	message := make([]byte, headSize, 128)
	message[0] = kind
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(value); err != nil {
		panic(err) // our own types, which every message shows
	}
	return append(message, body...)
}

func decode(body []byte, value any) error {
	if len(body) > maxMessageBytes {
		return errTooLarge
	}
	return codec.NewDecoderBytes(body, msgpackHandle).Decode(value)
}

// setAge writes an age into a message's head.
func setAge(message []byte, age time.Duration) []byte {
	binary.BigEndian.PutUint32(message[1:], uint32(min(max(0, age.Milliseconds()), math.MaxUint32)))
	return message
}

// splitHead gives the kind and the age of a message, and what stands behind its head.
func splitHead(message []byte) (kind byte, age time.Duration, body []byte, err error) {
	if len(message) < headSize {
		return 0, 0, nil, errTruncated
	}
	return message[0], time.Duration(binary.BigEndian.Uint32(message[1:])) * time.Millisecond, message[headSize:], nil
}
