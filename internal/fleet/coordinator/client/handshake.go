package client

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"lanewheel/internal/membership"
)

// Coordinators and operators share one listener. Both sides of a connection prove that they have the cluster's key
// before anything else is read:
//
//	dialer    16 random bytes
//	listener  16 random bytes
//	dialer    the kind of connection and a MAC
//	listener  a MAC
//
// A MAC is HMAC-SHA256 over the side's letter, the listener's and the dialer's bytes and the kind. The bytes of both
// sides are in both MACs: what was recorded of an earlier connection proves nothing, and neither does a side's own
// MAC.

// ConnectionKind is what a connection is for.
type ConnectionKind byte

// The kinds of connection, as they are spoken.
const (
	PeerConnection   ConnectionKind = 'r' // the stream of another coordinator
	ClientConnection ConnectionKind = 'o' // one request and its response
)

// side is the letter of one side of a connection in its MAC.
type side byte

const (
	dialerSide   side = 'd'
	listenerSide side = 'l'
)

const (
	nonceSize        = 16 // bytes
	handshakeTimeout = 2 * time.Second
)

// ErrUnauthenticated is that the other side does not have the cluster's key.
var ErrUnauthenticated = errors.New("the other side does not have the cluster's key")

// handshakeMAC is what proves one side's key.
func handshakeMAC(key membership.Key, from side, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{byte(from)})
	mac.Write(transcript)
	return mac.Sum(nil)
}

// transcript is what both MACs are over.
func transcript(listenerNonce, dialerNonce []byte, kind ConnectionKind) []byte {
	return append(slices.Concat(listenerNonce, dialerNonce), byte(kind))
}

// findKey is the key that a MAC was made with, nil if with none of them.
func findKey(keys []membership.Key, mac []byte, from side, transcript []byte) membership.Key {
	for _, key := range keys {
		if hmac.Equal(mac, handshakeMAC(key, from, transcript)) {
			return key
		}
	}
	return nil
}

// newNonce returns the random bytes of one side.
func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceSize)
	_, err := rand.Read(nonce)
	return nonce, err
}

// clientHandshake proves the key to the listener and has it prove its own, so that a stranger that listens at a
// coordinator's address gets no request.
func clientHandshake(conn net.Conn, keys []membership.Key, kind ConnectionKind) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	dialerNonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(dialerNonce); err != nil {
		return err
	}
	listenerNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(conn, listenerNonce); err != nil {
		return err
	}
	signed := transcript(listenerNonce, dialerNonce, kind)
	proof := append([]byte{byte(kind)}, handshakeMAC(keys[0], dialerSide, signed)...)
	if _, err := conn.Write(proof); err != nil {
		return err
	}
	mac := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return ErrUnauthenticated // a listener that refuses our key closes
	}
	if findKey(keys, mac, listenerSide, signed) == nil {
		return ErrUnauthenticated
	}
	return conn.SetDeadline(time.Time{})
}

// ServerHandshake is the listener's side: it returns what the dialer wants once both sides have proven their keys, and
// ErrUnauthenticated if the dialer has not.
func ServerHandshake(conn net.Conn, keys []membership.Key) (ConnectionKind, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return 0, err
	}
	listenerNonce, err := newNonce()
	if err != nil {
		return 0, err
	}
	dialerNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(conn, dialerNonce); err != nil {
		return 0, err
	}
	if _, err := conn.Write(listenerNonce); err != nil {
		return 0, err
	}
	proof := make([]byte, 1+sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return 0, err
	}
	kind := ConnectionKind(proof[0])
	signed := transcript(listenerNonce, dialerNonce, kind)
	key := findKey(keys, proof[1:], dialerSide, signed)
	if key == nil {
		return 0, ErrUnauthenticated
	}
	if _, err := conn.Write(handshakeMAC(key, listenerSide, signed)); err != nil {
		return 0, err
	}
	return kind, conn.SetDeadline(time.Time{})
}

// Dialer dials coordinators.
type Dialer struct {
	Keys    []membership.Key // the first one is proven, any of them is accepted
	LocalIP string           // address to dial from, empty for any
	Timeout time.Duration    // of the connect; the handshake has its own
}

// Dial connects to a coordinator and does the handshake. It blocks.
func (d Dialer) Dial(addr string, kind ConnectionKind) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout}
	if d.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.LocalIP)}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr) // bounded by the timeout
	if err != nil {
		return nil, err
	}
	if err := clientHandshake(conn, d.Keys, kind); err != nil {
		_ = conn.Close() // the handshake's error is what matters
		return nil, err
	}
	return conn, nil
}
