package lifecycle

import (
	"crypto/tls"
	"log/slog"
	"sync/atomic"
	"time"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/server"
)

// Before a reload that failed is tried again: a file takes far less to write than the first, a person far more.
const (
	minReloadRetry = 50 * time.Millisecond
	maxReloadRetry = 5 * time.Second
)

// stabilityDelay is how long files have to stay as they are before they count: longer than a program takes between two
// writes.
const stabilityDelay = 20 * time.Millisecond

// Log messages of a reload, of an instance and of a standalone process.
const (
	reloadFailedMessage = "reload failed, configuration kept"
	reloadedMessage     = "operator configuration reloaded"
)

// reloader has a running server go by its files as they are now. Owned by the goroutine of handleSignals, but for
// serverTLS, which handshakes read.
type reloader struct {
	server         *server.Server
	configPath     string
	operatorPath   string         // empty: no operator's file
	operatorConfig OperatorConfig // in force
	reloadFleet    func(*OperatorConfig)
	serverTLS      atomic.Pointer[tls.Config]
	pause          func() // between two readings
}

func newReloader(options Options, operatorConfig OperatorConfig) *reloader {
	return &reloader{
		configPath:     options.ConfigPath,
		operatorPath:   options.OperatorPath,
		operatorConfig: operatorConfig,
		pause:          func() { time.Sleep(stabilityDelay) },
	}
}

// handleSignals carries out what signals ask for. It never returns. A file that can't be read, or is being written,
// must neither end nor change a running instance: the old ones stay in force, and the files are read again, soon
// and then less and less often. They are read on another goroutine, one reading at a time, so that a disk that
// hangs does not keep the signal to terminate from the server.
func (r *reloader) handleSignals(signals signalChannels) {
	var retry <-chan time.Time
	var wait time.Duration // before the last retry; 0: no reading has failed since the signal
	wanted, reading := false, false
	results := make(chan reloadResult, 1)
	for {
		select {
		case <-signals.terminate:
			r.server.Post(r.server.Drain)
			continue
		case <-signals.reload:
			wanted = true
			wait = 0
		case <-retry:
			wanted = true
		case result := <-results:
			reading = false
			if err := r.apply(result); err != nil {
				if wait == 0 {
					slog.Warn(reloadFailedMessage, "err", err)
				}
				wait = min(max(2*wait, minReloadRetry), maxReloadRetry)
				retry = time.After(wait)
			}
		}
		if wanted && !reading {
			wanted, reading = false, true
			retry = nil
			go func() { results <- r.read() }()
		}
	}
}

// reloadResult is what the files say now, or what is wrong with them.
type reloadResult struct {
	config         server.Config
	operatorConfig OperatorConfig
	err            error
}

// read reads all files. The operator's files are read twice: one that is cut off behind a whole line reads as one that
// says less, and what is being written is different a moment later.
func (r *reloader) read() (result reloadResult) {
	if result.config, result.err = LoadConfig(r.configPath); result.err != nil || r.operatorPath == "" {
		return result
	}
	if result.operatorConfig, result.err = LoadOperatorConfig(r.operatorPath); result.err != nil {
		return result
	}
	r.pause()
	second, err := LoadOperatorConfig(r.operatorPath)
	if err == nil && second.digest != result.operatorConfig.digest {
		err = diagnostic.List{{File: r.operatorPath, Want: "or a file it names, is being written"}}
	}
	result.err = err
	return result
}

// apply puts in force what was read, all of it or nothing.
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
