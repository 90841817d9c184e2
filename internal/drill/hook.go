package drill

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"time"
)

// RunHook asks the rehearsal at a socket to start a member anew on a release: it is what the stewards of a rehearsal are told to run.
func RunHook(socket, name, release string, out io.Writer) error {
	connection, err := net.DialTimeout("unix", socket, time.Second)
	if err != nil {
		return err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(connection, "%s %s\n", name, release); err != nil {
		return err
	}
	reply, err := bufio.NewReader(connection).ReadString('\n')
	if err == nil {
		fmt.Fprint(out, reply)
	}
	if err == nil && reply != "started\n" {
		err = fmt.Errorf("%s", strings.TrimSpace(reply))
	}
	return err
}

// stewards makes the stewards of a rehearsal listen to it: the socket by which their command has members started.
func (w *cluster) listenForHooks() error {
	w.disruptions = &disruptionLog{out: map[*process]bool{}, maxOut: map[string]int{}, limits: map[string]int{}, everOn: map[string]map[string]bool{}}
	for _, p := range w.processes {
		w.disruptions.noteRelease(p)
	}
	listener, err := net.Listen("unix", w.hookPath())
	if err != nil {
		return err
	}
	w.hookListener = listener
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				line, err := bufio.NewReader(connection).ReadString('\n')
				name, release, _ := strings.Cut(strings.TrimSpace(line), " ")
				if err == nil {
					err = w.restart(name, strings.TrimSpace(release))
				}
				if err != nil {
					fmt.Fprintln(connection, err)
					return
				}
				fmt.Fprintln(connection, "started")
			}()
		}
	}()
	return nil
}

func (w *cluster) hookPath() string { return filepath.Join(w.dir, "hook") }

// restart starts a process that has left by a permit.
func (w *cluster) restart(name, release string) error {
	for _, p := range w.processes {
		if p.name != name {
			continue
		}
		p.mu.Lock()
		running := p.cmd != nil && !p.exited
		p.mu.Unlock()
		if running {
			return fmt.Errorf("%s is there", name)
		}
		if release != "" {
			p.mu.Lock()
			p.release = release
			p.mu.Unlock()
			w.disruptions.noteRelease(p)
		}
		if err := w.writeFiles(p); err != nil {
			return err
		}
		return w.startProcess(p)
	}
	return fmt.Errorf("no process %q", name)
}
