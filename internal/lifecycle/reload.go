package lifecycle

import (
	"crypto/tls"
	"log/slog"
	"sync/atomic"
	"time"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/server"
)

// reloader keeps a running instance on what its files say.
type reloader struct {
	server         *server.Server
	configPath     string         // of the configuration
	operatorPath   string         // of the operator's file, empty if there is none
	operatorConfig OperatorConfig // what is in force of it
	serverTLS      atomic.Pointer[tls.Config]
	pause          func()                // between two readings: for as long as still
	reloadFleet    func(*OperatorConfig) // takes the section [fleet] anew; nil where there is none
}

// handleSignals carries out what signals ask for: SIGTERM to leave, SIGHUP to go by the files as they are now.
// Danger: a file that can't be read, or is still being written, must not end or change a running instance. The old ones
// stay in force and the files are read again, soon and then less and less often.
func (k *reloader) handleSignals(signals SignalChannels) {
	const minRetry, maxRetry = 50 * time.Millisecond, 5 * time.Second // a file takes far less to write; a person far more
	var retry <-chan time.Time
	var wait time.Duration
	wanted, reading := false, false
	results := make(chan reloadResult, 1)
	for {
		select {
		case <-signals.Terminate:
			k.server.Post(k.server.Drain)
			continue
		case <-signals.Reload:
			wanted, wait = true, 0
		case <-retry:
			wanted = true
		case result := <-results:
			reading = false
			err := result.err
			if err == nil {
				err = k.apply(result)
			}
			if err != nil {
				if wait == 0 {
					slog.Warn("configuration-kept", "err", err)
				}
				wait = min(max(2*wait, minRetry), maxRetry)
				retry = time.After(wait)
			}
		}
		// Danger: a disk that hangs would keep the notice to leave from us. Files are read aside, one reading at a time.
		if wanted && !reading {
			wanted, reading, retry = false, true, nil
			go func() { results <- k.read() }()
		}
	}
}

// reloadResult is what the files say now.
type reloadResult struct {
	config         server.Config
	operatorConfig OperatorConfig
	err            error
}

// stableFor is how long files have to stay as they are before they count: some times what a program takes between two writes.
const stableFor = 20 * time.Millisecond

// read reads all files. Danger: a file that is cut off behind a whole line reads as one that says less. What is still being
// written is another one a moment later.
func (k *reloader) read() (result reloadResult) {
	if result.config, result.err = LoadConfig(k.configPath); result.err != nil || k.operatorPath == "" {
		return result
	}
	if result.operatorConfig, result.err = LoadOperatorConfig(k.operatorPath); result.err != nil {
		return result
	}
	k.pause()
	second, err := LoadOperatorConfig(k.operatorPath)
	if result.err = err; err == nil && second.digest != result.operatorConfig.digest {
		result.err = diagnostic.List{{File: k.operatorPath, Want: "or a file it names, is being written"}}
	}
	return result
}

// apply puts in force what was read, all of it or nothing.
func (k *reloader) apply(result reloadResult) error {
	if k.operatorPath != "" {
		if err := result.operatorConfig.checkUnchanged(&k.operatorConfig); err != nil {
			return err
		}
		k.operatorConfig = result.operatorConfig
		result.operatorConfig.File.Renamed.Warn()
		if result.operatorConfig.serverTLS != nil {
			k.serverTLS.Store(result.operatorConfig.serverTLS)
		}
		k.server.Post(func() { k.server.UpdateAuthn(result.operatorConfig.Authn) })
		if k.reloadFleet != nil {
			k.reloadFleet(&result.operatorConfig)
		}
		slog.Info("operated", "file", k.operatorPath, "keys", result.operatorConfig.keyCount(), "roles", len(result.operatorConfig.File.Callers.Roles),
			"callers", len(result.operatorConfig.File.Callers.Bindings))
	}
	k.server.Post(func() { k.server.UpdateAddresses(result.config) })
	return nil
}

func (o *OperatorConfig) keyCount() int {
	if o.Authn == nil {
		return 0
	}
	return len(o.Authn.KeySet.Keys())
}
