package transport

// Detached is a connection without a socket. Tests of codecs feed it bytes and look at what it would write.
type Detached struct{ *Conn }

// NewDetached makes a detached connection; what is posted to its owner loop runs at once.
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

// Receive takes bytes as if the poller had read them.
func (d Detached) Receive(b []byte) { d.handleInput(b) }

// Output is what the next flush would write, and whether one is pending.
func (d Detached) Output() (output []byte, flushPending bool) {
	return d.output, d.flushPending && len(d.net.unflushed) == 1
}

type unpooledBuffers struct{}

func (unpooledBuffers) Get() []byte { return make([]byte, 0, BufferSize) }
func (unpooledBuffers) Put([]byte)  {}
