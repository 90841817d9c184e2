package drill

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func (l *network) acceptStreams(front *processFront, listener *net.TCPListener, port int) {
	for {
		connection, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go l.forwardStream(front, connection, port)
	}
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
