package life

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"lanewheel/internal/fault"
	"lanewheel/internal/logline"
	"lanewheel/internal/operator"
)

// Signals has the notices to leave and to read anew come. It is called before all else: untold, either would end us.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	return signals
}

// Beside begins the start of a process beside the instances: the log, the signals, and the operator's file, which has to have what on tells of. want names
// that for whoever reads why it did not start.
func Beside(operated, format, want string, on func(*operator.File) bool) (signals <-chan os.Signal, with Operated, err error) {
	signals = Signals()
	logline.Start(os.Stderr, format)
	if with, err = Operate(operated); err != nil {
		return signals, with, err
	}
	if !on(&with.File) {
		return signals, with, fault.List{{File: operated, Want: want}}
	}
	if format == "" {
		logline.Start(os.Stderr, with.File.Log.Format)
	}
	return signals, with, nil
}

// Heed carries out what signals ask of a process beside the instances: leave, or go by the operator's file as it is now. A file that is being
// written may be wrong for a moment: the old one holds, and the next notice reads it again.
func Heed(signals <-chan os.Signal, operated string, with Operated, leave func(), reload func(*Operated)) {
	for s := range signals {
		if s == syscall.SIGTERM {
			leave()
			continue
		}
		again, err := Operate(operated)
		if err == nil {
			err = Fixed(&again, &with)
		}
		if err != nil {
			slog.Warn("configuration-kept", "err", err)
			continue
		}
		with = again
		reload(&again)
		slog.Info("operated", "file", operated)
	}
}
