package lifecycle

import (
	"log/slog"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/logging"
)

// StartStandalone begins the start of a process beside the instances: the log, the signals, and the operator's file, which has to have what on tells of. want names
// that for whoever reads why it did not start.
func StartStandalone(operatorPath, logFormat, want string, enabled func(*config.Operator) bool) (signals SignalChannels, operatorConfig OperatorConfig, err error) {
	signals = notifySignals()
	logging.Setup(os.Stderr, logging.Format(logFormat))
	if operatorConfig, err = LoadOperatorConfig(operatorPath); err != nil {
		return signals, operatorConfig, err
	}
	if !enabled(&operatorConfig.File) {
		return signals, operatorConfig, diagnostic.List{{File: operatorPath, Want: want}}
	}
	if logFormat == "" {
		logging.Setup(os.Stderr, logging.Format(operatorConfig.File.Log.Format))
	}
	operatorConfig.File.Renamed.Warn()
	return signals, operatorConfig, nil
}

// HandleSignals carries out what signals ask of a process beside the instances: leave, or go by the operator's file as it is now. A file that is being
// written may be wrong for a moment: the old one holds, and the next notice reads it again.
func HandleSignals(signals SignalChannels, operatorPath string, current OperatorConfig, drain func(), reload func(*OperatorConfig)) {
	for {
		select {
		case <-signals.Terminate:
			drain()
			continue
		case <-signals.Reload:
		}
		next, err := LoadOperatorConfig(operatorPath)
		if err == nil {
			err = checkUnchanged(&next, &current)
		}
		if err != nil {
			slog.Warn("configuration-kept", "err", err)
			continue
		}
		current = next
		next.File.Renamed.Warn()
		reload(&next)
		slog.Info("operated", "file", operatorPath)
	}
}
