package amqp

import (
	"errors"
	"net"
	"strconv"

	client "github.com/rabbitmq/amqp091-go"
)

// connectionCode is why a connection was not opened, or why it was closed, as the log names it.
type connectionCode string

const (
	codeUnreachable  connectionCode = "unreachable"
	codeTimeout      connectionCode = "timeout"
	codeLoginRefused connectionCode = "login-refused"
	codeVhost        connectionCode = "vhost" // the login may not use the virtual host, or there is none

	codeClosed   connectionCode = "closed"   // by the broker, or it is gone
	codeShutdown connectionCode = "shutdown" // by us, at the end of a drain
	codeFailback connectionCode = "failback" // by us, to return to the preferred broker
)

// amqpCode is the code of an exception of the protocol.
func amqpCode(err *client.Error) connectionCode {
	return connectionCode("amqp-" + strconv.Itoa(err.Code))
}

// connectErrorCode is why a connection was not opened.
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
