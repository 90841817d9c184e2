package lifecycle

import (
	"crypto/sha256"
	"crypto/tls"

	"lanewheel/internal/authn"
	"lanewheel/internal/config"
	"lanewheel/internal/membership"
)

// OperatorConfig holds an operator's file and all files that it names, read and checked as a whole. It is immutable
// after it has been read.
type OperatorConfig struct {
	File        config.Operator
	Authn       *authn.Config    // nil if every caller is allowed to do everything
	ClusterKeys []membership.Key // the first is the key for outgoing messages

	serverTLS *tls.Config // nil if there is no listener with TLS
	digest    digest      // of all files
}

// digest identifies the contents of all files that were read, so that two reads can be compared.
type digest [sha256.Size]byte

// LoadOperatorConfig reads an operator's file and the keys, certificates and lists that it names. An empty path stands
// for a file that enables nothing. The error is a diagnostic.List, or the reason why a folder could not be read.
func LoadOperatorConfig(path string) (OperatorConfig, error) {
	if path == "" {
		file, err := config.Load(path)
		return OperatorConfig{File: file}, err
	}
	files := newFileReader()
	loaded, err := files.readOperatorConfig(path)
	if err != nil {
		return loaded, err
	}
	loaded.digest = files.digest()
	return loaded, nil
}

// readOperatorConfig reads an operator's file and all files that it names.
func (r *fileReader) readOperatorConfig(path string) (loaded OperatorConfig, err error) {
	text, err := r.readFile(path)
	if err != nil {
		return loaded, err
	}
	if loaded.File, err = config.Parse(path, text); err != nil {
		return loaded, err
	}
	file := &loaded.File
	if file.Callers.Enabled {
		loaded.Authn = &authn.Config{Policy: file.Callers.Policy, MaxRateEntries: file.Callers.MaxRateEntries}
	}
	for _, section := range []struct {
		enabled bool
		read    func(*OperatorConfig) error
	}{
		{file.Tokens.Enabled, r.readTokens},
		{file.TLS.Enabled, r.readServerTLS},
		{file.Fleet.Enabled, r.readFleet},
		{file.AMQP.Enabled, r.readAMQP},
	} {
		if !section.enabled {
			continue
		}
		if err := section.read(&loaded); err != nil {
			return loaded, err
		}
	}
	return loaded, nil
}

// keyCount returns the number of keys that tokens are verified with.
func (o *OperatorConfig) keyCount() int {
	if o.Authn == nil {
		return 0
	}
	return len(o.Authn.KeySet.Keys())
}
