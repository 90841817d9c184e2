package amqp

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"

	client "github.com/rabbitmq/amqp091-go"
)

func TestConnectErrorCode(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		want connectionCode
	}{
		{"credentials", client.ErrCredentials, "login-refused"},
		{"access refused", fmt.Errorf("open: %w", &client.Error{Code: client.AccessRefused}), "login-refused"},
		{"timeout", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, "timeout"},
		{"exception", &client.Error{Code: client.ConnectionForced}, "amqp-320"},
		{"other", errors.New("connection refused"), "unreachable"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := connectErrorCode(tt.err); got != tt.want {
				t.Errorf("%v has code %q, want %q", tt.err, got, tt.want)
			}
		})
	}
}

func TestIsSmallChange(t *testing.T) {
	for _, tt := range []struct {
		previous, target int
		want             bool
	}{
		{100, 91, true},
		{100, 111, true},
		{100, 90, false},
		{100, 112, false},
		{1, 0, false},
		{0, 1, false},
		{2, 1, false},
	} {
		if got := isSmallChange(tt.previous, tt.target); got != tt.want {
			t.Errorf("change from %d to %d: small is %v, want %v", tt.previous, tt.target, got, tt.want)
		}
	}
}
