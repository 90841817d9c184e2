package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
)

// tryCommand runs an instance under load on one machine, with fakes of all its dependencies.
type tryCommand struct {
	Duration    time.Duration `name:"duration" help:"Duration of the load." default:"10s"`
	Rate        float64       `name:"rate" help:"${help_try_rate}" default:"200"`
	Clients     int           `name:"clients" help:"Number of clients, each with its own connection." default:"8"`
	MeanRunTime time.Duration `name:"mean-run-time" help:"${help_try_run_time}" default:"5ms"`
	Seed        uint64        `name:"seed" help:"Random seed: the same seed generates the same load." default:"1"`
	Operator    string        `name:"operator" help:"Operator's file for the instance." placeholder:"FILE" type:"path"`
	AMQP        bool          `name:"amqp" help:"${help_try_amqp}"`
	Token       string        `name:"token" help:"${help_try_token}" placeholder:"FILE" type:"path"`
	Log         string        `name:"log" help:"${help_try_log}" placeholder:"FILE" type:"path"`
}

// Errors of a trial.
var (
	errTryFlags         = errors.New("--rate, --duration and --clients must be greater than 0")
	errOperatorWithAMQP = errors.New("--amqp generates its own operator's file and must not be used with --operator")
	errNotReady         = errors.New("the instance did not become ready")
	errNotTerminated    = errors.New("still running after SIGTERM")
)

func (c *tryCommand) Run(o output) (err error) {
	if c.Rate <= 0 || c.Duration <= 0 || c.Clients <= 0 {
		return errTryFlags
	}
	token, err := c.readToken()
	if err != nil {
		return err
	}
	trial, err := newTrial(c)
	if err != nil {
		return err
	}
	defer func() {
		trial.close()
		if err != nil && c.Log == "" {
			o.printf("the instance's log is %s\n", trial.logPath)
			return
		}
		_ = os.RemoveAll(trial.dir) // if this fails, the files remain in the system's temporary folder
	}()
	if err := trial.start(); err != nil {
		return err
	}
	o.printf("an instance serves at %s, %g ops a second for %v\n", trial.listenAddr, c.Rate, c.Duration)
	test := newLoadTest(c.AMQP)
	cpuBefore := cpuTimeOf(trial.instance.Process.Pid)
	test.run(o, c, trial, token)
	cpuTime := cpuTimeOf(trial.instance.Process.Pid) - cpuBefore
	stopErr := trial.stop()
	if err := test.printTable(o, cpuTime); err != nil {
		return err
	}
	if stopErr != nil {
		return fmt.Errorf("the instance did not stop cleanly: %w", stopErr)
	}
	return nil
}

// readToken reads the token that the clients send. It returns an empty text if no file is set.
func (c *tryCommand) readToken() (string, error) {
	if c.Token == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.Token)
	return strings.TrimSpace(string(text)), err
}

// trial is an instance with the fakes of its dependencies.
type trial struct {
	command    *tryCommand
	dir        string // temporary folder of its files
	logPath    string
	log        *os.File
	listenAddr string

	runtime  *fake.Runtime
	database *fake.Database
	registry *fake.Registry
	broker   *broker.Broker // nil without --amqp

	instance *exec.Cmd
	exited   chan struct{} // closed when the instance has ended
	exitErr  error         // result of Wait; read only after exited is closed
}

// newTrial starts the fakes. It does not start the instance.
func newTrial(c *tryCommand) (*trial, error) {
	if c.AMQP && c.Operator != "" {
		return nil, errOperatorWithAMQP
	}
	dir, err := os.MkdirTemp("", "lanewheel-try")
	if err != nil {
		return nil, err
	}
	t := &trial{
		command:  c,
		dir:      dir,
		logPath:  c.Log,
		runtime:  fake.NewRuntime(),
		database: fake.NewDatabase(),
		registry: fake.NewRegistry(),
		exited:   make(chan struct{}),
	}
	if t.logPath == "" {
		t.logPath = filepath.Join(dir, "log")
	}
	t.database.AutoReply()
	if c.AMQP {
		t.broker = broker.New()
		t.broker.DeclareQueue(tryQueue, nil)
		t.broker.DeclareQueue(tryReplyQueue, nil)
	}
	return t, nil
}

