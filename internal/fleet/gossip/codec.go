package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// messageKind is the first byte of a message.
type messageKind byte

const (
	kindHeartbeat    messageKind = 'b'
	kindFenceNotice  messageKind = 'f'
	kindQuery        messageKind = 'q'
	kindQueryReply   messageKind = 'w'
	kindLeaseRequest messageKind = 'a'
	kindLease        messageKind = 'g'
	kindPermitNotice messageKind = 'p'
	kindPermitBegin  messageKind = 'i'
)

// headerSize is the size of a message's head in bytes: the kind, and the age in milliseconds as a big-endian number of
// four bytes. The body is MessagePack. The age stands apart, as it is written anew whenever the message goes out; no
// message carries a wall clock time.
const headerSize = 5

// The limits of what a member may send. A heartbeat has to fit into a packet beside others, and a descriptor into the
// 512 bytes that memberlist gives it.
const (
	maxNameBytes       = 64
	maxMetricNameBytes = 16
	maxMessageBytes    = 512
)

// Errors of decoding; all of them are counted as malformed messages.
var (
	errUnknownKind = errors.New("unknown message kind")
	errTruncated   = errors.New("cut short")
	errTooLarge    = errors.New("too large")
	errOutOfRange  = errors.New("out of range")
)

// errTableFull is why a node is refused that would be one member too many.
var errTableFull = errors.New("no room for another member")

// maxInitialLength bounds what the decoder allocates for a length that a message states, whatever follows.
const maxInitialLength = 64

var msgpackHandle = func() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{}
	handle.RawToString = true
	handle.MaxInitLen = maxInitialLength
	return handle
}()

// envelope is a message whose head was read.
type envelope struct {
	kind    messageKind
	age     time.Duration
	body    []byte
	message []byte // all of it
}

// encode writes a message of age 0.
func encode(kind messageKind, value any) []byte {
	head := [headerSize]byte{byte(kind)}
	return append(head[:], encodeBody(value)...)
}

func encodeBody(value any) []byte {
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(value); err != nil {
		panic(err) // a wire struct that cannot be encoded is a programming error
	}
	return body
}

func decode(body []byte, value any) error {
	if len(body) > maxMessageBytes {
		return errTooLarge
	}
	return codec.NewDecoderBytes(body, msgpackHandle).Decode(value)
}

// setAge writes an age into a message's head.
func setAge(message []byte, age time.Duration) []byte {
	millis := min(max(0, age.Milliseconds()), math.MaxUint32)
	binary.BigEndian.PutUint32(message[1:], uint32(millis))
	return message
}

// parseEnvelope reads a message's head.
func parseEnvelope(message []byte) (envelope, error) {
	if len(message) < headerSize {
		return envelope{}, errTruncated
	}
	return envelope{
		kind:    messageKind(message[0]),
		age:     time.Duration(binary.BigEndian.Uint32(message[1:])) * time.Millisecond,
		body:    message[headerSize:],
		message: message,
	}, nil
}

// lengthPrefixSize is the size of the big-endian length before each message of a state, in bytes.
const lengthPrefixSize = 2

// encodeState joins messages, each with its length before it.
func encodeState(messages [][]byte) []byte {
	var state []byte
	for _, message := range messages {
		state = binary.BigEndian.AppendUint16(state, uint16(len(message)))
		state = append(state, message...)
	}
	return state
}

// decodeState hands each message of a state to handle, up to a limit; the rest is left unread.
func decodeState(state []byte, limit int, handle func(message []byte)) error {
	for ; len(state) > 0 && limit > 0; limit-- {
		if len(state) < lengthPrefixSize {
			return errTruncated
		}
		end := lengthPrefixSize + int(binary.BigEndian.Uint16(state))
		if len(state) < end {
			return errTruncated
		}
		handle(state[lengthPrefixSize:end])
		state = state[end:]
	}
	return nil
}

// millisInRange reports whether a number of milliseconds is from 0 to a limit.
func millisInRange(millis, limit int64) bool { return millis >= 0 && millis <= limit }

// positiveMillisInRange reports whether a number of milliseconds is from 1 to a limit.
func positiveMillisInRange(millis, limit int64) bool { return millis > 0 && millis <= limit }

func durationFromMillis(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }

// validNameLengths reports whether none of names is too long.
func validNameLengths(names ...string) bool {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}
