package lifecycle

import (
	"crypto/sha256"
	"crypto/tls"

	"lanewheel/internal/authn"
	"lanewheel/internal/config"
	"lanewheel/internal/membership"
)

// OperatorConfig is an operator's file with all that it names, read and checked whole.
type OperatorConfig struct {
	File      config.Operator
	Authn     *authn.Config // nil: all may do everything
	serverTLS *tls.Config   // nil: no listener with TLS

	ClusterKeys []membership.Key // the first is the one to write with
	digest      [sha256.Size]byte
}

// LoadOperatorConfig reads an operator's file and the keys, certificates and lists that it names. Whatever is wrong is the error; then
// nothing of it counts.
func LoadOperatorConfig(path string) (operatorConfig OperatorConfig, err error) {
	digest := fileDigest{sha256.New()}
	if path == "" {
		operatorConfig.File, err = config.Load(path)
		return operatorConfig, err
	}
	text, err := digest.readFile(path)
	if err != nil {
		return operatorConfig, err
	}
	if operatorConfig.File, err = config.Parse(path, text); err != nil {
		return operatorConfig, err
	}
	file := &operatorConfig.File
	if file.Callers.Enabled {
		operatorConfig.Authn = &authn.Config{Policy: file.Callers.Policy, MaxRateEntries: file.Callers.MaxRateEntries}
	}
	if file.Tokens.Enabled {
		if err := digest.readTokens(&file.Tokens, operatorConfig.Authn); err != nil {
			return operatorConfig, err
		}
	}
	if file.TLS.Enabled {
		if operatorConfig.serverTLS, err = digest.readServerTLS(&file.TLS, operatorConfig.Authn); err != nil {
			return operatorConfig, err
		}
	}
	if file.Fleet.Enabled {
		if err := digest.readFleet(&operatorConfig); err != nil {
			return operatorConfig, err
		}
	}
	if file.AMQP.Enabled {
		if err := digest.readAMQP(&operatorConfig); err != nil {
			return operatorConfig, err
		}
	}
	digest.Sum(operatorConfig.digest[:0])
	return operatorConfig, nil
}
