package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"lanewheel/internal/config"
)

// unknownSender is the index of a sender that is no process.
const unknownSender = -1

// garbleMask is what a byte of a garbled message is combined with.
const garbleMask = 0x55

// network stands between the processes. Each process is reached at a front address, where we listen. Whoever sends
// there does so from its own address, and what we forward comes from the sender's front: so both ends of every
// datagram and stream are known, and the processes know nothing of us.
type network struct {
	ports []int // where streams are taken; the gossip's first, where datagrams are taken, too

	mu            sync.Mutex     // guards what follows, and the counters that counters points to
	processByHost map[string]int // by the host that it sends from
	fronts        []*processFront
	faults        map[link][]*config.DrillFault
	counters      map[link]*linkCounters
	random        *rand.Rand
	closed        bool
	streams       map[*net.TCPConn]link // by the connection that the link's bytes are written to
}

// link is one direction between two processes, by their indexes.
type link struct{ from, to int }

// processFront is where one process is reached. It does not change once it listens.
type processFront struct {
	process int
	target  *net.UDPAddr // the process itself
	udp     *net.UDPConn
	tcp     []*net.TCPListener
	ip      net.IP // of the front
}

// linkCounters is what became of one link's traffic.
type linkCounters struct {
	datagrams, bytes, streams, streamBytes int64
	dropped, delayed, duplicated           int64
	reordered, corrupted                   int64
	refused, reset, halfClosed             int64 // streams
}

// add adds what became of another link's traffic.
func (c *linkCounters) add(other *linkCounters) {
	c.datagrams += other.datagrams
	c.bytes += other.bytes
	c.streams += other.streams
	c.streamBytes += other.streamBytes
	c.dropped += other.dropped
	c.delayed += other.delayed
	c.duplicated += other.duplicated
	c.reordered += other.reordered
	c.corrupted += other.corrupted
	c.refused += other.refused
	c.reset += other.reset
	c.halfClosed += other.halfClosed
}

// String returns the counters as they are recorded.
func (c *linkCounters) String() string {
	return fmt.Sprintf("%d datagrams of %d bytes, %d streams of %d; lost %d, delayed %d, twice %d, late %d, garbled %d, "+
		"refused %d, cut %d, halved %d",
		c.datagrams, c.bytes, c.streams, c.streamBytes, c.dropped, c.delayed, c.duplicated, c.reordered, c.corrupted,
		c.refused, c.reset, c.halfClosed)
}

func newNetwork(seed uint64, ports ...int) *network {
	const stream = 99 // of the random numbers of a drill with this seed
	return &network{
		ports:         ports,
		processByHost: map[string]int{},
		faults:        map[link][]*config.DrillFault{},
		counters:      map[link]*linkCounters{},
		random:        rand.New(rand.NewPCG(seed, stream)),
		streams:       map[*net.TCPConn]link{},
	}
}

// addProcess makes the front, at an address, of a process that sends from and listens on a host.
func (n *network) addProcess(index int, host, address string) error {
	front, err := n.listen(index, host, address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.processByHost[host] = index
	for len(n.fronts) <= index {
		n.fronts = append(n.fronts, nil)
	}
	n.fronts[index] = front
	n.mu.Unlock()
	go n.forwardDatagrams(front)
	for i, listener := range front.tcp {
		go n.acceptStreams(front, listener, n.ports[i])
	}
	return nil
}

func (n *network) listen(index int, host, address string) (*processFront, error) {
	const readBufferBytes = 1 << 20
	front := &processFront{
		process: index,
		target:  &net.UDPAddr{IP: net.ParseIP(host), Port: n.ports[0]},
		ip:      net.ParseIP(address),
	}
	var err error
	if front.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: front.ip, Port: n.ports[0]}); err != nil {
		return nil, err
	}
	_ = front.udp.SetReadBuffer(readBufferBytes) // a smaller one loses some under load, as any network
	for _, port := range n.ports {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: front.ip, Port: port})
		if err != nil {
			return nil, err
		}
		front.tcp = append(front.tcp, listener)
	}
	return front, nil
}

