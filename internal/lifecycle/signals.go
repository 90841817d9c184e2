package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// signalChannels holds the channels of the signals that a process handles. Each channel buffers one signal, which
// represents all signals of its kind that arrive until it is received. The channels are separate so that many signals
// of one kind during a slow start leave room for the other kind.
type signalChannels struct {
	terminate <-chan os.Signal // SIGTERM: drain and exit
	reload    <-chan os.Signal // SIGHUP: read the files again and apply them
}

// notifySignals returns the channels. It is called before anything else, because until then either signal would kill
// the process. SIGPIPE is ignored, because a log reader that has exited must not end the process either.
func notifySignals() signalChannels {
	terminate := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return signalChannels{terminate: terminate, reload: reload}
}
