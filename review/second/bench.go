package main

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"lanewheel/internal/fake"
)

// bench is what the cases have in common: the record, a temporary folder and the processes that were started.
type bench struct {
	trouble   bool   // the disruption is to happen
	runLine   string // the line "run" of the deploy file
	folder    string // temporary
	startedAt time.Time

	mu        sync.Mutex
	output    *os.File
	processes []*process
}

// newBench opens the record and reads the deploy file. The working directory must be the root of the repository.
func newBench(recordPath string, trouble bool) (*bench, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	line := regexp.MustCompile(`(?m)^run *= *"(.*)"`).FindSubmatch(text)
	if line == nil {
		return nil, errors.New("deploy/balancer.toml has no line run")
	}
	b := &bench{trouble: trouble, runLine: string(line[1]), startedAt: time.Now()}
	if b.folder, err = os.MkdirTemp("", "second"); err != nil {
		return nil, err
	}
	b.output, err = os.Create(recordPath)
	return b, err
}

// record writes one line to the record, with the time since the start in seconds.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(b.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = b.output.WriteString(line) // a missing line changes no verdict
}

// close kills all processes that were started and removes the temporary folder.
func (b *bench) close() {
	for _, p := range b.processes {
		p.kill()
	}
	_ = os.RemoveAll(b.folder) // it is in the folder for temporary files
	_ = b.output.Close()
}

// process is one program under review.
type process struct {
	name   string
	listen string // where clients connect
	cmd    *exec.Cmd
	exited chan struct{}
}

// instanceOptions describe an instance or a proxy.
type instanceOptions struct {
	name     string
	command  string // what follows the line "run", without the operator's file: "serve" or "proxy"
	runtime  string // address
	settings string // JSON
	operator string // text of the operator's file
	stopMS   int
	seed     string
}

// start starts a program with the line "run" of the deploy file, as /bin/sh does it on the platform.
func (b *bench) start(options instanceOptions) *process {
	p := &process{name: options.name, listen: freeAddr(), exited: make(chan struct{})}
	folder := filepath.Join(b.folder, options.name)
	fake.Must(0, os.Mkdir(folder, 0o700))
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"runtime":%q,"seed":%q,"stop_ms":%d,`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":%s}`,
		options.name, p.listen, options.runtime, options.seed, options.stopMS, options.settings)
	configPath := filepath.Join(folder, "config.json")
	fake.Must(0, os.WriteFile(configPath, []byte(config), 0o600))
	line := b.runLine
	if options.operator != "" {
		path := filepath.Join(folder, "operator.ini")
		fake.Must(0, os.WriteFile(path, []byte(options.operator), 0o600))
		line += " " + options.command + " --operator " + path
	}
	p.cmd = exec.CommandContext(context.Background(), "/bin/sh", "-c", line)
	p.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "RELAY_NAME="+options.name,
		"RELAY_LISTEN="+p.listen, "TMPDIR="+folder)
	log := fake.Must(os.Create(filepath.Join(folder, "log")))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fake.Must(0, p.cmd.Start())
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	go func() {
		_ = p.cmd.Wait() // the exit code is in ProcessState
		close(p.exited)
	}()
	b.record("started %s at %s: %s", options.name, p.listen, strings.ReplaceAll(line, b.folder, "TMP"))
	return p
}

// log returns what a process has written so far.
func (b *bench) log(p *process) string {
	text, _ := os.ReadFile(filepath.Join(b.folder, p.name, "log")) // empty if it cannot be read
	return string(text)
}

// copyLogs adds the last lines of the logs of all processes to the record.
func (b *bench) copyLogs(lines int) {
	for _, p := range b.processes {
		text := strings.Split(strings.TrimSpace(b.log(p)), "\n")
		for _, line := range text[max(0, len(text)-lines):] {
			b.record("log of %s: %s", p.name, line)
		}
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.exited
}

// waitHealthy waits until a process answers health checks with true.
func (b *bench) waitHealthy(p *process) {
	fake.WaitFor(p.name+" to be healthy", func() bool {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.listen)
		if err != nil {
			return false
		}
		checker := fake.NewClient(conn)
		defer checker.Close()
		healthy := checker.CheckHealth()
		if !healthy {
			time.Sleep(20 * time.Millisecond)
		}
		return healthy
	})
	b.record("%s is healthy", p.name)
}

// freeAddr returns a loopback address with a port that is free for TCP and UDP.
func freeAddr() string {
	for {
		listener := fake.Must((&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0"))
		addr := listener.Addr().String()
		packets, err := (&net.ListenConfig{}).ListenPacket(context.Background(), "udp", addr)
		_ = listener.Close() // nothing was sent
		if err == nil {
			_ = packets.Close() // nothing was sent
			return addr
		}
	}
}

// fleet writes the sections [fleet] of processes that know each other.
type fleet struct {
	keyPath string
	seed    string
}

func (b *bench) newFleet() *fleet {
	f := &fleet{keyPath: filepath.Join(b.folder, "keys"), seed: freeAddr()}
	key := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
	fake.Must(0, os.WriteFile(f.keyPath, []byte(key+"\n"), 0o600))
	return f
}

// section returns the section of one process. The first process of a fleet is the seed.
func (f *fleet) section(first bool) string {
	listen := f.seed
	if !first {
		listen = freeAddr()
	}
	return "[fleet]\nlisten = " + listen + "\nseeds = " + f.seed + "\nkey-file = " + f.keyPath + "\nwarm-up = 0s\n"
}
