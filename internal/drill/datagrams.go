package drill

import (
	"net"
	"slices"
	"time"

	"lanewheel/internal/config"
)

// reorderDelay is long enough for a datagram to arrive after those of the next gossip rounds.
const reorderDelay = 20 * time.Millisecond

// forwardDatagrams forwards the datagrams that arrive at a process's front until the front is closed.
func (n *network) forwardDatagrams(front *processFront) {
	const maxDatagramBytes = 64 << 10
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, sender, err := front.udp.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		n.forwardDatagram(front, sender, slices.Clone(buffer[:size]))
	}
}

// forwardDatagram forwards one datagram from the sender's front, subject to the faults of its link. It may change the
// message.
func (n *network) forwardDatagram(front *processFront, sender *net.UDPAddr, message []byte) {
	current := n.lookup(sender.IP.String(), front.process)
	n.increment(&current.counters.datagrams, 1)
	n.increment(&current.counters.bytes, len(message))
	out := front.udp
	if current.senderFront != nil {
		out = current.senderFront.udp
	}
	copies, delay := n.applyToDatagram(current, message)
	for range copies {
		send := func() { _, _ = out.WriteToUDP(message, front.target) } // datagrams may be lost
		if delay > 0 {
			time.AfterFunc(delay, send)
		} else {
			send()
		}
	}
}

// applyToDatagram applies the faults of a link to a datagram, which it may change. It returns how many copies to send,
// and after which delay.
func (n *network) applyToDatagram(current conditions, message []byte) (copies int, delay time.Duration) {
	copies = 1
	for _, fault := range current.faults {
		if !n.chance(fault.Fraction) {
			continue
		}
		switch fault.Action {
		case config.ActionRefuse, config.ActionBlackhole, config.ActionLose, config.ActionStall, config.ActionHalfClose:
			copies = 0
			n.increment(&current.counters.dropped, 1)
		case config.ActionDelay:
			delay += drawDelay(fault)
			n.increment(&current.counters.delayed, 1)
		case config.ActionDuplicate:
			copies++
			n.increment(&current.counters.duplicated, 1)
		case config.ActionReorder:
			delay += reorderDelay
			n.increment(&current.counters.reordered, 1)
		case config.ActionGarble:
			garble(message)
			n.increment(&current.counters.corrupted, 1)
		case config.ActionThrottle:
			delay += transferTime(fault, len(message))
		}
	}
	return copies, delay
}
