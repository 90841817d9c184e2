package delivery

import (
	"time"
)

// MessageID is what a message is recognized by: its message-id, or an id derived from its content.
type MessageID string

// Tag identifies one delivery: a number on one channel of one connection.
type Tag struct {
	ChannelID uint64 // drawn anew for each channel that is opened
	Number    uint64 // the broker's delivery tag
}

// Arrival is one delivery of a message.
type Arrival struct {
	ID          MessageID
	Digest      uint64 // of the message's content
	Tag         Tag
	Redelivered bool // the broker has delivered it before, here or to a peer
	Idempotent  bool // its class may be executed twice
}

// Decision is what to do with a delivery.
type Decision int

// The decisions.
const (
	Process        Decision = iota // submit it
	Join                           // the message is in flight; the delivery is settled with it
	AlreadyReplied                 // replied and confirmed: only the ack was lost
	ResendReply                    // replied, but whether the reply reached the broker is unknown: publish it again
	Uncertain                      // it may have been executed, here or at a peer, and must not be executed again
	IDConflict                     // another message has its id
)

// Deduplicator recognizes messages that are delivered again. What it remembers is bounded in count and age; a
// forgotten message that is redelivered is Uncertain unless its class is idempotent. It belongs to one goroutine.
type Deduplicator[Reply any] struct {
	maxSettled   int
	maxAge       time.Duration
	records      map[MessageID]*record[Reply]
	settledOrder []*record[Reply] // the earliest settled first; a record that was settled twice is in it twice
}

type recordState int

const (
	stateInFlight  recordState = iota
	stateReturned              // given back to the broker: it was not executed here
	stateReplied               // the reply is not confirmed yet
	stateConfirmed             // the broker has the reply
)

type record[Reply any] struct {
	id        MessageID
	digest    uint64
	state     recordState
	tags      []Tag // deliveries that wait for the outcome
	settledAt time.Duration
	reply     Reply // while replied, to be sent again
	returns   int   // times that it was returned
}

// NewDeduplicator returns a deduplicator that remembers at most maxSettled settled messages, each for at most maxAge.
func NewDeduplicator[Reply any](maxSettled int, maxAge time.Duration) *Deduplicator[Reply] {
	return &Deduplicator[Reply]{
		maxSettled: max(1, maxSettled),
		maxAge:     maxAge,
		records:    map[MessageID]*record[Reply]{},
	}
}

// Receive decides what to do with a delivery; with ResendReply it returns the reply. When a connection breaks, the
// broker delivers all unsettled messages again: none that is in flight or was executed may be executed twice where
// that does harm, and each is replied to once.
func (d *Deduplicator[Reply]) Receive(now time.Duration, arrival Arrival) (Decision, Reply) {
	d.evict(now)
	var none Reply
	r := d.records[arrival.ID]
	if r == nil {
		d.records[arrival.ID] = &record[Reply]{
			id:     arrival.ID,
			digest: arrival.Digest,
			tags:   []Tag{arrival.Tag},
		}
		if arrival.Redelivered && !arrival.Idempotent {
			return Uncertain, none
		}
		return Process, none
	}
	if r.digest != arrival.Digest {
		return IDConflict, none
	}
	switch r.state {
	case stateInFlight:
		r.tags = append(r.tags, arrival.Tag)
		return Join, none
	case stateReturned:
		r.state = stateInFlight
		r.tags = []Tag{arrival.Tag}
		return Process, none
	case stateConfirmed:
		return AlreadyReplied, none
	case stateReplied:
	}
	return ResendReply, r.reply
}

// ChannelClosed forgets the deliveries of a channel that is gone; the broker delivers their messages again, here or
// to a peer.
func (d *Deduplicator[Reply]) ChannelClosed(channelID uint64) {
	for _, r := range d.records {
		if r.state != stateInFlight {
			continue
		}
		kept := r.tags[:0]
		for _, tag := range r.tags {
			if tag.ChannelID != channelID {
				kept = append(kept, tag)
			}
		}
		r.tags = kept
	}
}

// Returns is how often a message was returned from here.
func (d *Deduplicator[Reply]) Returns(id MessageID) int {
	if r := d.records[id]; r != nil {
		return r.returns
	}
	return 0
}

// Replied settles a message with its reply, which is remembered until ReplyConfirmed. It returns the deliveries that
// are to be acked once the reply is confirmed.
func (d *Deduplicator[Reply]) Replied(now time.Duration, id MessageID, reply Reply) []Tag {
	r := d.records[id]
	if r == nil || r.state != stateInFlight {
		return nil
	}
	r.reply = reply
	return d.settle(now, r, stateReplied)
}

// Returned settles a message that was not executed here and goes back to the broker. It returns the deliveries to
// give back.
func (d *Deduplicator[Reply]) Returned(now time.Duration, id MessageID) []Tag {
	r := d.records[id]
	if r == nil || r.state != stateInFlight {
		return nil
	}
	r.returns++
	return d.settle(now, r, stateReturned)
}

func (d *Deduplicator[Reply]) settle(now time.Duration, r *record[Reply], state recordState) []Tag {
	tags := r.tags
	r.tags = nil
	r.state = state
	r.settledAt = now
	d.settledOrder = append(d.settledOrder, r)
	return tags
}

// ReplyConfirmed says that the broker has the message's reply.
func (d *Deduplicator[Reply]) ReplyConfirmed(id MessageID) {
	r := d.records[id]
	if r == nil || r.state != stateReplied {
		return
	}
	var none Reply
	r.reply = none
	r.state = stateConfirmed
}

// evict forgets settled messages that are too old or too many.
func (d *Deduplicator[Reply]) evict(now time.Duration) {
	for len(d.settledOrder) > 0 {
		r := d.settledOrder[0]
		isCurrent := d.records[r.id] == r && r.state != stateInFlight
		if isCurrent && len(d.settledOrder) <= d.maxSettled && now-r.settledAt < d.maxAge {
			return
		}
		if isCurrent && now-r.settledAt >= 0 {
			delete(d.records, r.id)
		}
		d.settledOrder[0] = nil
		d.settledOrder = d.settledOrder[1:]
	}
}

// Len is how many messages are remembered, in flight and settled.
func (d *Deduplicator[Reply]) Len() int { return len(d.records) }
