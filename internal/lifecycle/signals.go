package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// SignalChannels are what signals ask for. One of each that waits stands for all that come meanwhile.
type SignalChannels struct{ Terminate, Reload <-chan os.Signal }

// notifySignals has the notices to leave and to read anew come. It is called before all else: untold, either would end us. Danger: notices of
// one kind that fill the room of the other before anybody takes them, at a slow start; each has its own.
func notifySignals() SignalChannels {
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // Danger: whoever read our log is gone, and the next line ends us
	return SignalChannels{terminate, reload}
}
