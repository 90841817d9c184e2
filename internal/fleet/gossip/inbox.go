package gossip

// noteSender notes a sender until the next look. Danger: a flood of packets that each hand the loop a call; and
// senders without end.
func (p *Agent) noteSender(sender string) {
	const maxSenders = 4096 // many times the members that one process hears in a tenth of a second
	p.mu.Lock()
	if len(p.senders) < maxSenders {
		p.senders[sender] = struct{}{}
	}
	p.mu.Unlock()
}

// notePredecessorCaller notes who called the life before ours until the next look; there is no need for more than a
// few.
func (p *Agent) notePredecessorCaller(addr string) {
	p.mu.Lock()
	if len(p.predecessorCallers) < cap(p.predecessorCallers) {
		p.predecessorCallers = append(p.predecessorCallers, addr)
	}
	p.mu.Unlock()
}
