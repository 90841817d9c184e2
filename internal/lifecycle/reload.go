package lifecycle

import (
	"crypto/tls"
	"log/slog"
	"sync/atomic"
	"time"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/server"
)

// Bounds of the delay before a failed reload is retried. Writing a file takes far less than the minimum; a person takes
// far longer.
const (
	minReloadRetryDelay = 50 * time.Millisecond
	maxReloadRetryDelay = 5 * time.Second
)

// stabilityDelay is how long files must remain unchanged before they are applied. It is longer than the time that
// a program takes between two writes.
const stabilityDelay = 20 * time.Millisecond

// Log messages about reloads of an instance or a standalone process.
const (
	reloadFailedMessage = "reload failed, configuration kept"
	reloadedMessage     = "operator configuration reloaded"
)

// reloader applies changed files to a running server. It is owned by the goroutine of handleSignals, except serverTLS,
// which TLS handshakes read.
type reloader struct {
	server           *server.Server
	configPath       string
	operatorPath     string         // empty if there is no operator's file
	operatorConfig   OperatorConfig // in force
	reloadFleet      func(*OperatorConfig)
	serverTLS        atomic.Pointer[tls.Config]
	waitBetweenReads func() // waits between the two reads of the operator's files
}

func newReloader(options Options, operatorConfig OperatorConfig) *reloader {
	return &reloader{
		configPath:       options.ConfigPath,
		operatorPath:     options.OperatorPath,
		operatorConfig:   operatorConfig,
		waitBetweenReads: func() { time.Sleep(stabilityDelay) },
	}
}

// handleSignals handles the signals to terminate and to reload. It never returns. A file that can't be read, or that
// is being written, must neither stop nor change a running instance: the previous configuration stays in force, and
// the files are read again with a growing delay. They are read on another goroutine, one read at a time, so that
// a disk that hangs does not keep the signal to terminate from the server.
func (r *reloader) handleSignals(signals signalChannels) {
	var retry <-chan time.Time
	var retryDelay time.Duration // before the last retry; 0 if no read has failed since the signal
	requested, reading := false, false
	results := make(chan reloadResult, 1)
	for {
		select {
		case <-signals.terminate:
			r.server.Post(r.server.Drain)
			continue
		case <-signals.reload:
			requested = true
			retryDelay = 0
		case <-retry:
			requested = true
		case result := <-results:
			reading = false
			if err := r.apply(result); err != nil {
				if retryDelay == 0 {
					slog.Warn(reloadFailedMessage, "err", err)
				}
				retryDelay = min(max(2*retryDelay, minReloadRetryDelay), maxReloadRetryDelay)
				retry = time.After(retryDelay)
			}
		}
		if requested && !reading {
			requested, reading = false, true
			retry = nil
			go func() { results <- r.read() }()
		}
	}
}

// reloadResult holds the contents of the files, or the error that occurred when they were read.
type reloadResult struct {
	config         server.Config
	operatorConfig OperatorConfig
	err            error
}

// read reads all files. The operator's files are read twice, with a delay between: a file that is truncated after
// a complete line parses as one with fewer settings, and a file that is being written differs at the second read.
func (r *reloader) read() (result reloadResult) {
	if result.config, result.err = LoadConfig(r.configPath); result.err != nil || r.operatorPath == "" {
		return result
	}
	if result.operatorConfig, result.err = LoadOperatorConfig(r.operatorPath); result.err != nil {
		return result
	}
	r.waitBetweenReads()
	second, err := LoadOperatorConfig(r.operatorPath)
	if err == nil && second.digest != result.operatorConfig.digest {
		err = diagnostic.List{{File: r.operatorPath, Want: "this file or a file that it names is being written"}}
	}
	result.err = err
	return result
}

// apply puts the files that were read in force: all of them, or none if it returns an error.
func (r *reloader) apply(result reloadResult) error {
	if result.err != nil {
		return result.err
	}
	if r.operatorPath != "" {
		if err := r.applyOperatorConfig(result.operatorConfig); err != nil {
			return err
		}
	}
	r.server.Post(func() { r.server.UpdateAddresses(result.config) })
	return nil
}

func (r *reloader) applyOperatorConfig(operatorConfig OperatorConfig) error {
	if err := operatorConfig.checkUnchanged(&r.operatorConfig); err != nil {
		return err
	}
	r.operatorConfig = operatorConfig
	operatorConfig.File.Renamed.Warn()
	if operatorConfig.serverTLS != nil {
		r.serverTLS.Store(operatorConfig.serverTLS)
	}
	r.server.Post(func() { r.server.UpdateAuthn(operatorConfig.Authn) })
	if r.reloadFleet != nil {
		r.reloadFleet(&operatorConfig)
	}
	callers := &operatorConfig.File.Callers
	slog.Info(reloadedMessage, "file", r.operatorPath, "keys", operatorConfig.keyCount(),
		"roles", len(callers.Roles), "callers", len(callers.Bindings))
	return nil
}
