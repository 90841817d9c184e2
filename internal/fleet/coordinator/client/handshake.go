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
// before any other data is read. They send in this order:
//
//	dialer    nonce: 16 random bytes
//	listener  nonce: 16 random bytes
//	dialer    the kind of the connection, and a MAC
//	listener  a MAC
//
// A MAC is HMAC-SHA256 over the letter of its side, the listener's nonce, the dialer's nonce and the kind. Both nonces
// are part of both MACs, so a MAC recorded on an earlier connection is invalid. The letter makes a MAC invalid if it is
// sent back to the side that computed it.

// ConnectionKind is the purpose of a connection.
type ConnectionKind byte

// The kinds of connections. Their values are part of the protocol.
const (
	PeerConnection   ConnectionKind = 'r' // a raft stream of another coordinator
	ClientConnection ConnectionKind = 'o' // one request and its response
)

// side is the letter that identifies one side of a connection in its MAC.
type side byte

const (
	dialerSide   side = 'd'
	listenerSide side = 'l'
)

const (
	nonceSize        = 16 // bytes
	handshakeTimeout = 2 * time.Second
)

// ErrUnauthenticated is returned if the other side does not prove that it has the cluster's key.
var ErrUnauthenticated = errors.New("the other side does not have the cluster's key")

// handshakeMAC returns the MAC by which one side proves that it has the key.
func handshakeMAC(key membership.Key, from side, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{byte(from)})
	mac.Write(transcript)
	return mac.Sum(nil)
}

// transcript returns the data that both MACs authenticate.
func transcript(listenerNonce, dialerNonce []byte, kind ConnectionKind) []byte {
	return append(slices.Concat(listenerNonce, dialerNonce), byte(kind))
}

// findKey returns the key that the MAC was computed with, or nil if it is none of the keys.
func findKey(keys []membership.Key, mac []byte, from side, transcript []byte) membership.Key {
	for _, key := range keys {
		if hmac.Equal(mac, handshakeMAC(key, from, transcript)) {
			return key
		}
	}
	return nil
}

// newNonce returns the nonce of one side.
func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceSize)
	_, err := rand.Read(nonce)
	return nonce, err
}

// clientHandshake proves to the listener that the dialer has the first key, and verifies that the listener has one of
// the keys. A process without the key that listens on a coordinator's address therefore receives no request. It returns
// ErrUnauthenticated if the listener's MAC is missing or is not valid for any of the keys.
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
	authenticated := transcript(listenerNonce, dialerNonce, kind)
	proof := append([]byte{byte(kind)}, handshakeMAC(keys[0], dialerSide, authenticated)...)
	if _, err := conn.Write(proof); err != nil {
		return err
	}
	mac := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, mac); err != nil {
		return ErrUnauthenticated // a listener that rejects the key closes the connection
	}
	if findKey(keys, mac, listenerSide, authenticated) == nil {
		return ErrUnauthenticated
	}
	return conn.SetDeadline(time.Time{})
}

// ServerHandshake performs the listener's side of the handshake and returns the kind of the connection. It returns
// ErrUnauthenticated if the dialer does not prove that it has one of the keys.
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
	authenticated := transcript(listenerNonce, dialerNonce, kind)
	key := findKey(keys, proof[1:], dialerSide, authenticated)
	if key == nil {
		return 0, ErrUnauthenticated
	}
	if _, err := conn.Write(handshakeMAC(key, listenerSide, authenticated)); err != nil {
		return 0, err
	}
	return kind, conn.SetDeadline(time.Time{})
}

// Dialer opens authenticated connections to coordinators.
type Dialer struct {
	Keys    []membership.Key // the dialer proves that it has the first key; the listener may have any of them
	LocalIP string           // address to dial from, empty for any
	Timeout time.Duration    // of the connect; the handshake is limited by handshakeTimeout
}

// Dial connects to a coordinator and performs the handshake. It blocks. It returns ErrUnauthenticated if the
// coordinator does not prove that it has one of the keys.
func (d Dialer) Dial(addr string, kind ConnectionKind) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.Timeout}
	if d.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.LocalIP)}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr) // limited by the timeout
	if err != nil {
		return nil, err
	}
	if err := clientHandshake(conn, d.Keys, kind); err != nil {
		_ = conn.Close() // the error of the handshake takes precedence
		return nil, err
	}
	return conn, nil
}