// close stops the fakes and closes the log.
func (t *trial) close() {
	_ = t.runtime.Listener.Close()
	_ = t.database.Listener.Close()
	t.registry.Close()
	if t.broker != nil {
		t.broker.Close()
	}
	if t.log != nil {
		_ = t.log.Close()
	}
}

// start starts the instance and waits until it is ready.
func (t *trial) start() error {
	var err error
	if t.listenAddr, err = freeAddress(); err != nil {
		return err
	}
	configPath := filepath.Join(t.dir, "config.json")
	if err := os.WriteFile(configPath, []byte(t.platformConfig()), 0o600); err != nil {
		return err
	}
	arguments := []string{"serve"}
	operatorPath, err := t.operatorPath()
	if err != nil {
		return err
	}
	if operatorPath != "" {
		arguments = append(arguments, "--operator", operatorPath)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if t.log, err = os.Create(t.logPath); err != nil {
		return err
	}
	t.instance = exec.CommandContext(context.Background(), self, arguments...)
	t.instance.Env = append(os.Environ(), "RELAY_CONFIG="+configPath)
	t.instance.Stdout = t.log
	t.instance.Stderr = t.log
	if err := t.instance.Start(); err != nil {
		return err
	}
	go func() {
		t.exitErr = t.instance.Wait()
		close(t.exited)
	}()
	return t.waitReady()
}

// waitReady makes the fake runtime report that it is ready, and returns once the fake runs requests. It returns an
// error if the instance exits or does not connect in time.
func (t *trial) waitReady() error {
	ready := make(chan struct{})
	go func() {
		defer func() { _ = recover() }() // the fake panics if the instance does not connect; its exit shows the cause
		t.runtime.Accept()
		t.runtime.SendReady("steady")
		const cores = 2
		t.runtime.AutoRun(cores, t.command.MeanRunTime, t.command.Seed, nil)
		close(ready)
	}()
	select {
	case <-ready:
		return nil
	case <-t.exited:
		text, _ := os.ReadFile(t.logPath) // if the log can't be read, the error lacks its text
		return fmt.Errorf("the instance did not start:\n%s", text)
	case <-time.After(2 * fake.WaitTimeout):
		_ = t.instance.Process.Kill() // it may have exited already
		return errNotReady
	}
}

// stop drains the instance with SIGTERM and waits until it has exited. It kills an instance that does not exit in time.
func (t *trial) stop() error {
	_ = t.instance.Process.Signal(syscall.SIGTERM) // it may have exited already
	select {
	case <-t.exited:
		return t.exitErr
	case <-time.After(fake.WaitTimeout):
		_ = t.instance.Process.Kill() // it may have exited already
		return errNotTerminated
	}
}

// platformConfig returns the platform's configuration as JSON.
func (t *trial) platformConfig() string {
	settings := strings.NewReplacer(
		"IDLE", "30",
		"FRESH", "0",
		`"memory-kb":1900`, `"memory-kb":190000`,
	).Replace(fake.Settings)
	return fmt.Sprintf(`{"name":"try","listen":%q,"runtime":%q,"roster":%q,"db":%q,"seed":"%x","stop_ms":1500,`+
		`"limits":{"cores":1,"memory_mb":192,"sockets":512},"settings":%s}`,
		t.listenAddr, t.runtime.Addr(), t.registry.Addr(), t.database.Addr(), t.command.Seed, settings)
}

// operatorPath returns the path of the operator's file, empty if there is none. With --amqp it writes a file that
// configures the fake broker and its queue.
func (t *trial) operatorPath() (string, error) {
	if t.broker == nil {
		return t.command.Operator, nil
	}
	path := filepath.Join(t.dir, "amqp.ini")
	text := fmt.Sprintf("[amqp]\nbrokers = %s\n[queue %s]\ndefault-rank = 0.5\ndefault-kb = 1\ndefault-timeout = 10s\n",
		t.broker.URL(), tryQueue)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// freeAddress returns a loopback address with a free TCP port.
func freeAddress() (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}
