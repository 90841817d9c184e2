package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subsets returns the endpoints that each client keeps connections to, at most size per client. All processes that use
// the same names compute the same result, regardless of their order. The number of subsets that contain an endpoint
// differs by at most one between endpoints. Few connections move when a client or an endpoint joins or leaves.
//
// Subsets uses the deferred acceptance algorithm of Gale and Shapley: clients and endpoints prefer each other by a hash
// of both names, and each endpoint accepts a fixed number of clients. A new client displaces a few others, which then
// propose to their next preference.
func Subsets(clients, endpoints []EndpointName, size int) map[EndpointName][]EndpointName {
	subsets := make(map[EndpointName][]EndpointName, len(clients))
	if size >= len(endpoints) || len(clients) == 0 {
		for _, client := range clients {
			subsets[client] = endpoints
		}
		return subsets
	}
	m := newMatching(clients, endpoints, size)
	m.run()
	m.placeMissing()
	for i := range m.endpoints {
		for _, accepted := range m.endpoints[i].accepted {
			client := m.clients[accepted.client].name
			subsets[client] = append(subsets[client], m.endpoints[i].name)
		}
	}
	return subsets
}

// matching is the state of one run of Subsets. Clients and endpoints are sorted by name and identified by their index.
type matching struct {
	size      int
	clients   []matchedClient
	endpoints []matchedEndpoint
}

type matchedClient struct {
	name        EndpointName
	hash        uint64
	missing     int          // number of endpoints that the client still needs
	preferences []preference // endpoints with a hash within hashLimit, best first
	next        int          // index of the preference to propose to next
	hashLimit   float64      // as a fraction of the range of hashes
}

type matchedEndpoint struct {
	name     EndpointName
	hash     uint64
	quota    int          // maximum number of clients
	accepted []acceptance // accepted clients, best first
}

type preference struct {
	endpoint int
	hash     uint64 // combined hash of the client and the endpoint; lower is better
}

type acceptance struct {
	client int
	hash   uint64 // combined hash of the client and the endpoint; lower is better; 0 if added by placeOne
}

func newMatching(clients, endpoints []EndpointName, size int) *matching {
	m := &matching{size: size}
	for _, name := range slices.Sorted(slices.Values(clients)) {
		m.clients = append(m.clients, matchedClient{name: name, hash: xxhash.Sum64String(string(name)), missing: size})
	}
	for _, name := range slices.Sorted(slices.Values(endpoints)) {
		m.endpoints = append(m.endpoints, matchedEndpoint{name: name, hash: xxhash.Sum64String(string(name))})
	}
	m.assignQuotas()
	return m
}

// assignQuotas distributes size places per client over all endpoints. The endpoints that accept one more client than
// the others are chosen by a hash of their names, so that the choice is stable.
func (m *matching) assignQuotas() {
	places := len(m.clients) * m.size
	order := make([]preference, len(m.endpoints))
	for i := range m.endpoints {
		m.endpoints[i].quota = places / len(m.endpoints)
		order[i] = preference{i, xxhash.Sum64String("one more " + string(m.endpoints[i].name))}
	}
	slices.SortFunc(order, comparePreferences)
	for _, drawn := range order[:places%len(m.endpoints)] {
		m.endpoints[drawn.endpoint].quota++
	}
}

func comparePreferences(a, b preference) int { return cmp.Compare(a.hash, b.hash) }

// extendPreferences raises the hash limit of a client and recomputes its preferences. Few clients propose to more
// endpoints than a small multiple of size, so only about that many are sorted at first.
func (m *matching) extendPreferences(client *matchedClient) {
	client.hashLimit = max(6*float64(m.size)/float64(len(m.endpoints)), 4*client.hashLimit)
	maxHash := uint64(math.MaxUint64)
	if client.hashLimit < 1 {
		maxHash = uint64(client.hashLimit * math.MaxUint64)
	}
	var preferences []preference
	for i := range m.endpoints {
		if hash := combineHashes(client.hash, m.endpoints[i].hash); hash <= maxHash {
			preferences = append(preferences, preference{i, hash})
		}
	}
	slices.SortFunc(preferences, comparePreferences)
	client.preferences = preferences
}

