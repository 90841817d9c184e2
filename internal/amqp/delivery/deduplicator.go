package delivery

import (
	"time"
)

// MessageID identifies a message: it is the message-id property, or an id derived from the content.
type MessageID string

// Tag identifies one delivery by the channel that received it and the delivery tag on that channel.
type Tag struct {
	ChannelID uint64 // unique for each channel that is opened
	Number    uint64 // the broker's delivery tag
}

// Arrival is one delivery of a message.
type Arrival struct {
	ID          MessageID
	Content     Content
	Deadline    Deadline
	Tag         Tag
	Redelivered bool // the broker has delivered the message before, to this instance or to a peer
	Idempotent  bool // the message's class may be executed twice
}

// Content identifies the content of a message.
type Content struct {
	Digest            uint64 // hash of the content
	WithoutExpiration uint64 // hash of the content except for its expiration
	ExpirationUnknown bool   // the broker may have removed an expiration that the message had
}

// Matches reports whether two deliveries can be of the same message.
func (c Content) Matches(other Content) bool {
	if c.ExpirationUnknown != other.ExpirationUnknown {
		return c.WithoutExpiration == other.WithoutExpiration
	}
	return c.Digest == other.Digest
}

// Decision is how a delivery is handled.
type Decision int

// The decisions about a delivery.
const (
	Process        Decision = iota // submit the message
	Join                           // the message is in flight; settle the delivery together with it
	AlreadyReplied                 // the reply is confirmed and only the ack was lost; ack the delivery
	ResendReply                    // the reply is not confirmed; publish it again
	Uncertain                      // the message may have been executed, here or at a peer; do not execute it again
	IDConflict                     // another message has the same id
)

// Deduplicator recognizes redelivered messages. The number and the age of the settled messages that it remembers are
// limited. A redelivered message that it does not remember, or has returned through the retry queue, is Uncertain
// unless its class is idempotent. A Deduplicator must be used by one goroutine only.
type Deduplicator[Reply any] struct {
	maxSettled   int
	maxAge       time.Duration
	records      map[MessageID]*record[Reply]
	settledOrder []*record[Reply] // in the order of settlement; a record that was settled twice is listed twice
}

type recordState int

const (
	stateInFlight recordState = iota
	// stateReturned is the state of a message that was not executed here and was returned through the retry queue. It
	// comes back as a fresh delivery, here or at a peer. If it is redelivered instead, a peer has had it since, and may
	// have executed it.
	stateReturned
	// stateRequeued is the state of a message that was not executed here and was requeued. It comes back as redelivered.
	// If it must not be executed twice, a peer that receives it meanwhile does not execute it.
	stateRequeued
	stateReplied   // replied to; the reply is not confirmed yet
	stateConfirmed // the broker has confirmed the reply
)

type record[Reply any] struct {
	id        MessageID
	content   Content
	deadline  Deadline
	state     recordState
	tags      []Tag // deliveries to settle with the outcome
	settledAt time.Duration
	reply     Reply // kept in stateReplied, to be published again
	returns   int   // how often the message was returned to the broker
}

// NewDeduplicator returns a deduplicator that remembers at most maxSettled settled messages, each for at most maxAge.
func NewDeduplicator[Reply any](maxSettled int, maxAge time.Duration) *Deduplicator[Reply] {
	return &Deduplicator[Reply]{
		maxSettled: max(1, maxSettled),
		maxAge:     maxAge,
		records:    map[MessageID]*record[Reply]{},
	}
}

