package delivery

import (
	"time"
)

// MessageID is what a message is known again by: its message-id, or what was derived for it.
type MessageID string

// DeliveryTag is one delivery, on one channel of one connection.
type DeliveryTag struct {
	ChannelID uint64 // each channel counts as one of its own
	Number    uint64
}

// Deduplicator knows messages again that come twice. It is bounded by count and age; what it has forgotten comes as new, which
// only what may run twice may do.
type Deduplicator struct {
	maxSettled   int
	maxAge       time.Duration
	records      map[MessageID]*record
	settledOrder []*record // as they were settled, the oldest first
}

type record struct {
	id         MessageID
	digest     uint64 // of what it says
	inFlight   bool
	deliveries []DeliveryTag // deliveries that wait for its outcome
	settledAt  time.Duration
	confirmed  bool // its answer was confirmed
	reply      any  // to be sent again if it was not
	returned   bool // it was put back: it never ran here
	returns    int  // how often that was
}

// NewDeduplicator remembers at most so many settled messages, each for at most so long.
func NewDeduplicator(maxSettled int, maxAge time.Duration) *Deduplicator {
	return &Deduplicator{maxSettled: max(1, maxSettled), maxAge: maxAge, records: map[MessageID]*record{}}
}

// Decision is what to do with a delivery.
type Decision int

const (
	Process        Decision = iota // hand it in
	Join                           // it waits for the outcome of one in hand
	AlreadyReplied                 // answered and confirmed: only its ack was lost
	ResendReply                    // answered, but nobody knows whether that arrived: the answer is sent again
	Uncertain                      // it may have run, here or at a peer, and must not run again
	IDConflict                     // another message has its id
)

// Receive decides what to do with a delivery. Danger: a connection that drops brings all unsettled messages back; whatever of them
// runs, or has run, must not run twice where that does harm, and each is answered once.
func (m *Deduplicator) Receive(now time.Duration, id MessageID, digest uint64, tag DeliveryTag, redelivered, idempotent bool) (Decision, any) {
	m.evict(now)
	r := m.records[id]
	switch {
	case r == nil:
		m.records[id] = &record{id: id, digest: digest, inFlight: true, deliveries: []DeliveryTag{tag}}
		if redelivered && !idempotent {
			return Uncertain, nil
		}
		return Process, nil
	case r.digest != digest:
		return IDConflict, nil
	case r.inFlight:
		r.deliveries = append(r.deliveries, tag)
		return Join, nil
	case r.returned:
		r.returned, r.inFlight, r.deliveries = false, true, []DeliveryTag{tag}
		return Process, nil
	case r.confirmed:
		return AlreadyReplied, nil
	}
	return ResendReply, r.reply
}

// ChannelClosed forgets the deliveries of a connection that is lost; their messages come again, here or at a peer.
func (m *Deduplicator) ChannelClosed(channelID uint64) {
	for _, r := range m.records {
		if !r.inFlight {
			continue
		}
		kept := r.deliveries[:0]
		for _, t := range r.deliveries {
			if t.ChannelID != channelID {
				kept = append(kept, t)
			}
		}
		r.deliveries = kept
	}
}

// Returns is how often a message was put back from here.
func (m *Deduplicator) Returns(id MessageID) int {
	if r := m.records[id]; r != nil {
		return r.returns
	}
	return 0
}

// Replied settles a message with its answer, until Confirmed to be sent again if it comes again.
func (m *Deduplicator) Replied(now time.Duration, id MessageID, reply any) []DeliveryTag {
	return m.settle(now, id, reply, false)
}

// Returned settles a message that never ran here and is the broker's again.
func (m *Deduplicator) Returned(now time.Duration, id MessageID) []DeliveryTag {
	return m.settle(now, id, nil, true)
}

func (m *Deduplicator) settle(now time.Duration, id MessageID, reply any, returned bool) []DeliveryTag {
	r := m.records[id]
	if r == nil || !r.inFlight {
		return nil
	}
	deliveries := r.deliveries
	if returned {
		r.returns++
	}
	r.inFlight, r.deliveries, r.settledAt, r.reply, r.returned, r.confirmed = false, nil, now, reply, returned, false
	m.settledOrder = append(m.settledOrder, r)
	return deliveries
}

// ReplyConfirmed tells that the answer arrived at the broker.
func (m *Deduplicator) ReplyConfirmed(id MessageID) {
	if r := m.records[id]; r != nil && !r.inFlight {
		r.confirmed, r.reply = true, nil
	}
}

// evict lets go of what is too old, or too much.
func (m *Deduplicator) evict(now time.Duration) {
	for len(m.settledOrder) > 0 {
		r := m.settledOrder[0]
		current := m.records[r.id] == r && !r.inFlight
		if current && len(m.settledOrder) <= m.maxSettled && now-r.settledAt < m.maxAge {
			return
		}
		if current && now-r.settledAt >= 0 {
			delete(m.records, r.id)
		}
		m.settledOrder[0] = nil
		m.settledOrder = m.settledOrder[1:]
	}
}

// Len is how many messages are known, in hand and settled.
func (m *Deduplicator) Len() int { return len(m.records) }

// inFlightCount are the messages in hand.
func (m *Deduplicator) inFlightCount() (n int) {
	for _, r := range m.records {
		if r.inFlight {
			n++
		}
	}
	return n
}
