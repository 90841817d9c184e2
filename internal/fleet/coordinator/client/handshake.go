package client

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"

	"lanewheel/internal/membership"
)

// Stewards and operators speak on one listener. Whoever connects proves that he has the cluster's key before anything else is read, and says what he
// wants: a steward's stream, or one question as a line of JSON.

// Kinds of connection, the first byte of the proof.
const (
	PeerConnection   byte = 'r'
	ClientConnection byte = 'o'
)

const (
	handshakeTimeout = 2 * time.Second  // some round trips of a poor link
	RequestTimeout   = 15 * time.Second // a question takes
	MaxRequestBytes  = 1 << 20          // bytes of a question: budgets and plans of thousands of lines
)

// ErrUnauthenticated is that the other side is none of ours.
var ErrUnauthenticated = errors.New("who connects does not have the cluster's key")

// handshakeMAC is the proof of one side over both sides' numbers. An empty key proves nothing, and there are none without.
func handshakeMAC(key membership.Key, side byte, nonces []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{side})
	mac.Write(nonces)
	return mac.Sum(nil)
}

// clientHandshake is the proof of who dials: both draw a number, both prove that they know the key. Danger: a stranger that listens where a steward was.
func clientHandshake(conn net.Conn, keys []membership.Key, connectionKind byte) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var ownNonce, peerNonce [16]byte
	if _, err := rand.Read(ownNonce[:]); err != nil {
		return err
	}
	if _, err := conn.Write(ownNonce[:]); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, peerNonce[:]); err != nil {
		return err
	}
	transcript := append(append(peerNonce[:], ownNonce[:]...), connectionKind)
	if _, err := conn.Write(append([]byte{connectionKind}, handshakeMAC(keys[0], 'd', transcript)...)); err != nil {
		return err
	}
	peerMAC := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, peerMAC); err != nil {
		return ErrUnauthenticated
	}
	for _, key := range keys {
		if hmac.Equal(peerMAC, handshakeMAC(key, 'l', transcript)) {
			return conn.SetDeadline(time.Time{})
		}
	}
	return ErrUnauthenticated
}

// ServerHandshake is the other side: it gives what the one who connected wants.
func ServerHandshake(conn net.Conn, keys []membership.Key) (kind byte, err error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var ownNonce, peerNonce [16]byte
	if _, err := rand.Read(ownNonce[:]); err != nil {
		return 0, err
	}
	if _, err := io.ReadFull(conn, peerNonce[:]); err != nil {
		return 0, err
	}
	if _, err := conn.Write(ownNonce[:]); err != nil {
		return 0, err
	}
	proof := make([]byte, 1+sha256.Size)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return 0, err
	}
	transcript := append(append(ownNonce[:], peerNonce[:]...), proof[0])
	for _, key := range keys {
		if hmac.Equal(proof[1:], handshakeMAC(key, 'd', transcript)) {
			if _, err := conn.Write(handshakeMAC(key, 'l', transcript)); err != nil {
				return 0, err
			}
			return proof[0], conn.SetDeadline(time.Time{})
		}
	}
	return 0, ErrUnauthenticated
}

// Dial connects, proves the key and has it proven.
func Dial(addr, localIP string, keys []membership.Key, kind byte, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := clientHandshake(conn, keys, kind); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}
