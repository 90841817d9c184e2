package drill

import (
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
)

// apply carries out what is done to processes.
func (w *cluster) apply(event Event) {
	if event.Fault.Action == "agree" && event.Undo { // whoever was drained is started again
		for _, p := range w.processes[:w.script.Instances] {
			p.mu.Lock()
			exited := p.exited && !p.stopExpected
			p.mu.Unlock()
			if exited {
				if err := w.restart(p.name, ""); err != nil {
					w.fail(p.name + ": " + err.Error())
				}
			}
		}
		return
	}
	if event.Fault.Action == "agree" {
		go func() { // an operator's command waits for its answer; the timeline does not
			reply, err := w.runCommand(event.Fault.Command, fmt.Sprint(event.Fault.Name, event.At))
			if err != nil {
				w.fail(event.Fault.Name + ": " + err.Error())
			}
			w.print(fmt.Sprintf("        %s: %s, release %s", event.Fault.Command, reply, w.rolloutPhase()))
		}()
		return
	}
	if event.Fault.Action == "burst" {
		w.loadFactor.Store(math.Float64bits(1))
		if !event.Undo {
			w.loadFactor.Store(math.Float64bits(event.Fault.Factor))
		}
		return
	}
	var targets sync.WaitGroup
	for _, index := range event.Targets {
		p := w.processes[index]
		targets.Add(1)
		go func() {
			defer targets.Done()
			if err := w.applyTo(event, p); err != nil {
				w.fail(fmt.Sprintf("%s: %s: %v", event.Fault.Name, p.name, err))
			}
		}()
	}
	targets.Wait()
}

func (w *cluster) applyTo(event Event, p *process) error {
	fault := event.Fault
	switch {
	case fault.Action == "kill" && !event.Undo, fault.Action == "wipe" && !event.Undo:
		p.stop(syscall.SIGKILL)
		if fault.Action == "wipe" {
			return os.RemoveAll(p.dir)
		}
	case fault.Action == "kill" || fault.Action == "wipe" || fault.Action == "leave" && event.Undo:
		if err := w.writeFiles(p); err != nil {
			return err
		}
		return w.startProcess(p)
	case fault.Action == "leave":
		p.stop(syscall.SIGTERM)
	case fault.Action == "pause":
		p.mu.Lock()
		p.paused = !event.Undo
		if event.Undo {
			p.markBack()
		} else {
			p.markOut()
		}
		p.mu.Unlock()
		if event.Undo {
			p.signal(syscall.SIGCONT)
		} else {
			p.signal(syscall.SIGSTOP)
		}
	case (fault.Action == "restart" || fault.Action == "replace") && !event.Undo: // under its old name and address; the second one leaves first
		if fault.Action == "restart" {
			p.stop(syscall.SIGKILL)
		} else {
			p.stop(syscall.SIGTERM)
		}
		return w.startProcess(p)
	case fault.Action == "late-runtime":
		p.mu.Lock()
		p.runtimeDelayed = !event.Undo
		p.mu.Unlock()
		if !event.Undo {
			p.stop(syscall.SIGKILL)
			return w.startProcess(p)
		}
	case fault.Action == "slow-runs" || fault.Action == "fail-runs" || fault.Action == "lose-runs":
		p.mu.Lock()
		p.runtimeFaults = fake.RuntimeFaults{}
		if !event.Undo {
			p.runtimeFaults = fake.RuntimeFaults{SlowFactor: fault.Factor, FailRuns: fault.Action == "fail-runs", LoseRuns: fault.Action == "lose-runs"}
		}
		p.mu.Unlock()
	case fault.Action == "keys" && !event.Undo || fault.Action == "seeds" && !event.Undo:
		if len(fault.KeyNumbers) > 0 {
			p.keyNumbers = fault.KeyNumbers
		}
		p.seedCount = max(p.seedCount, fault.SeedMembers)
		if err := w.writeFiles(p); err != nil {
			return err
		}
		p.signal(syscall.SIGHUP)
	case fault.Action == "flood" && !event.Undo:
		go w.floodGossip(p, fault)
	}
	return nil
}

// floodGossip is a stranger without the key: what it sends is noise, too large, and a fleet's of another key, by datagram and stream.
func (w *cluster) floodGossip(p *process, fault *config.DrillFault) {
	addr := net.JoinHostPort(p.frontHost, strconv.Itoa(gossipPort))
	connection, err := net.Dial("udp", addr)
	if err != nil {
		return
	}
	defer connection.Close()
	payload := make([]byte, 1400)
	for until := time.Now().Add(max(fault.Duration, time.Second)); time.Now().Before(until); {
		for index := range payload {
			payload[index] = byte(index * int(time.Now().UnixNano()))
		}
		for range 20 {
			_, _ = connection.Write(payload[:1+int(time.Now().UnixNano()%1400)])
		}
		if stream, err := net.DialTimeout("tcp", addr, 100*time.Millisecond); err == nil {
			_, _ = stream.Write(payload[:100])
			stream.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}
