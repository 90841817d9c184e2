package drill

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"time"
)

// hookStarted is the answer of a hook that has started a process; any other is an error.
const hookStarted = "started"

// RunHook asks the drill at a socket to start a process anew on a release: it is the command that the coordinators of a
// drill are told to run. The answer is printed to out; one that is an error is returned, too.
func RunHook(socket, name, release string, out io.Writer) error {
	const dialTimeout, answerTimeout = time.Second, 20 * time.Second
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(context.Background(), "unix", socket)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }() // the answer is complete, or an error is returned
	if err := connection.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(connection, "%s %s\n", name, release); err != nil {
		return err
	}
	answer, err := bufio.NewReader(connection).ReadString('\n')
	if err != nil {
		return err
	}
	printf(out, "%s", answer)
	if answer := strings.TrimSpace(answer); answer != hookStarted {
		return errors.New(answer)
	}
	return nil
}

func (c *cluster) hookPath() string { return filepath.Join(c.dir, "hook") }

// listenForHooks listens at the socket by which the coordinators have processes started.
func (c *cluster) listenForHooks() error {
	c.disruptions = newDisruptionLog()
	for _, p := range c.processes {
		c.disruptions.recordRelease(p)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "unix", c.hookPath())
	if err != nil {
		return err
	}
	c.hookListener = listener
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go c.answerHook(connection)
		}
	}()
	return nil
}

// answerHook reads one line "NAME RELEASE" and answers with one line.
func (c *cluster) answerHook(connection net.Conn) {
	defer func() { _ = connection.Close() }() // who asks may have gone
	line, err := bufio.NewReader(connection).ReadString('\n')
	if err == nil {
		name, release, _ := strings.Cut(strings.TrimSpace(line), " ")
		err = c.restart(name, strings.TrimSpace(release))
	}
	answer := hookStarted
	if err != nil {
		answer = err.Error()
	}
	_, _ = io.WriteString(connection, answer+"\n")
}

// restart starts a process that has ended, on another release unless that is empty. The text of its errors is an
// answer of the hook.
func (c *cluster) restart(name, release string) error {
	for _, p := range c.processes {
		if p.name == name {
			return p.restart(release)
		}
	}
	return fmt.Errorf("no process %q", name)
}

func (p *process) restart(release string) error {
	p.mu.Lock()
	running := p.isRunning()
	if !running && release != "" {
		p.release = release
	}
	p.mu.Unlock()
	if running {
		return fmt.Errorf("%s is there", p.name)
	}
	if release != "" {
		p.cluster.disruptions.recordRelease(p)
	}
	if err := p.writeFiles(); err != nil {
		return err
	}
	return p.start()
}
