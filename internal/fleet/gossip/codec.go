package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"lanewheel/internal/grants"
	"lanewheel/internal/members"
)

// What members say to each other, MessagePack behind a head of one byte for the kind and four for the age in milliseconds. The age
// stands apart, as it is written anew whenever the message goes out; nobody's wall clock is in any message.
const (
	kindBulletin byte = 'b'
	kindFenced   byte = 'f'
	kindQuery    byte = 'q'
	kindWord     byte = 'w'
	kindAsk      byte = 'a'
	kindGrant    byte = 'g'
	kindPermit   byte = 'p'
	kindBegin    byte = 'i'
	headSize          = 5
)

// What a member may say. A bulletin has to go into a packet beside others, and a claim into the 512 bytes that the gossip gives.
const (
	longestName = 64
	longestKey  = 16
	longestMsg  = 512
)

var (
	errKind  = errors.New("no kind that we know")
	errShort = errors.New("cut short")
	errSize  = errors.New("too large")
	errTold  = errors.New("out of range")
)

var how = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.RawToString = true
	h.MaxInitLen = 64 // Danger: a length of billions in a packet of ten bytes
	return h
}()

// claim is a members.Claim on the wire, less what the gossip carries itself.
type claim struct {
	Incarnation uint64  `codec:"i"`
	Roles       uint8   `codec:"r"`
	Zone        string  `codec:"z"`
	Release     string  `codec:"e"`
	Capacity    float64 `codec:"c"`
	WarmMS      int64   `codec:"w"`
	Serves      string  `codec:"a"`
}

type bulletin struct {
	Name        string  `codec:"n"`
	Life        uint64  `codec:"l"`
	Incarnation uint64  `codec:"i"`
	Seq         uint64  `codec:"s"`
	Ready       bool    `codec:"r"`
	ReadyForMS  int64   `codec:"d"`
	Leaving     bool    `codec:"g"`
	Digest      uint64  `codec:"v"`
	Facts       []fact_ `codec:"t"`
}

type fact_ struct {
	Key     string  `codec:"k"`
	Value   float64 `codec:"v"`
	HoldsMS int64   `codec:"h"`
}

// query asks a member how it stands; word is the answer.
type query struct {
	Nonce uint64 `codec:"n"`
	To    string `codec:"t"` // the life that is asked
	Who   string `codec:"w"` // the life that asks, and where it is reached
	Addr  string `codec:"a"`
}

type word struct {
	Nonce uint64  `codec:"n"`
	Load  float64 `codec:"l"`
	Done  float64 `codec:"d,omitempty"` // ops that ended since its start, those in their target latency, and the s that all took
	Well  float64 `codec:"w,omitempty"`
	Took  float64 `codec:"t,omitempty"`
}

// permit tells a life of a permit that it has, or that it has begun; begin is its word that it would begin.
type permit struct {
	To     string `codec:"t"`
	Who    string `codec:"w"` // the steward, and where it is reached
	Addr   string `codec:"a"`
	Number uint64 `codec:"n"`
	Begun  bool   `codec:"b"`
}

type begin struct {
	To          string `codec:"t"`
	Who         string `codec:"w"` // the holder, and where it is reached
	Addr        string `codec:"a"`
	Incarnation uint64 `codec:"i"`
	Number      uint64 `codec:"n"`
}

// ask is a grants.Ask, and grant its answer.
type ask struct {
	To    string `codec:"t"` // the life that is asked
	Who   string `codec:"w"` // the life that asks, and where it is reached
	Addr  string `codec:"a"`
	Seq   uint64 `codec:"s"`
	Desk  uint64 `codec:"d"` // who granted what it has, in answer to which ask
	Has   uint64 `codec:"h"`
	Limit int    `codec:"l"`
	Open  int    `codec:"o"`
	Wants int    `codec:"n"`
}

type grant struct {
	Desk      uint64 `codec:"d"`
	Seq       uint64 `codec:"s"`
	Limit     int    `codec:"l"`
	HoldsMS   int64  `codec:"h"`
	Alone     int    `codec:"a"`
	LongestMS int64  `codec:"m"`
}

// readAsk reads what a holder wants; it counts for the life that it says it is, and for us only if it means this life of ours.
func readAsk(body []byte, self members.ID) (a grants.Ask, addr string, err error) {
	var w ask
	if err = unpack(body, &w); err != nil {
		return a, "", err
	}
	who, ok := members.ParseID(w.Who)
	if !ok || w.Seq == 0 || w.Limit < 0 || w.Open < 0 || w.Wants < 0 || w.To != self.String() || len(w.Addr) > longestName {
		return a, "", errTold
	}
	return grants.Ask{Who: who, Seq: w.Seq, Has: grants.Has{Desk: members.BootID(w.Desk), Seq: w.Has, Limit: w.Limit}, Open: w.Open, Wants: w.Wants}, w.Addr, nil
}

func packAsk(a grants.Ask, to members.ID, addr string) []byte {
	return pack(kindAsk, ask{to.String(), a.Who.String(), addr, a.Seq, uint64(a.Has.Desk), a.Has.Seq, a.Has.Limit, a.Open, a.Wants})
}

func packGrant(g grants.Grant) []byte {
	return pack(kindGrant, grant{uint64(g.Desk), g.Seq, g.Limit, g.Holds.Milliseconds(), g.Alone, g.Longest.Milliseconds()})
}

