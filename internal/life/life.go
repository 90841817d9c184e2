// Package life is the start and the stop of a service instance.
package life

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"lanewheel/internal/fault"
	"lanewheel/internal/keep"
	"lanewheel/internal/logline"
)

// Live starts the instance that the configuration at path and the operator's file, if one is named, tell of, and serves
// until it is told to go. format is text or json; empty, the operator's file says.
func Live(path, operated, format string) error {
	signals := Signals()
	logline.Serve(os.Stderr, format)
	told, err := Tell(path)
	if err != nil {
		return err
	}
	with, err := Operate(operated)
	if err != nil {
		return err
	}
	further := with.File.Fleet.On || with.File.Below.On
	if further && Fleet == nil {
		return ErrFleet
	}
	if format == "" {
		logline.Serve(os.Stderr, with.File.Log.Format)
	}
	// One processor for each core told, and no more: a second one on a part of a core wakes and sleeps for each message.
	processors := int(math.Ceil(told.Cores))
	// A further front waits for its sockets otherwise than the poller does, which keeps a processor for up to 10 ms while it waits:
	// with one alone the 99th percentile of stubs' ops under a flood of messages is 7.3 ms instead of 4.5.
	if with.File.AMQP.On {
		processors++
	}
	runtime.GOMAXPROCS(processors)
	// Half the limit: the rest is for what the kernel and the binary itself take.
	debug.SetMemoryLimit(int64(told.MemoryMB * (1 << 19)))
	k := &keeper{path: path, operated: operated, with: with, pause: func() { time.Sleep(still) }}
	told.Authn, told.TLS = with.Callers, with.listener(&k.server)
	if k.in, err = opened(told, signals.Leave); k.in == nil {
		return err
	}
	attach(k.in, told, &with)
	if further {
		if k.refleet, err = Fleet(k.in, told, &with); err != nil {
			return err
		}
	}
	go k.heed(signals)
	slog.Info("listening", "name", told.Name, "addr", told.ListenAddr)
	if with.Server != nil {
		slog.Info("listening", "name", told.Name, "addr", with.File.TLS.Listen, "tls", with.File.TLS.Oldest)
	}
	k.in.Serve()
	return nil
}

// opened makes the instance. Danger: one that is started anew, while the last moments of the life before it still hold the address, ends at once, and
// its platform counts that as a crash. The address is tried for again for some seconds, longer than a drain's last steps; the notice to leave
// ends that, and there is no instance then and no error.
func opened(told keep.Config, leave <-chan os.Signal) (*keep.Server, error) {
	const held, again = 3 * time.Second, 20 * time.Millisecond
	for began := time.Now(); ; {
		in, err := keep.New(told)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > held {
			return in, err
		}
		select {
		case <-leave:
			return nil, nil
		case <-time.After(again):
		}
	}
}

// keeper keeps a running instance on what its files say.
type keeper struct {
	in       *keep.Server
	path     string   // of the configuration
	operated string   // of the operator's file, empty if there is none
	with     Operated // what is in force of it
	server   atomic.Pointer[tls.Config]
	pause    func()          // between two readings: for as long as still
	refleet  func(*Operated) // takes the section [fleet] anew; nil where there is none
}

// heed carries out what signals ask for: SIGTERM to leave, SIGHUP to go by the files as they are now.
// Danger: a file that can't be read, or is still being written, must not end or change a running instance. The old ones
// stay in force and the files are read again, soon and then less and less often.
func (k *keeper) heed(signals Notices) {
	const soon, seldom = 50 * time.Millisecond, 5 * time.Second // a file takes far less to write; a person far more
	var again <-chan time.Time
	var wait time.Duration
	wanted, reading := false, false
	came := make(chan reread, 1)
	for {
		select {
		case <-signals.Leave:
			k.in.Hand(k.in.Drain)
			continue
		case <-signals.Reread:
			wanted, wait = true, 0
		case <-again:
			wanted = true
		case r := <-came:
			reading = false
			err := r.err
			if err == nil {
				err = k.carryOut(r)
			}
			if err != nil {
				if wait == 0 {
					slog.Warn("configuration-kept", "err", err)
				}
				wait = min(max(2*wait, soon), seldom)
				again = time.After(wait)
			}
		}
		// Danger: a disk that hangs would keep the notice to leave from us. Files are read aside, one reading at a time.
		if wanted && !reading {
			wanted, reading, again = false, true, nil
			go func() { came <- k.read() }()
		}
	}
}

// reread is what the files say now.
type reread struct {
	told keep.Config
	with Operated
	err  error
}

// still is how long files have to stay as they are before they count: some times what a program takes between two writes.
const still = 20 * time.Millisecond

// read reads all files. Danger: a file that is cut off behind a whole line reads as one that says less. What is still being
// written is another one a moment later.
func (k *keeper) read() (r reread) {
	if r.told, r.err = Tell(k.path); r.err != nil || k.operated == "" {
		return r
	}
	if r.with, r.err = Operate(k.operated); r.err != nil {
		return r
	}
	k.pause()
	second, err := Operate(k.operated)
	if r.err = err; err == nil && second.digest != r.with.digest {
		r.err = fault.List{{File: k.operated, Want: "or a file it names, is being written"}}
	}
	return r
}

// carryOut puts in force what was read, all of it or nothing.
func (k *keeper) carryOut(r reread) error {
	if k.operated != "" {
		if err := r.with.fixed(&k.with); err != nil {
			return err
		}
		k.with = r.with
		if r.with.Server != nil {
			k.server.Store(r.with.Server)
		}
		k.in.Hand(func() { k.in.UpdateAuthn(r.with.Callers) })
		if k.refleet != nil {
			k.refleet(&r.with)
		}
		slog.Info("operated", "file", k.operated, "keys", r.with.keys(), "roles", len(r.with.File.Callers.Roles),
			"callers", len(r.with.File.Callers.Map))
	}
	k.in.Hand(func() { k.in.UpdateAddresses(r.told) })
	return nil
}

func (o *Operated) keys() int {
	if o.Callers == nil {
		return 0
	}
	return len(o.Callers.Keys.Keys())
}
