package drill

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lanewheel/internal/config"
	"lanewheel/internal/fake"
)

// apply applies an event that targets processes, changes the load or sends a coordinator command. It returns when the
// event has been applied, but does not wait for the coordinators' answer to a command.
func (c *cluster) apply(event Event) {
	switch {
	case event.Fault.Action == config.ActionCoordinatorCommand && event.Undo:
		c.restartDrained()
	case event.Fault.Action == config.ActionCoordinatorCommand:
		go c.issueCommand(event)
	case event.Fault.Action == config.ActionBurst && event.Undo:
		c.setLoadFactor(1)
	case event.Fault.Action == config.ActionBurst:
		c.setLoadFactor(event.Fault.Factor)
	default:
		c.applyToAll(event)
	}
}

// restartDrained restarts the instances that have drained under a permit and ended.
func (c *cluster) restartDrained() {
	for _, p := range c.processes[:c.script.Instances] {
		p.mu.Lock()
		drained := p.exited && !p.stopExpected
		p.mu.Unlock()
		if !drained {
			continue
		}
		if err := c.restart(p.name, ""); err != nil {
			c.onFailure(p.name + ": " + err.Error())
		}
	}
}

// issueCommand sends a command to the coordinators and prints their answer.
func (c *cluster) issueCommand(event Event) {
	fault := event.Fault
	reply, err := c.runCommand(fault.Command, fmt.Sprint(fault.Name, event.At))
	if err != nil {
		c.onFailure(fault.Name + ": " + err.Error())
	}
	c.print(fmt.Sprintf("        %s: %s, release %s", fault.Command, reply, c.rolloutPhase()))
}

func (c *cluster) applyToAll(event Event) {
	var targets sync.WaitGroup
	for _, index := range event.Targets {
		p := c.processes[index]
		targets.Go(func() {
			var err error
			if event.Undo {
				err = p.undo(event.Fault)
			} else {
				err = p.apply(event.Fault)
			}
			if err != nil {
				c.onFailure(fmt.Sprintf("%s: %s: %v", event.Fault.Name, p.name, err))
			}
		})
	}
	targets.Wait()
}

// apply applies a fault to the process.
func (p *process) apply(fault *config.DrillFault) error {
	switch fault.Action {
	case config.ActionKill:
		p.stop(syscall.SIGKILL)
	case config.ActionWipe:
		p.stop(syscall.SIGKILL)
		return os.RemoveAll(p.dir)
	case config.ActionLeave:
		p.stop(syscall.SIGTERM)
	case config.ActionPause:
		p.pause(true)
	case config.ActionRestart:
		p.stop(syscall.SIGKILL)
		return p.start()
	case config.ActionReplace:
		p.stop(syscall.SIGTERM)
		return p.start()
	case config.ActionLateRuntime:
		p.setRuntimeDelayed(true)
		p.stop(syscall.SIGKILL)
		return p.start()
	case config.ActionSlowRuns, config.ActionFailRuns, config.ActionLoseRuns:
		p.setRuntimeFaults(fake.RuntimeFaults{
			SlowFactor: fault.Factor,
			FailRuns:   fault.Action == config.ActionFailRuns,
			LoseRuns:   fault.Action == config.ActionLoseRuns,
		})
	case config.ActionKeys, config.ActionSeeds:
		return p.reconfigure(fault)
	case config.ActionFlood:
		go p.flood(max(fault.Duration, time.Second))
	}
	return nil
}

// undo reverts the effect of a fault on the process.
func (p *process) undo(fault *config.DrillFault) error {
	switch fault.Action {
	case config.ActionKill, config.ActionWipe, config.ActionLeave:
		return p.startUnlessRunning()
	case config.ActionPause:
		p.pause(false)
	case config.ActionLateRuntime:
		p.setRuntimeDelayed(false)
	case config.ActionSlowRuns, config.ActionFailRuns, config.ActionLoseRuns:
		p.setRuntimeFaults(fake.RuntimeFaults{})
	}
	return nil
}

// startUnlessRunning starts a process that a fault has ended, unless the coordinators have restarted it already. The
// coordinators restart a process that is out under a permit, and a second process would fail because the addresses are
// in use.
func (p *process) startUnlessRunning() error {
	p.mu.Lock()
	running := p.isRunning()
	p.mu.Unlock()
	if running {
		return nil
	}
	if err := p.writeFiles(); err != nil {
		return err
	}
	return p.start()
}

// reconfigure changes the keys or seeds of the process and makes it reload them.
func (p *process) reconfigure(fault *config.DrillFault) error {
	if len(fault.KeyNumbers) > 0 {
		p.keyNumbers = fault.KeyNumbers
	}
	p.seedCount = max(p.seedCount, fault.SeedMembers)
	if err := p.writeFiles(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// flood acts as an unknown sender without the cluster key: for the duration, it sends pseudo-random bytes to the
// process's gossip port, as datagrams and streams.
func (p *process) flood(duration time.Duration) {
	const datagramBytes, datagramsPerRound, streamBytes = 1400, 20, 100
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	addr := net.JoinHostPort(p.frontHost, strconv.Itoa(gossipPort))
	var dialer net.Dialer
	datagrams, err := dialer.DialContext(ctx, "udp", addr)
	if err != nil {
		return
	}
	defer func() { _ = datagrams.Close() }()
	streamDialer := net.Dialer{Timeout: 100 * time.Millisecond}
	payload := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		for i := range payload {
			payload[i] = byte(i * int(time.Now().UnixNano()))
		}
		for range datagramsPerRound {
			_, _ = datagrams.Write(payload[:1+time.Now().UnixNano()%datagramBytes]) // datagrams may be lost
		}
		if stream, err := streamDialer.DialContext(ctx, "tcp", addr); err == nil {
			_, _ = stream.Write(payload[:streamBytes]) // the stream may be refused
			_ = stream.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}