func readGrant(body []byte) (g grants.Grant, err error) {
	var w grant
	if err = unpack(body, &w); err == nil && (w.Limit < 0 || w.HoldsMS <= 0 || w.HoldsMS > math.MaxInt32 || w.Alone < 0 || w.LongestMS <= 0 || w.LongestMS > math.MaxInt32) {
		err = errTold
	}
	return grants.Grant{Desk: members.BootID(w.Desk), Seq: w.Seq, Limit: w.Limit, Holds: time.Duration(w.HoldsMS) * time.Millisecond, Alone: w.Alone,
		Longest: time.Duration(w.LongestMS) * time.Millisecond}, err
}

// fenced tells a life that a later one has its name.
type fenced struct {
	Name        string `codec:"n"`
	Incarnation uint64 `codec:"i"`
	Life        uint64 `codec:"l"`
}

func pack(kind byte, v any) []byte {
	b := make([]byte, headSize, 128)
	b[0] = kind
	var body []byte
	if err := codec.NewEncoderBytes(&body, how).Encode(v); err != nil {
		panic(err) // our own types, which every message shows
	}
	return append(b, body...)
}

func unpack(b []byte, v any) error {
	if len(b) > longestMsg {
		return errSize
	}
	return codec.NewDecoderBytes(b, how).Decode(v)
}

// aged writes an age into a message's head.
func aged(b []byte, age time.Duration) []byte {
	binary.BigEndian.PutUint32(b[1:], uint32(min(max(0, age.Milliseconds()), math.MaxUint32)))
	return b
}

// kindOf gives the kind and the age of a message, and what stands behind its head.
func kindOf(b []byte) (kind byte, age time.Duration, body []byte, err error) {
	if len(b) < headSize {
		return 0, 0, nil, errShort
	}
	return b[0], time.Duration(binary.BigEndian.Uint32(b[1:])) * time.Millisecond, b[headSize:], nil
}

func packClaim(c members.Descriptor) []byte {
	return pack('c', claim{uint64(c.Incarnation), uint8(c.Roles), c.Zone, c.Release, c.Capacity, c.WarmUp.Milliseconds(), c.ServiceAddr})[headSize:]
}

// readClaim reads what a member says of itself beside its name and address.
func readClaim(name, addr string, meta []byte) (c members.Descriptor, err error) {
	id, ok := members.ParseID(name)
	if !ok || len(id.Name) > longestName {
		return c, errTold
	}
	var w claim
	if err := unpack(meta, &w); err != nil {
		return c, err
	}
	if len(w.Serves) > longestName || len(w.Zone) > longestName || len(w.Release) > longestName || !(w.Capacity > 0 && w.Capacity <= 1e6) || w.WarmMS < 0 || w.WarmMS > 3_600_000 {
		return c, errTold
	}
	return members.Descriptor{Name: id.Name, BootID: id.BootID, Incarnation: members.Incarnation(w.Incarnation), GossipAddr: addr, ServiceAddr: w.Serves, Roles: members.Roles(w.Roles),
		Zone: w.Zone, Release: w.Release, Capacity: w.Capacity, WarmUp: time.Duration(w.WarmMS) * time.Millisecond}, nil
}

func packBulletin(b members.Heartbeat) []byte {
	w := bulletin{string(b.Name), uint64(b.BootID), uint64(b.Incarnation), b.Sequence, b.Ready, b.ReadyFor.Milliseconds(), b.Draining, b.ViewDigest, nil}
	for _, f := range b.Metrics {
		w.Facts = append(w.Facts, fact_{f.Name, f.Value, f.TTL.Milliseconds()})
	}
	return pack(kindBulletin, w)
}

func readBulletin(body []byte) (b members.Heartbeat, err error) {
	var w bulletin
	if err := unpack(body, &w); err != nil {
		return b, err
	}
	if w.Name == "" || len(w.Name) > longestName || w.ReadyForMS < 0 || w.ReadyForMS > math.MaxInt32*1000 {
		return b, errTold
	}
	b = members.Heartbeat{ID: members.ID{Name: members.Name(w.Name), BootID: members.BootID(w.Life)}, Incarnation: members.Incarnation(w.Incarnation),
		Sequence: w.Seq, Ready: w.Ready, ReadyFor: time.Duration(w.ReadyForMS) * time.Millisecond, Draining: w.Leaving, ViewDigest: w.Digest}
	for _, f := range w.Facts {
		if f.Key == "" || len(f.Key) > longestKey || f.HoldsMS < 0 || f.HoldsMS > math.MaxInt32 {
			return members.Heartbeat{}, errTold
		}
		b.Metrics = append(b.Metrics, members.Metric{Name: f.Key, Value: f.Value, TTL: time.Duration(f.HoldsMS) * time.Millisecond})
	}
	return b, nil
}

// packState puts messages behind each other, each with its length before it.
func packState(all [][]byte) []byte {
	var b []byte
	for _, m := range all {
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(m))), m...)
	}
	return b
}

// readState takes them apart; most is how many are read, the rest is left.
func readState(b []byte, most int, each func([]byte)) error {
	for ; len(b) > 0 && most > 0; most-- {
		if len(b) < 2 || len(b) < 2+int(binary.BigEndian.Uint16(b)) {
			return errShort
		}
		end := 2 + int(binary.BigEndian.Uint16(b))
		each(b[2:end])
		b = b[end:]
	}
	return nil
}
