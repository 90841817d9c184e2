package lifecycle

import (
	"log/slog"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/logging"
)

// AgentProcessors is GOMAXPROCS of a process that serves no requests. One of the processors is for the gossip sockets.
const AgentProcessors = 2

// Standalone is a process that is configured by an operator's file and is not an instance: a proxy, an allocator or
// a coordinator.
type Standalone struct {
	OperatorConfig OperatorConfig // at the start

	operatorPath string
	signals      signalChannels
}

// StartStandalone sets up the log and the signal handling, and reads the operator's file, which must enable the role
// of the process. The error is a diagnostic.List. If enabled returns false, its only diagnostic has the text want.
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

// TerminateSignals returns the channel of signals to terminate. It must not be used after HandleSignals is called,
// which receives from the same channel.
func (s *Standalone) TerminateSignals() <-chan os.Signal { return s.signals.terminate }

// HandleSignals calls drain for each signal to terminate. For each signal to reload it reads the operator's file again
// and calls reload with it. Both are called on the calling goroutine. It never returns. A file that is being written
// may be invalid for a moment: the previous one then stays in force, and the next signal reads the file again.
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
