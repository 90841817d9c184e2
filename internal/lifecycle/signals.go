package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// signalChannels are the signals that a process goes by. Each channel holds one, which stands for all that come
// until it is taken. They are apart so that many of one kind leave room for the other at a slow start.
type signalChannels struct {
	terminate <-chan os.Signal // SIGTERM: drain and end
	reload    <-chan os.Signal // SIGHUP: go by the files as they are now
}

// notifySignals returns the channels. It is called before all else, as either signal would end the process until
// then. A reader of the log that is gone must not end it either, so SIGPIPE is ignored.
func notifySignals() signalChannels {
	terminate := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return signalChannels{terminate: terminate, reload: reload}
}