// run lets clients propose until each has size endpoints or has proposed to all. The result does not depend on the
// order of the proposals.
func (m *matching) run() {
	pending := make([]int, len(m.clients))
	for i := range pending {
		pending[i] = i
	}
	for len(pending) > 0 {
		index := pending[len(pending)-1]
		client := &m.clients[index]
		for client.next == len(client.preferences) && client.hashLimit < 1 {
			m.extendPreferences(client)
		}
		if client.missing == 0 || client.next == len(client.preferences) {
			pending = pending[:len(pending)-1]
			continue
		}
		proposal := client.preferences[client.next]
		client.next++
		if displaced, ok := m.propose(index, proposal); ok {
			pending = append(pending, displaced)
		}
	}
}

// propose makes an endpoint accept a client if it has a free place or prefers the client to an accepted one, which is
// then displaced. ok reports whether a client was displaced.
func (m *matching) propose(client int, proposal preference) (displaced int, ok bool) {
	endpoint := &m.endpoints[proposal.endpoint]
	if endpoint.quota == 0 {
		return 0, false
	}
	if last := len(endpoint.accepted) - 1; last+1 == endpoint.quota {
		if endpoint.accepted[last].hash <= proposal.hash {
			return 0, false
		}
		displaced, ok = endpoint.accepted[last].client, true
		endpoint.accepted = endpoint.accepted[:last]
		m.clients[displaced].missing++
	}
	position, _ := slices.BinarySearchFunc(endpoint.accepted, proposal.hash, func(a acceptance, hash uint64) int {
		return cmp.Compare(a.hash, hash)
	})
	endpoint.accepted = slices.Insert(endpoint.accepted, position, acceptance{client, proposal.hash})
	m.clients[client].missing--
	return displaced, ok
}

// placeMissing places clients that have proposed to all endpoints and still need some. The only free places that
// remain for them are at endpoints that have already accepted them.
func (m *matching) placeMissing() {
	for client := range m.clients {
		for ; m.clients[client].missing > 0; m.clients[client].missing-- {
			m.placeOne(client)
		}
	}
}

// placeOne assigns a free place to a client, or exchanges another client's place for a free one.
func (m *matching) placeOne(client int) {
	for index := range m.endpoints {
		endpoint := &m.endpoints[index]
		if len(endpoint.accepted) >= endpoint.quota {
			continue
		}
		if !endpoint.hasAccepted(client) {
			endpoint.accepted = append(endpoint.accepted, acceptance{client, 0})
			return
		}
		if m.exchange(client, endpoint) {
			return
		}
	}
}

// exchange moves another client to a free place at an endpoint and assigns that client's former place to the given
// client. It reports whether it found such an exchange.
func (m *matching) exchange(client int, free *matchedEndpoint) bool {
	for index := range m.endpoints {
		endpoint := &m.endpoints[index]
		if endpoint.hasAccepted(client) {
			continue
		}
		for i, accepted := range endpoint.accepted {
			if !free.hasAccepted(accepted.client) {
				endpoint.accepted[i].client = client
				free.accepted = append(free.accepted, accepted)
				return true
			}
		}
	}
	return false
}

func (e *matchedEndpoint) hasAccepted(client int) bool {
	return slices.ContainsFunc(e.accepted, func(a acceptance) bool { return a.client == client })
}

// combineHashes returns a hash of two hashes.
func combineHashes(a, b uint64) uint64 {
	var bytes [16]byte
	binary.LittleEndian.PutUint64(bytes[:], a)
	binary.LittleEndian.PutUint64(bytes[8:], b)
	return xxhash.Sum64(bytes[:])
}
