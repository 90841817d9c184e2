package drill

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lanewheel/internal/config"
)

// network stands between the processes. Each process is reached at a front address, where we listen; whoever sends there does so
// from its own address, and what we pass on comes from the sender's front: so both ends of every datagram and stream are known,
// and the processes know nothing of us.
type network struct {
	mu            sync.Mutex
	processByHost map[string]int // process by the host it sends from
	fronts        []*processFront
	faults        map[[2]int][]*config.DrillFault
	counters      map[[2]int]*linkCounters
	random        *rand.Rand
	ports         []int // the gossip's first; where streams are taken
	closed        bool
	streams       map[net.Conn][2]int
}

// processFront is where one process is reached.
type processFront struct {
	process int
	target  *net.UDPAddr // the process itself
	udp     *net.UDPConn
	tcp     []*net.TCPListener
	ip      net.IP // of the front
}

// linkCounters is what became of one directed link's traffic.
type linkCounters struct {
	datagrams, bytes, streams, streamBytes                                         int64
	dropped, delayed, duplicated, reordered, corrupted, refused, reset, halfClosed int64
}

func newNetwork(seed uint64, ports ...int) *network {
	return &network{processByHost: map[string]int{}, faults: map[[2]int][]*config.DrillFault{}, counters: map[[2]int]*linkCounters{}, ports: ports,
		random: rand.New(rand.NewPCG(seed, 99)), streams: map[net.Conn][2]int{}}
}

// addProcess makes the front of a process that sends from and listens on host.
func (l *network) addProcess(index int, host, address string) error {
	front := &processFront{process: index, target: &net.UDPAddr{IP: net.ParseIP(host), Port: l.ports[0]}, ip: net.ParseIP(address)}
	var err error
	if front.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: front.ip, Port: l.ports[0]}); err != nil {
		return err
	}
	_ = front.udp.SetReadBuffer(1 << 20)
	for _, port := range l.ports {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: front.ip, Port: port})
		if err != nil {
			return err
		}
		front.tcp = append(front.tcp, listener)
	}
	l.mu.Lock()
	l.processByHost[host] = index
	for len(l.fronts) <= index {
		l.fronts = append(l.fronts, nil)
	}
	l.fronts[index] = front
	l.mu.Unlock()
	go l.forwardDatagrams(front)
	for index, listener := range front.tcp {
		go l.acceptStreams(front, listener, l.ports[index])
	}
	return nil
}

// lookup gives what holds from one process to another now, and the link's counts. A host that is no process's is -1: a stranger.
func (l *network) lookup(host string, target int) (from int, counters *linkCounters, faults []*config.DrillFault, senderFront *processFront) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, known := l.processByHost[host]
	if !known {
		from = -1
	} else {
		senderFront = l.fronts[from]
	}
	link := [2]int{from, target}
	if counters = l.counters[link]; counters == nil {
		counters = &linkCounters{}
		l.counters[link] = counters
	}
	return from, counters, l.faults[link], senderFront
}

// apply brings a fault on links, or takes it off.
func (l *network) apply(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update := func(from, to int) {
		if from == to {
			return
		}
		link := [2]int{from, to}
		if !event.Undo {
			l.faults[link] = append(l.faults[link], event.Fault)
		} else {
			var remaining []*config.DrillFault
			for _, fault := range l.faults[link] {
				if fault != event.Fault {
					remaining = append(remaining, fault)
				}
			}
			l.faults[link] = remaining
		}
		// What is cut ends the streams that stand, too; a half-close ends one way of them.
		for connection, streamLink := range l.streams {
			if streamLink != link || event.Undo {
				continue
			}
			switch event.Fault.Action {
			case "refuse":
				l.counters[link].reset++
				_ = connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
			case "half-close":
				l.counters[link].halfClosed++
				_ = connection.(*net.TCPConn).CloseWrite()
			}
		}
	}
	for _, source := range event.From {
		for _, target := range event.To {
			update(source, target)
			if event.Fault.Bidirectional {
				update(target, source)
			}
		}
	}
}

func (l *network) chance(probability float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < probability
}

func (l *network) increment(counter *int64, amount int) {
	l.mu.Lock()
	*counter += int64(amount)
	l.mu.Unlock()
}

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

func (l *network) acceptStreams(front *processFront, listener *net.TCPListener, port int) {
	for {
		connection, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go l.forwardStream(front, connection, port)
	}
}

func hasFault(faults []*config.DrillFault, kinds ...string) bool {
	for _, fault := range faults {
		for _, kind := range kinds {
			if fault.Action == kind {
				return true
			}
		}
	}
	return false
}

