package delivery

import (
	"cmp"
	"slices"
)

// AckTracker collects the acks of one channel, so that several deliveries are acked by one message. An ack of several
// covers every unsettled delivery before it, so it may only cover deliveries that are all done. The zero value is
// ready for use. It belongs to one goroutine.
type AckTracker struct {
	unsettled []trackedDelivery // by tag, ascending
}

type trackedDelivery struct {
	tag   uint64
	acked bool // to be acked by the next Flush
}

// AckRange is one ack to send.
type AckRange struct {
	Tag      uint64
	Multiple bool // for all unsettled deliveries before it, too
}

// Received notes a delivery. Tags ascend.
func (t *AckTracker) Received(tag uint64) {
	t.unsettled = append(t.unsettled, trackedDelivery{tag: tag})
}

// Acked marks a delivery to be acked.
func (t *AckTracker) Acked(tag uint64) {
	if i, found := t.find(tag); found {
		t.unsettled[i].acked = true
	}
}

// Remove drops a delivery that is settled otherwise. It tells whether the delivery was unsettled.
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

// Flush returns the acks to send: one for all deliveries up to the first that is not done, and one for each other
// that is.
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
