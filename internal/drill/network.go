package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

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
