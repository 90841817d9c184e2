package life

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Signals has the notices to leave and to read anew come. It is called before all else: untold, either would end us.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	return signals
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
