package gossip

// The structs in this file are the bodies of messages, parts of them, or the metadata of a memberlist node. Their tags
// are part of the protocol between releases.

// wireDescriptor is the metadata of a memberlist node: a membership.Descriptor without the fields that are carried in
// the node's name and address.
type wireDescriptor struct {
	Incarnation  uint64  `codec:"i"`
	Roles        uint8   `codec:"r"`
	Zone         string  `codec:"z"`
	Release      string  `codec:"e"`
	Capacity     float64 `codec:"c"`
	WarmUpMillis int64   `codec:"w"`
	ServiceAddr  string  `codec:"a"`
}

// wireHeartbeat is a membership.Heartbeat.
type wireHeartbeat struct {
	Name           string       `codec:"n"`
	BootID         uint64       `codec:"l"`
	Incarnation    uint64       `codec:"i"`
	Sequence       uint64       `codec:"s"`
	Ready          bool         `codec:"r"`
	ReadyForMillis int64        `codec:"d"`
	Draining       bool         `codec:"g"`
	ViewDigest     uint64       `codec:"v"`
	Metrics        []wireMetric `codec:"t"`
}

// wireMetric is a membership.Metric.
type wireMetric struct {
	Name      string  `codec:"k"`
	Value     float64 `codec:"v"`
	TTLMillis int64   `codec:"h"`
}

// wireFenceNotice notifies a process that a later one has its name.
type wireFenceNotice struct {
	Name        string `codec:"n"`
	Incarnation uint64 `codec:"i"` // of the later process
	BootID      uint64 `codec:"l"` // of the later process
}

// wireQuery asks a member for its load and its request totals. wireQueryReply is the answer.
type wireQuery struct {
	Nonce     uint64 `codec:"n"`
	To        string `codec:"t"` // a membership.ID
	From      string `codec:"w"` // a membership.ID
	ReplyAddr string `codec:"a"`
}

// wireQueryReply answers a wireQuery. Members that run older releases send no request totals.
type wireQueryReply struct {
	Nonce           uint64  `codec:"n"`
	Load            float64 `codec:"l"`
	Finished        float64 `codec:"d,omitempty"`
	WithinObjective float64 `codec:"w,omitempty"`
	TotalSeconds    float64 `codec:"t,omitempty"`
}

// wirePermitNotice is a coordinator's notice that a member has a permit, or that the permit has begun.
type wirePermitNotice struct {
	To        string `codec:"t"` // a membership.ID
	From      string `codec:"w"` // membership.ID of the coordinator
	ReplyAddr string `codec:"a"`
	Number    uint64 `codec:"n"`
	Begun     bool   `codec:"b"`
}

// wirePermitBegin is a member's request to begin its permit.
type wirePermitBegin struct {
	To          string `codec:"t"` // membership.ID of the coordinator
	From        string `codec:"w"` // membership.ID of the permit's holder
	ReplyAddr   string `codec:"a"`
	Incarnation uint64 `codec:"i"`
	Number      uint64 `codec:"n"`
}

// wireLeaseRequest is a concurrencylease.Request. wireLease is the answer.
type wireLeaseRequest struct {
	To              string `codec:"t"` // membership.ID of the allocator
	From            string `codec:"w"` // membership.ID of the holder
	ReplyAddr       string `codec:"a"`
	Sequence        uint64 `codec:"s"`
	AllocatorBootID uint64 `codec:"d"` // of the lease that the holder currently has
	HeldSequence    uint64 `codec:"h"`
	HeldLimit       int    `codec:"l"`
	OpenCalls       int    `codec:"o"`
	WantedCalls     int    `codec:"n"`
}

// wireLease is a concurrencylease.Lease.
type wireLease struct {
	AllocatorBootID uint64 `codec:"d"`
	Sequence        uint64 `codec:"s"`
	Limit           int    `codec:"l"`
	DurationMillis  int64  `codec:"h"`
	UnleasedCalls   int    `codec:"a"`
	MaxCallMillis   int64  `codec:"m"`
}
