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

// Notices are what signals ask for. One of each that waits stands for all that come meanwhile.
type Notices struct{ Leave, Reread <-chan os.Signal }

// Signals has the notices to leave and to read anew come. It is called before all else: untold, either would end us. Danger: notices of
// one kind that fill the room of the other before anybody takes them, at a slow start; each has its own.
func Signals() Notices {
	leave, reread := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM)
	signal.Notify(reread, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // Danger: whoever read our log is gone, and the next line ends us
	return Notices{leave, reread}
}

// Beside begins the start of a process beside the instances: the log, the signals, and the operator's file, which has to have what on tells of. want names
// that for whoever reads why it did not start.
func Beside(operated, format, want string, on func(*operator.File) bool) (signals Notices, with Operated, err error) {
	signals = Signals()
	logline.Serve(os.Stderr, format)
	if with, err = Operate(operated); err != nil {
		return signals, with, err
	}
	if !on(&with.File) {
		return signals, with, fault.List{{File: operated, Want: want}}
	}
	if format == "" {
		logline.Serve(os.Stderr, with.File.Log.Format)
	}
	return signals, with, nil
}

// Heed carries out what signals ask of a process beside the instances: leave, or go by the operator's file as it is now. A file that is being
// written may be wrong for a moment: the old one holds, and the next notice reads it again.
func Heed(signals Notices, operated string, with Operated, leave func(), reload func(*Operated)) {
	for {
		select {
		case <-signals.Leave:
			leave()
			continue
		case <-signals.Reread:
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