// Receive decides how to handle a delivery. With ResendReply it also returns the reply to publish. When a connection
// breaks, the broker redelivers all unsettled messages. A message that is in flight, or that was executed and is not
// idempotent, must not be executed again, and each message must be replied to once.
func (d *Deduplicator[Reply]) Receive(now time.Duration, arrival Arrival) (Decision, Reply) {
	d.evict(now)
	var none Reply
	r := d.records[arrival.ID]
	if r == nil {
		d.records[arrival.ID] = &record[Reply]{
			id:       arrival.ID,
			content:  arrival.Content,
			deadline: arrival.Deadline,
			tags:     []Tag{arrival.Tag},
		}
		if arrival.Redelivered && !arrival.Idempotent {
			return Uncertain, none
		}
		return Process, none
	}
	if !r.content.Matches(arrival.Content) {
		return IDConflict, none
	}
	r.mergeDeadline(arrival)
	switch r.state {
	case stateInFlight:
		r.tags = append(r.tags, arrival.Tag)
		return Join, none
	case stateReturned, stateRequeued:
		peerMayHaveExecuted := r.state == stateReturned && arrival.Redelivered && !arrival.Idempotent
		r.state = stateInFlight
		r.tags = []Tag{arrival.Tag}
		if peerMayHaveExecuted {
			return Uncertain, none
		}
		return Process, none
	case stateConfirmed:
		return AlreadyReplied, none
	case stateReplied:
	}
	return ResendReply, r.reply
}

// mergeDeadline sets the deadline to the earlier one, unless one of the two was read without an expiration that the
// broker may have removed. An expiration that the arrival no longer has is not stated.
func (r *record[Reply]) mergeDeadline(arrival Arrival) {
	switch {
	case r.content.ExpirationUnknown && !arrival.Content.ExpirationUnknown:
		r.content = arrival.Content
		r.deadline = arrival.Deadline
	case !r.content.ExpirationUnknown && arrival.Content.ExpirationUnknown:
	case arrival.Deadline.At.Before(r.deadline.At):
		r.deadline = arrival.Deadline
	}
	if arrival.Deadline.Source == NotStated && r.deadline.Source == FromExpiration {
		r.deadline.Source = NotStated
	}
}

// Deadline returns the deadline of a message by all its deliveries that are remembered, or the zero Deadline.
func (d *Deduplicator[Reply]) Deadline(id MessageID) Deadline {
	if r := d.records[id]; r != nil {
		return r.deadline
	}
	return Deadline{}
}

// HasDeliveries reports whether a message is in flight with a delivery that can be settled.
func (d *Deduplicator[Reply]) HasDeliveries(id MessageID) bool {
	r := d.records[id]
	return r != nil && len(r.tags) > 0
}

// ForgetChannel forgets the in-flight deliveries of a closed channel. The broker redelivers their messages, to this
// instance or to a peer.
func (d *Deduplicator[Reply]) ForgetChannel(channelID uint64) {
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

// ReturnCount returns how often this instance has returned a message to the broker.
func (d *Deduplicator[Reply]) ReturnCount(id MessageID) int {
	if r := d.records[id]; r != nil {
		return r.returns
	}
	return 0
}

// MarkReplied settles a message with its reply, which is kept until MarkReplyConfirmed. It returns the deliveries to
// ack once the reply is confirmed, or nil if the message is not in flight.
func (d *Deduplicator[Reply]) MarkReplied(now time.Duration, id MessageID, reply Reply) []Tag {
	r := d.records[id]
	if r == nil || r.state != stateInFlight {
		return nil
	}
	r.reply = reply
	return d.settle(now, r, stateReplied)
}

// MarkReturned settles a message that was not executed here and is to be returned to the broker, by Reject through the
// retry queue or by Requeue. It returns the deliveries to return, or nil if the message is not in flight.
func (d *Deduplicator[Reply]) MarkReturned(now time.Duration, id MessageID, action Action) []Tag {
	r := d.records[id]
	if r == nil || r.state != stateInFlight {
		return nil
	}
	r.returns++
	if action == Requeue {
		return d.settle(now, r, stateRequeued)
	}
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

// MarkReplyConfirmed records that the broker has confirmed the message's reply, and drops the reply.
func (d *Deduplicator[Reply]) MarkReplyConfirmed(id MessageID) {
	r := d.records[id]
	if r == nil || r.state != stateReplied {
		return
	}
	var none Reply
	r.reply = none
	r.state = stateConfirmed
}

// evict forgets settled messages that exceed the limits of age and count.
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

// Len returns the number of remembered messages, in flight and settled.
func (d *Deduplicator[Reply]) Len() int { return len(d.records) }
