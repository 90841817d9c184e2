package gossip

// wireDescriptor is a members.Claim on the wire, less what the gossip carries itself.
type wireDescriptor struct {
	Incarnation  uint64  `codec:"i"`
	Roles        uint8   `codec:"r"`
	Zone         string  `codec:"z"`
	Release      string  `codec:"e"`
	Capacity     float64 `codec:"c"`
	WarmUpMillis int64   `codec:"w"`
	ServiceAddr  string  `codec:"a"`
}

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

type wireMetric struct {
	Name      string  `codec:"k"`
	Value     float64 `codec:"v"`
	TTLMillis int64   `codec:"h"`
}

// wireQuery asks a member how it stands; word is the answer.
type wireQuery struct {
	Nonce     uint64 `codec:"n"`
	To        string `codec:"t"` // the life that is asked
	From      string `codec:"w"` // the life that asks, and where it is reached
	ReplyAddr string `codec:"a"`
}

type wireQueryReply struct {
	Nonce           uint64  `codec:"n"`
	Load            float64 `codec:"l"`
	Finished        float64 `codec:"d,omitempty"` // ops that ended since its start, those in their target latency, and the s that all took
	WithinObjective float64 `codec:"w,omitempty"`
	TotalSeconds    float64 `codec:"t,omitempty"`
}

// wirePermitNotice tells a life of a permit that it has, or that it has begun; begin is its word that it would begin.
type wirePermitNotice struct {
	To        string `codec:"t"`
	From      string `codec:"w"` // the steward, and where it is reached
	ReplyAddr string `codec:"a"`
	Number    uint64 `codec:"n"`
	Begun     bool   `codec:"b"`
}

type wirePermitBegin struct {
	To          string `codec:"t"`
	From        string `codec:"w"` // the holder, and where it is reached
	ReplyAddr   string `codec:"a"`
	Incarnation uint64 `codec:"i"`
	Number      uint64 `codec:"n"`
}

// wireLeaseRequest is a grants.Ask, and grant its answer.
type wireLeaseRequest struct {
	To              string `codec:"t"` // the life that is asked
	From            string `codec:"w"` // the life that asks, and where it is reached
	ReplyAddr       string `codec:"a"`
	Sequence        uint64 `codec:"s"`
	AllocatorBootID uint64 `codec:"d"` // who granted what it has, in answer to which ask
	HeldSequence    uint64 `codec:"h"`
	HeldLimit       int    `codec:"l"`
	OpenCalls       int    `codec:"o"`
	WantedCalls     int    `codec:"n"`
}

type wireLease struct {
	AllocatorBootID uint64 `codec:"d"`
	Sequence        uint64 `codec:"s"`
	Limit           int    `codec:"l"`
	DurationMillis  int64  `codec:"h"`
	UnleasedCalls   int    `codec:"a"`
	MaxCallMillis   int64  `codec:"m"`
}

// wireFenceNotice tells a life that a later one has its name.
type wireFenceNotice struct {
	Name        string `codec:"n"`
	Incarnation uint64 `codec:"i"`
	BootID      uint64 `codec:"l"`
}