// conditions is what holds on a link now.
type conditions struct {
	from        int // index of the sender, or stranger
	senderFront *processFront
	counters    *linkCounters
	faults      []*config.DrillFault
}

// has reports whether one of some actions is in force.
func (c conditions) has(actions ...config.DrillAction) bool {
	return slices.ContainsFunc(c.faults, func(fault *config.DrillFault) bool {
		return slices.Contains(actions, fault.Action)
	})
}

// lookup returns what holds on the link from a host to a process now.
func (n *network) lookup(host string, target int) conditions {
	n.mu.Lock()
	defer n.mu.Unlock()
	found := conditions{from: unknownSender}
	if index, isProcess := n.processByHost[host]; isProcess {
		found.from = index
		found.senderFront = n.fronts[index]
	}
	l := link{found.from, target}
	if n.counters[l] == nil {
		n.counters[l] = &linkCounters{}
	}
	found.counters = n.counters[l]
	found.faults = n.faults[l]
	return found
}

// apply puts a fault on links, or takes it off.
func (n *network) apply(event Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range event.From {
		for _, to := range event.To {
			if from == to {
				continue
			}
			n.applyToLink(link{from, to}, event)
			if event.Fault.Bidirectional {
				n.applyToLink(link{to, from}, event)
			}
		}
	}
}

// applyToLink does so on one link. mu must be held.
func (n *network) applyToLink(l link, event Event) {
	if event.Undo {
		var remaining []*config.DrillFault
		for _, fault := range n.faults[l] {
			if fault != event.Fault {
				remaining = append(remaining, fault)
			}
		}
		n.faults[l] = remaining
		return
	}
	n.faults[l] = append(n.faults[l], event.Fault)
	n.cutStreams(l, event.Fault.Action)
}

// cutStreams ends the streams that are open on a link where it is cut; a half-close ends one direction of them. mu
// must be held. A stream that has just ended by itself may refuse: that is of no interest.
func (n *network) cutStreams(l link, action config.DrillAction) {
	for connection, streamLink := range n.streams {
		if streamLink != l {
			continue
		}
		switch action {
		case config.ActionRefuse:
			n.counters[l].reset++
			resetConnection(connection)
		case config.ActionHalfClose:
			n.counters[l].halfClosed++
			_ = connection.CloseWrite()
		}
	}
}

// resetConnection closes a connection so that its peer sees a reset.
func resetConnection(connection *net.TCPConn) {
	_ = connection.SetLinger(0) // else the peer sees a close, which ends the stream as well
	_ = connection.Close()
}

// chance draws whether something of a probability happens.
func (n *network) chance(probability float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < probability
}

func (n *network) increment(counter *int64, amount int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*counter += int64(amount)
}

// drawDelay returns the delay of a fault with its jitter, which is not drawn from the drill's seed.
func drawDelay(fault *config.DrillFault) time.Duration {
	return fault.Delay + time.Duration(rand.Float64()*float64(fault.Jitter))
}

// transferTime returns how long so many bytes take on a link that is narrowed by a fault.
func transferTime(fault *config.DrillFault, size int) time.Duration {
	return time.Duration(float64(size) / float64(max(1, fault.BytesPerSecond)) * float64(time.Second))
}

// garble changes one byte of a message that is not empty.
func garble(message []byte) { message[rand.IntN(len(message))] ^= garbleMask }

func (n *network) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// rows returns a row for each link.
func (n *network) rows(nameOf func(index int) string) (rows []Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for link, counters := range n.counters {
		rows = append(rows, Row{
			Kind:    kindLink,
			Process: nameOf(link.from),
			Name:    nameOf(link.to),
			Outcome: counters.String(),
			Value:   float64(counters.bytes + counters.streamBytes),
		})
	}
	return rows
}

// total returns what became of the traffic of all links.
func (n *network) total() (total linkCounters) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, counters := range n.counters {
		total.add(counters)
	}
	return total
}

// close ends all streams and stops listening. Errors of closing are of no interest any more.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, front := range n.fronts {
		if front == nil {
			continue
		}
		_ = front.udp.Close()
		for _, listener := range front.tcp {
			_ = listener.Close()
		}
	}
	for connection := range n.streams {
		_ = connection.Close()
	}
}
