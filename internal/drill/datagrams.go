package drill

import (
	"math/rand/v2"
	"time"
)

func (l *network) forwardDatagrams(front *processFront) {
	buffer := make([]byte, 64<<10)
	for {
		size, sender, err := front.udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		_, counters, faults, senderFront := l.lookup(sender.IP.String(), front.process)
		l.increment(&counters.datagrams, 1)
		l.increment(&counters.bytes, size)
		out, delay, copies := front.udp, time.Duration(0), 1
		if senderFront != nil { // it comes from the sender's front
			out = senderFront.udp
		}
		message := append([]byte(nil), buffer[:size]...)
		for _, fault := range faults {
			if !l.chance(fault.Fraction) {
				continue
			}
			switch fault.Action {
			case "refuse", "swallow", "lose", "stall", "half-close":
				copies = 0
				l.increment(&counters.dropped, 1)
			case "delay":
				delay += fault.Delay + time.Duration(rand.Float64()*float64(fault.Jitter))
				l.increment(&counters.delayed, 1)
			case "duplicate":
				copies++
				l.increment(&counters.duplicated, 1)
			case "reorder":
				delay += 20 * time.Millisecond // behind what comes in the next rounds of gossip's messages
				l.increment(&counters.reordered, 1)
			case "garble":
				message[rand.IntN(len(message))] ^= 0x55
				l.increment(&counters.corrupted, 1)
			case "narrow":
				delay += time.Duration(float64(size) / float64(max(1, fault.BytesPerSecond)) * float64(time.Second))
			}
		}
		for range copies {
			if delay > 0 {
				time.AfterFunc(delay, func() { _, _ = out.WriteToUDP(message, front.target) })
			} else {
				_, _ = out.WriteToUDP(message, front.target)
			}
		}
	}
}
