package delivery

import (
	"cmp"
	"slices"
)

// AckTracker collects the acks of one channel, so that one ack message can cover several deliveries. An ack of
// several deliveries covers every unsettled delivery up to its tag, so all of those must have been marked. The zero
// value is ready for use. An AckTracker must be used by one goroutine only.
type AckTracker struct {
	unsettled []trackedDelivery // by tag, ascending
}

type trackedDelivery struct {
	tag   uint64
	acked bool // the next Flush acks the delivery
}

// AckRange is one ack to send to the broker.
type AckRange struct {
	Tag      uint64
	Multiple bool // the ack also covers all unsettled deliveries with lower tags
}

// AddDelivery records an unsettled delivery. Tags must be added in ascending order.
func (t *AckTracker) AddDelivery(tag uint64) {
	t.unsettled = append(t.unsettled, trackedDelivery{tag: tag})
}

// MarkAcked marks a delivery to be acked by the next Flush. It ignores an unknown tag.
func (t *AckTracker) MarkAcked(tag uint64) {
	if i, found := t.find(tag); found {
		t.unsettled[i].acked = true
	}
}

// Remove drops a delivery that is settled without an ack. It reports whether the delivery was unsettled.
func (t *AckTracker) Remove(tag uint64) bool {
	i, found := t.find(tag)
	if found {
		t.unsettled = slices.Delete(t.unsettled, i, i+1)
	}
	return found
}

func (t *AckTracker) find(tag uint64) (int, bool) {
	return slices.BinarySearchFunc(t.unsettled, tag, func(d trackedDelivery, tag uint64) int {
		return cmp.Compare(d.tag, tag)
	})
}

// Flush returns the acks to send, and forgets the deliveries that they cover. One ack covers all marked deliveries
// before the first unmarked one; each other marked delivery has its own ack.
func (t *AckTracker) Flush() []AckRange {
	var acks []AckRange
	done := 0
	for done < len(t.unsettled) && t.unsettled[done].acked {
		done++
	}
	if done > 0 {
		acks = append(acks, AckRange{Tag: t.unsettled[done-1].tag, Multiple: done > 1})
	}
	kept := t.unsettled[:0]
	for _, d := range t.unsettled[done:] {
		if d.acked {
			acks = append(acks, AckRange{Tag: d.tag})
		} else {
			kept = append(kept, d)
		}
	}
	t.unsettled = kept
	return acks
}
