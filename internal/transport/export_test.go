package transport

import "net"

// This file exports internals to the tests in package transport_test. These tests use codecs, which import this
// package, and therefore cannot be part of it.

// ListenAddr returns the address of the first listener.
func (n *Net) ListenAddr() *net.TCPAddr { return n.listeners[0].Addr().(*net.TCPAddr) }

// UnreadBytes returns the number of bytes that all peers have left unread.
func (n *Net) UnreadBytes() int64 { return n.unreadBytes.Load() }

// DialedConns returns the number of open dialed connections, including dials in progress.
func (n *Net) DialedConns() int64 { return n.dialedConns.Load() }

// Descriptor returns the descriptor number, even if the descriptor has been closed.
func (c *Conn) Descriptor() int { return c.polled.Hash() }

// LockDescriptor calls lockDescriptor.
func (c *Conn) LockDescriptor() (fd int, open bool) { return c.lockDescriptor() }

// UnlockDescriptor calls unlockDescriptor.
func (c *Conn) UnlockDescriptor() { c.unlockDescriptor() }

// FlushNow writes the buffered output of this connection.
func (c *Conn) FlushNow() { c.flush() }