func (l *network) forwardStream(front *processFront, incoming *net.TCPConn, port int) {
	defer incoming.Close()
	host, _, _ := net.SplitHostPort(incoming.RemoteAddr().String())
	source, counters, faults, senderFront := l.lookup(host, front.process)
	l.increment(&counters.streams, 1)
	local := front.ip
	if senderFront != nil {
		local = senderFront.ip
	}
	if hasFault(faults, "refuse") {
		l.increment(&counters.refused, 1)
		_ = incoming.SetLinger(0)
		return
	}
	for hasFault(faults, "swallow") { // it is taken, and nothing comes of it
		time.Sleep(50 * time.Millisecond)
		if _, _, faults, _ = l.lookup(host, front.process); l.isClosed() {
			return
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: local}, Timeout: time.Second}
	connection, err := dialer.Dial("tcp", (&net.TCPAddr{IP: front.target.IP, Port: port}).String())
	if err != nil {
		_ = incoming.SetLinger(0)
		return
	}
	outgoing := connection.(*net.TCPConn)
	defer outgoing.Close()
	l.mu.Lock()
	l.streams[outgoing], l.streams[incoming] = [2]int{source, front.process}, [2]int{front.process, source}
	l.mu.Unlock()
	var pumps sync.WaitGroup
	pumps.Add(2)
	go func() { defer pumps.Done(); l.copyStream(outgoing, incoming, host, front.process) }()
	go func() { defer pumps.Done(); l.copyStream(incoming, outgoing, front.target.IP.String(), source) }()
	pumps.Wait()
	l.mu.Lock()
	delete(l.streams, outgoing)
	delete(l.streams, incoming)
	l.mu.Unlock()
}

// copyStream carries one way of a stream under what holds on its link.
func (l *network) copyStream(to, from *net.TCPConn, host string, target int) {
	buffer := make([]byte, 8<<10)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			_, counters, faults, _ := l.lookup(host, target)
			l.increment(&counters.streamBytes, size)
			for hasFault(faults, "stall", "swallow") && !l.isClosed() { // in the middle of whatever it carries
				time.Sleep(20 * time.Millisecond)
				_, _, faults, _ = l.lookup(host, target)
			}
			for _, fault := range faults {
				switch fault.Action {
				case "delay":
					time.Sleep(fault.Delay + time.Duration(rand.Float64()*float64(fault.Jitter)))
				case "narrow":
					time.Sleep(time.Duration(float64(size) / float64(max(1, fault.BytesPerSecond)) * float64(time.Second)))
				case "garble":
					if l.chance(fault.Fraction) {
						buffer[rand.IntN(size)] ^= 0x55
						l.increment(&counters.corrupted, 1)
					}
				}
			}
			if _, err := to.Write(buffer[:size]); err != nil {
				_ = from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		} else if err != nil {
			_ = to.SetLinger(0)
			to.Close()
			return
		}
	}
}

func (l *network) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// rows tells of each directed link what became of its traffic.
func (l *network) rows(name func(int) string) (rows []Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for link, counters := range l.counters {
		rows = append(rows, Row{Kind: "link", Process: name(link[0]), Name: name(link[1]), Outcome: counters.String(), Value: float64(counters.bytes + counters.streamBytes)})
	}
	return rows
}

// total adds up what became of all that went over the links.
func (l *network) total() (total linkCounters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, counters := range l.counters {
		total.datagrams += counters.datagrams
		total.bytes += counters.bytes
		total.streams += counters.streams
		total.streamBytes += counters.streamBytes
		total.dropped += counters.dropped
		total.delayed += counters.delayed
		total.duplicated += counters.duplicated
		total.reordered += counters.reordered
		total.corrupted += counters.corrupted
		total.refused += counters.refused
		total.reset += counters.reset
		total.halfClosed += counters.halfClosed
	}
	return total
}

func (s linkCounters) String() string {
	return fmt.Sprintf("%d datagrams of %d bytes, %d streams of %d; lost %d, delayed %d, twice %d, late %d, garbled %d, refused %d, cut %d, halved %d",
		s.datagrams, s.bytes, s.streams, s.streamBytes, s.dropped, s.delayed, s.duplicated, s.reordered, s.corrupted, s.refused, s.reset, s.halfClosed)
}

func (l *network) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, front := range l.fronts {
		if front != nil {
			front.udp.Close()
			for _, listener := range front.tcp {
				listener.Close()
			}
		}
	}
	for connection := range l.streams {
		connection.Close()
	}
}
