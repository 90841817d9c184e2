// Package life is the start and the stop of a service instance.
package life

import (
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"lanewheel/internal/keep"
	"lanewheel/internal/logline"
	"lanewheel/internal/operator"
)

// Live starts the instance that the configuration at path and the operator's file, if one is named, tell of, and serves
// until it is told to go. format is text or json; empty, the operator's file says.
func Live(path, operated, format string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP) // before all else: untold, either would end us
	logline.Start(os.Stderr, format)
	told, err := Tell(path)
	if err != nil {
		return err
	}
	file, err := operator.Load(operated)
	if err != nil {
		return err
	}
	if format == "" {
		logline.Start(os.Stderr, file.Log.Format)
	}
	// One processor for each core told, and no more: a second one on a part of a core wakes and sleeps for each message.
	runtime.GOMAXPROCS(int(math.Ceil(told.Cores)))
	// Half the limit: the rest is for what the kernel and the binary itself take.
	debug.SetMemoryLimit(int64(told.MemoryMB * (1 << 19)))
	in, err := keep.Open(told)
	if err != nil {
		return err
	}
	go heed(in, signals, path)
	slog.Info("listening", "name", told.Name, "addr", told.Listen)
	in.Serve()
	return nil
}

// heed carries out what signals ask for: SIGTERM to leave, SIGHUP to go by the configuration as it is now.
// Danger: a configuration that can't be read, or is still being written, must not end or change a running instance.
// The old one stays in force and the file is read again, soon and then less and less often.
func heed(in *keep.Instance, signals <-chan os.Signal, path string) {
	const soon, seldom = 50 * time.Millisecond, 5 * time.Second // a file takes far less to write; a person far more
	var again <-chan time.Time
	var wait time.Duration
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM {
				in.Hand(in.Leave)
				continue
			}
			wait = 0
		case <-again:
		}
		again = nil
		told, err := Tell(path)
		if err == nil {
			in.Hand(func() { in.Move(told) })
			continue
		}
		if wait == 0 {
			slog.Warn("configuration-kept", "err", err)
		}
		wait = min(max(2*wait, soon), seldom)
		again = time.After(wait)
	}
}
