package amqp

import (
	"errors"
	"net"
	"strconv"

	client "github.com/rabbitmq/amqp091-go"
)

// connectionCode is the reason why a connection could not be opened or was closed, as logged under the key code.
type connectionCode string

const (
	codeUnreachable  connectionCode = "unreachable"
	codeTimeout      connectionCode = "timeout"
	codeLoginRefused connectionCode = "login-refused"
	codeVhost        connectionCode = "vhost" // the virtual host does not exist or the login may not use it

	codeClosed   connectionCode = "closed"   // closed by the broker, or lost
	codeShutdown connectionCode = "shutdown" // closed by the consumer at the end of a drain
	codeFailback connectionCode = "failback" // closed by the consumer to return to the preferred broker
)

// amqpCode returns the code of a protocol exception: "amqp-" and the reply code.
func amqpCode(err *client.Error) connectionCode {
	return connectionCode("amqp-" + strconv.Itoa(err.Code))
}

// connectErrorCode returns the reason why a connection could not be opened.
func connectErrorCode(err error) connectionCode {
	var exception *client.Error
	var netError net.Error
	switch {
	case errors.Is(err, client.ErrCredentials), errors.As(err, &exception) && exception.Code == client.AccessRefused:
		return codeLoginRefused
	case errors.Is(err, client.ErrVhost):
		return codeVhost
	case errors.As(err, &netError) && netError.Timeout():
		return codeTimeout
	case errors.As(err, &exception):
		return amqpCode(exception)
	}
	return codeUnreachable
}
