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

// hookStarted is the drill's answer to a hook after it has started a process. Any other answer is an error text.
const hookStarted = "started"

// RunHook asks the drill that listens on a socket to restart a process on a release. It implements the restart command
// that is configured for the coordinators of a drill. It prints the answer to out. If the answer is an error text, it
// also returns it as an error.
func RunHook(socket, name, release string, out io.Writer) error {
	const dialTimeout, answerTimeout = time.Second, 20 * time.Second
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(context.Background(), "unix", socket)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }() // the answer is complete, or another error is returned
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

// listenForHooks listens on the socket that the coordinators' hooks connect to, and creates the disruption log.
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

// answerHook reads one line "NAME RELEASE", restarts the process and answers with one line.
func (c *cluster) answerHook(connection net.Conn) {
	defer func() { _ = connection.Close() }() // the hook may have disconnected
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

// restart starts a process that has ended, on another release unless release is empty. The texts of its errors are
// sent to the hook as answers.
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
