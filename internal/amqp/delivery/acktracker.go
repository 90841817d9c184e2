package delivery

// AckTracker gathers the acks of one channel, so that many go as one. Danger: an ack of several covers everything before it, so it may
// only cover what is done.
type AckTracker struct{ unsettled []trackedDelivery }

type trackedDelivery struct {
	tag   uint64
	acked bool
}

// AckRange is one ack to send; Multiple: for all before it too.
type AckRange struct {
	Tag      uint64
	Multiple bool
}

// Received notes a delivery; tags rise.
func (a *AckTracker) Received(tag uint64) {
	a.unsettled = append(a.unsettled, trackedDelivery{tag: tag})
}

// Acked marks a delivery to be acked. Drop takes one out that is settled otherwise; it tells whether it was in hand.
func (a *AckTracker) Acked(tag uint64) {
	if i := a.indexOf(tag); i >= 0 {
		a.unsettled[i].acked = true
	}
}

func (a *AckTracker) Remove(tag uint64) bool {
	i := a.indexOf(tag)
	if i >= 0 {
		a.unsettled = append(a.unsettled[:i], a.unsettled[i+1:]...)
	}
	return i >= 0
}

func (a *AckTracker) indexOf(tag uint64) int {
	low, high := 0, len(a.unsettled)
	for low < high {
		if mid := (low + high) / 2; a.unsettled[mid].tag < tag {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low < len(a.unsettled) && a.unsettled[low].tag == tag {
		return low
	}
	return -1
}

// Len is how many deliveries are not settled.
func (a *AckTracker) Len() int { return len(a.unsettled) }

// Flush gives the acks to send: one for all up to the first that is not done, and one for each other that is.
func (a *AckTracker) Flush() (acks []AckRange) {
	n := 0
	for n < len(a.unsettled) && a.unsettled[n].acked {
		n++
	}
	if n > 0 {
		acks = append(acks, AckRange{a.unsettled[n-1].tag, n > 1})
	}
	kept := a.unsettled[:0]
	for _, delivery := range a.unsettled[n:] {
		if delivery.acked {
			acks = append(acks, AckRange{Tag: delivery.tag})
		} else {
			kept = append(kept, delivery)
		}
	}
	a.unsettled = kept
	return acks
}
