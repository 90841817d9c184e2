package client

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"lanewheel/internal/membership"
)

// documentedListener performs the listener's side of the handshake. It implements the documentation independently: a
// nonce of 16 bytes from each side, the kind, and HMAC-SHA256 over the side's letter, the listener's nonce, the
// dialer's nonce and the kind.
func documentedListener(conn net.Conn, key []byte) (kind byte, err error) {
	ownNonce := []byte("listener's bytes")
	peerNonce := make([]byte, 16)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return 0, err
	}
	if _, err := conn.Write(ownNonce); err != nil {
		return 0, err
	}
	proof := make([]byte, 33)
	if _, err := io.ReadFull(conn, proof); err != nil {
		return 0, err
	}
	if !hmac.Equal(proof[1:], documentedMAC(key, "d"+string(ownNonce)+string(peerNonce)+string(proof[:1]))) {
		return 0, errors.New("the dialer's MAC differs from the documented one")
	}
	_, err = conn.Write(documentedMAC(key, "l"+string(ownNonce)+string(peerNonce)+string(proof[:1])))
	return proof[0], err
}

// documentedMAC returns the HMAC-SHA256 of a text.
func documentedMAC(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// The MAC and the letters of the connection kinds have fixed values, and the listener accepts a dialer that follows the
// documentation.
func TestHandshakeGolden(t *testing.T) {
	const want = "d2b5fc6ec5591b99529923fc42469d4f235c0081d186a6f9249ec08b2bbd9c2f"
	got := hex.EncodeToString(handshakeMAC(clusterKey, 'd', []byte("listener's bytesdialer's bytes..o")))
	if got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if PeerConnection != 'r' || ClientConnection != 'o' {
		t.Error(PeerConnection, ClientConnection)
	}
	for _, kind := range []ConnectionKind{PeerConnection, ClientConnection} {
		checkServerHandshake(t, kind)
	}
}

// checkServerHandshake performs the dialer's side as documented, with the second of the listener's keys.
func checkServerHandshake(t *testing.T, kind ConnectionKind) {
	t.Helper()
	listener, dialer := net.Pipe()
	defer func() { _, _ = listener.Close(), dialer.Close() }()
	done := make(chan error, 1)
	go func() {
		keys := []membership.Key{membership.Key("another key of as many bytes...."), clusterKey}
		got, err := ServerHandshake(listener, keys)
		if err == nil && got != kind {
			err = fmt.Errorf("kind is %q, want %q", got, kind)
		}
		done <- err
	}()
	ownNonce, peerNonce := []byte("dialer's bytes.."), make([]byte, 16)
	if _, err := dialer.Write(ownNonce); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(dialer, peerNonce); err != nil {
		t.Fatal(err)
	}
	signed := string(peerNonce) + string(ownNonce) + string(byte(kind))
	if _, err := dialer.Write(append([]byte{byte(kind)}, documentedMAC(clusterKey, "d"+signed)...)); err != nil {
		t.Fatal(err)
	}
	proof := make([]byte, 32)
	if _, err := io.ReadFull(dialer, proof); err != nil || !hmac.Equal(proof, documentedMAC(clusterKey, "l"+signed)) {
		t.Error("the listener's MAC differs from the documented one:", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// The handshake fails on both sides if their keys differ, so that neither a request nor a response is sent.
func TestHandshakeOtherKey(t *testing.T) {
	listener, dialer := net.Pipe()
	serverErr := make(chan error, 1)
	go func() {
		_, err := ServerHandshake(listener, []membership.Key{clusterKey})
		serverErr <- errors.Join(err, listener.Close())
	}()
	other := []membership.Key{membership.Key("another key of as many bytes....")}
	if err := clientHandshake(dialer, other, ClientConnection); !errors.Is(err, ErrUnauthenticated) {
		t.Errorf("dialer: %v", err)
	}
	if err := <-serverErr; !errors.Is(err, ErrUnauthenticated) {
		t.Errorf("listener: %v", err)
	}
	_ = dialer.Close()
}
