package transport

// Detached is a connection without a socket. Tests of codecs pass input to it and inspect its output.
type Detached struct{ *Conn }

// NewDetached returns a detached connection. Functions passed to PostRead run immediately.
func NewDetached() Detached {
	return Detached{&Conn{net: &Net{
		BufferPool: unpooledBuffers{},
		PostRead: func(calls ...func()) {
			for _, call := range calls {
				call()
			}
		},
	}}}
}

// Receive handles b as if the poller had read it.
func (d Detached) Receive(b []byte) { d.handleInput(b) }

// Output returns the buffered output and reports whether a flush is pending.
func (d Detached) Output() (output []byte, flushPending bool) {
	return d.output, d.flushPending && len(d.net.unflushed) == 1
}

type unpooledBuffers struct{}

func (unpooledBuffers) Get() []byte { return make([]byte, 0, BufferSize) }
func (unpooledBuffers) Put([]byte)  {}
