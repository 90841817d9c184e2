package intake

// Acks gathers the acks of one channel, so that many go as one. Danger: an ack of several covers everything before it, so it may
// only cover what is done.
type Acks struct{ out []taken }

type taken struct {
	tag  uint64
	done bool
}

// Covers is one ack to send; Multiple: for all before it too.
type Covers struct {
	Tag      uint64
	Multiple bool
}

// Took notes a delivery; tags rise.
func (a *Acks) Took(tag uint64) { a.out = append(a.out, taken{tag: tag}) }

// Done marks a delivery to be acked. Drop takes one out that is settled otherwise; it tells whether it was in hand.
func (a *Acks) Done(tag uint64) {
	if i := a.find(tag); i >= 0 {
		a.out[i].done = true
	}
}

func (a *Acks) Drop(tag uint64) bool {
	i := a.find(tag)
	if i >= 0 {
		a.out = append(a.out[:i], a.out[i+1:]...)
	}
	return i >= 0
}

func (a *Acks) find(tag uint64) int {
	low, high := 0, len(a.out)
	for low < high {
		if mid := (low + high) / 2; a.out[mid].tag < tag {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low < len(a.out) && a.out[low].tag == tag {
		return low
	}
	return -1
}

// Len is how many deliveries are not settled.
func (a *Acks) Len() int { return len(a.out) }

// Flush gives the acks to send: one for all up to the first that is not done, and one for each other that is.
func (a *Acks) Flush() (all []Covers) {
	n := 0
	for n < len(a.out) && a.out[n].done {
		n++
	}
	if n > 0 {
		all = append(all, Covers{a.out[n-1].tag, n > 1})
	}
	kept := a.out[:0]
	for _, t := range a.out[n:] {
		if t.done {
			all = append(all, Covers{Tag: t.tag})
		} else {
			kept = append(kept, t)
		}
	}
	a.out = kept
	return all
}
