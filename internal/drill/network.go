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

// unknownSender is the index of a sender that is not a process of the drill.
const unknownSender = -1

// garbleMask is XORed with one byte of a garbled message.
const garbleMask = 0x55

// network forwards the traffic between the processes and applies faults to it. Each process is reached at a front
// address, on which the network listens. A process sends from its own address, and the network forwards from the
// sender's front. The network thus knows both ends of every datagram and stream, and is transparent to the processes.
// Its methods may be called on any goroutine.
type network struct {
	ports []int // on which streams are accepted; the first is the gossip port, which also receives datagrams

	mu            sync.Mutex     // guards the fields below, and the linkCounters in counters
	processByHost map[string]int // indexes of processes, by the host that they send from
	fronts        []*processFront
	faults        map[link][]*config.DrillFault
	counters      map[link]*linkCounters
	random        *rand.Rand
	closed        bool
	streams       map[*net.TCPConn]link // by the connection that the bytes of the link are written to
}

// link is one direction between two processes, by their indexes.
type link struct{ from, to int }

// processFront holds the sockets at which one process is reached. Its fields do not change after it listens.
type processFront struct {
	process int
	target  *net.UDPAddr // the process itself
	udp     *net.UDPConn
	tcp     []*net.TCPListener
	ip      net.IP // of the front
}

// linkCounters counts the traffic of one link and the effects of faults on it.
type linkCounters struct {
	datagrams, bytes, streams, streamBytes int64
	dropped, delayed, duplicated           int64
	reordered, corrupted                   int64
	refused, reset, halfClosed             int64 // streams
}

// add adds the counters of another link.
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

// String returns the counters in the form that records contain.
func (c *linkCounters) String() string {
	return fmt.Sprintf("%d datagrams of %d bytes, %d streams of %d; lost %d, delayed %d, twice %d, late %d, garbled %d, "+
		"refused %d, cut %d, halved %d",
		c.datagrams, c.bytes, c.streams, c.streamBytes, c.dropped, c.delayed, c.duplicated, c.reordered, c.corrupted,
		c.refused, c.reset, c.halfClosed)
}

func newNetwork(seed uint64, ports ...int) *network {
	const stream = 99 // selects the network's sequence of random numbers of this seed
	return &network{
		ports:         ports,
		processByHost: map[string]int{},
		faults:        map[link][]*config.DrillFault{},
		counters:      map[link]*linkCounters{},
		random:        rand.New(rand.NewPCG(seed, stream)),
		streams:       map[*net.TCPConn]link{},
	}
}

// addProcess creates a front at an address for a process that sends from and listens on a host.
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
	_ = front.udp.SetReadBuffer(readBufferBytes) // a smaller buffer may lose datagrams under load, as any network may
	for _, port := range n.ports {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: front.ip, Port: port})
		if err != nil {
			return nil, err
		}
		front.tcp = append(front.tcp, listener)
	}
	return front, nil
}

// conditions is the present state of a link.
type conditions struct {
	from        int // index of the sender, or unknownSender
	senderFront *processFront
	counters    *linkCounters
	faults      []*config.DrillFault
}

// has reports whether a fault with one of the actions is active.
func (c conditions) has(actions ...config.DrillAction) bool {
	return slices.ContainsFunc(c.faults, func(fault *config.DrillFault) bool {
		return slices.Contains(actions, fault.Action)
	})
}

// lookup returns the present conditions of the link from a host to a process.
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

// apply adds the fault of an event to its links, or removes the fault if the event is an undo.
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

// applyToLink adds the fault of an event to one link, or removes it. mu must be held.
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

// cutStreams resets the open streams of a link if the action is refuse, and closes one direction of them if the action
// is half-close. It ignores errors, which occur if a stream has just ended by itself. mu must be held.
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
	_ = connection.SetLinger(0) // on an error the peer sees a close, which ends the stream as well
	_ = connection.Close()
}

// chance draws a random number and returns true with the given probability.
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

// drawDelay returns the delay of a fault plus random jitter. The jitter does not depend on the drill's seed.
func drawDelay(fault *config.DrillFault) time.Duration {
	return fault.Delay + time.Duration(rand.Float64()*float64(fault.Jitter))
}

// transferTime returns the time that size bytes take on a link that a fault throttles.
func transferTime(fault *config.DrillFault, size int) time.Duration {
	return time.Duration(float64(size) / float64(max(1, fault.BytesPerSecond)) * float64(time.Second))
}

// garble changes one byte of a message, which must not be empty.
func garble(message []byte) { message[rand.IntN(len(message))] ^= garbleMask }

func (n *network) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// rows returns a row of the record for each link.
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

// total returns the sum of the counters of all links.
func (n *network) total() (total linkCounters) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, counters := range n.counters {
		total.add(counters)
	}
	return total
}

// close closes all streams and fronts. It ignores close errors because the drill has ended.
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
