package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// messageKind identifies the type of a message. It is the first byte of the message.
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

// headerSize is the size of a message header in bytes: the kind, followed by the age in milliseconds as a four-byte
// big-endian number. The body is MessagePack. The age is not part of the body because it is updated each time the
// message is sent. No message carries a wall clock time.
const headerSize = 5

// Maximum sizes in bytes of names and of message bodies. A heartbeat must fit into a packet together with other
// messages, and a descriptor into the 512 bytes that memberlist allows for it.
const (
	maxNameBytes       = 64
	maxMetricNameBytes = 16
	maxBodyBytes       = 512
)

// Decoding errors. A message that causes one is counted as malformed.
var (
	errUnknownKind = errors.New("unknown message kind")
	errTruncated   = errors.New("message is truncated")
	errTooLarge    = errors.New("message body is too large")
	errOutOfRange  = errors.New("value is out of range")
)

// errTableFull is returned for a node that would exceed the maximum number of members.
var errTableFull = errors.New("maximum number of members is reached")

// maxInitialLength is the maximum number of elements for which the decoder allocates memory before it reads them. The
// length that a message declares may exceed the number of elements that follow.
const maxInitialLength = 64

var msgpackHandle = func() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{}
	handle.RawToString = true
	handle.MaxInitLen = maxInitialLength
	return handle
}()

// envelope is a message with its decoded header.
type envelope struct {
	kind    messageKind
	age     time.Duration
	body    []byte
	message []byte // the whole message, with its header
}

// encode returns an encoded message with an age of 0.
func encode(kind messageKind, value any) []byte {
	header := [headerSize]byte{byte(kind)}
	return append(header[:], encodeBody(value)...)
}

func encodeBody(value any) []byte {
	var body []byte
	if err := codec.NewEncoderBytes(&body, msgpackHandle).Encode(value); err != nil {
		panic(err) // a wire struct that cannot be encoded is a programming error
	}
	return body
}

func decode(body []byte, value any) error {
	if len(body) > maxBodyBytes {
		return errTooLarge
	}
	return codec.NewDecoderBytes(body, msgpackHandle).Decode(value)
}

// setAge overwrites the age in the header of message and returns message.
func setAge(message []byte, age time.Duration) []byte {
	millis := min(max(0, age.Milliseconds()), math.MaxUint32)
	binary.BigEndian.PutUint32(message[1:], uint32(millis))
	return message
}

// parseEnvelope decodes the header of a message. It returns errTruncated if the message is shorter than a header.
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

// lengthPrefixSize is the size in bytes of the big-endian length that precedes each message of a state. A state is the
// data that memberlist exchanges between two members over a stream.
const lengthPrefixSize = 2

// encodeState concatenates messages, each preceded by its length.
func encodeState(messages [][]byte) []byte {
	var state []byte
	for _, message := range messages {
		state = binary.BigEndian.AppendUint16(state, uint16(len(message)))
		state = append(state, message...)
	}
	return state
}

// decodeState calls handle with each message of a state, up to limit messages, and ignores the rest. It returns
// errTruncated if the state ends within a message.
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

// millisInRange reports whether millis is from 0 to limit.
func millisInRange(millis, limit int64) bool { return millis >= 0 && millis <= limit }

// positiveMillisInRange reports whether millis is from 1 to limit.
func positiveMillisInRange(millis, limit int64) bool { return millis > 0 && millis <= limit }

func durationFromMillis(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }

// validNameLengths reports whether each of names has at most maxNameBytes bytes.
func validNameLengths(names ...string) bool {
	for _, name := range names {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}
