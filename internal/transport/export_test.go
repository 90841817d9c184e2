package transport

import "net"

// What the tests outside the package need of its inside. They are outside because the codecs that they speak by
// import it.

// ListenAddr is the address of the first listener.
func (n *Net) ListenAddr() *net.TCPAddr { return n.listeners[0].Addr().(*net.TCPAddr) }

// UnreadBytes is what all peers have left unread.
func (n *Net) UnreadBytes() int64 { return n.unreadBytes.Load() }

// DialedConns is how many connections were dialled and are not closed.
func (n *Net) DialedConns() int64 { return n.dialedConns.Load() }

// Descriptor is the number of the descriptor, whether it is open or not.
func (c *Conn) Descriptor() int { return c.polled.Hash() }

// LockDescriptor is lockDescriptor.
func (c *Conn) LockDescriptor() (fd int, open bool) { return c.lockDescriptor() }

// UnlockDescriptor is unlockDescriptor.
func (c *Conn) UnlockDescriptor() { c.unlockDescriptor() }

// FlushNow writes what was gathered for this connection.
func (c *Conn) FlushNow() { c.flush() }
