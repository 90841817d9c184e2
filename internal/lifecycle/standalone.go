package lifecycle

import (
	"log/slog"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/logging"
)

// AgentProcessors is GOMAXPROCS of a process that serves no requests: one is for the sockets of the gossip.
const AgentProcessors = 2

// Standalone is a process beside the instances that goes by an operator's file: a proxy, an allocator, a coordinator.
type Standalone struct {
	OperatorConfig OperatorConfig // at the start

	operatorPath string
	signals      signalChannels
}

// StartStandalone sets up the log and the signals, and reads the operator's file, which must have enabled what the
// process is for. The error is a diagnostic.List; want is what it says of a file that has not.
func StartStandalone(options Options, want string, enabled func(*config.Operator) bool) (*Standalone, error) {
	started := &Standalone{operatorPath: options.OperatorPath, signals: notifySignals()}
	logging.Setup(os.Stderr, options.LogFormat)
	var err error
	if started.OperatorConfig, err = LoadOperatorConfig(options.OperatorPath); err != nil {
		return nil, err
	}
	if !enabled(&started.OperatorConfig.File) {
		return nil, diagnostic.List{{File: options.OperatorPath, Want: want}}
	}
	options.setLogFormat(&started.OperatorConfig)
	started.OperatorConfig.File.Renamed.Warn()
	return started, nil
}

// Terminated receives a signal to terminate, until HandleSignals takes them.
func (s *Standalone) Terminated() <-chan os.Signal { return s.signals.terminate }

// HandleSignals calls drain for a signal to terminate, and reload with the operator's file as it is now for one to
// reload, on the calling goroutine. It never returns. A file that is being written may be wrong for a moment: the
// old one holds, and the next signal reads it again.
func (s *Standalone) HandleSignals(drain func(), reload func(*OperatorConfig)) {
	current := s.OperatorConfig
	for {
		select {
		case <-s.signals.terminate:
			drain()
			continue
		case <-s.signals.reload:
		}
		next, err := LoadOperatorConfig(s.operatorPath)
		if err == nil {
			err = next.checkUnchanged(&current)
		}
		if err != nil {
			slog.Warn(reloadFailedMessage, "err", err)
			continue
		}
		current = next
		next.File.Renamed.Warn()
		reload(&next)
		slog.Info(reloadedMessage, "file", s.operatorPath)
	}
}
