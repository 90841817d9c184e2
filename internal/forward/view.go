package forward

import (
	"slices"

	"lanewheel/internal/balancer"
	"lanewheel/internal/membership"
)

// subset is the subset of the endpoints that this process uses, with the names from which it was computed.
type subset struct {
	endpoints []balancer.EndpointName        // all endpoints when the subset was computed
	peers     []balancer.EndpointName        // all peers when the subset was computed, this process first
	selected  map[balancer.EndpointName]bool // the endpoints that this process uses
}

// UpdateView replaces the endpoints with those in a view of the fleet. role is the role of this process. If SubsetSize
// is set, this process and the available members with the same role each use a subset of the endpoints.
func (f *Forwarder) UpdateView(view *membership.View, role membership.Roles) {
	peers := []balancer.EndpointName{balancer.EndpointName(view.Self.Name)}
	addresses := map[balancer.EndpointName]string{}
	var endpoints []balancer.Endpoint
	for member := range view.All() {
		if member.Roles&role != 0 && member.State.Available() {
			peers = append(peers, balancer.EndpointName(member.Name))
		}
		if !isEndpoint(view, &member) {
			continue
		}
		name := balancer.EndpointName(member.Name)
		addresses[name] = member.ServiceAddr
		endpoints = append(endpoints, balancer.Endpoint{
			Name:            name,
			Zone:            member.Zone,
			Capacity:        member.Capacity,
			WarmUp:          member.WarmUp,
			WarmUpRemaining: member.WarmUpRemaining(view.PublishedAt),
			Suspect:         member.State == membership.StateSuspect,
		})
	}
	endpoints = f.selectSubset(endpoints, peers)
	f.Balancer.SetEndpoints(f.loop.Now(), endpoints)
	f.setEndpoints(endpoints, addresses)
}

// isEndpoint reports whether requests may be sent to a member. A suspect member receives requests only while the
// local health does not permit this process to declare members gone, for instance because the process is isolated. In
// that case, the suspicion is no evidence against the member, so the member is still tried. A member that is suspect
// because of flapping is never tried.
func isEndpoint(view *membership.View, member *membership.Member) bool {
	if member.Roles&membership.RoleServer == 0 || member.ServiceAddr == "" {
		return false
	}
	if member.State.Available() {
		return true
	}
	return member.State == membership.StateSuspect &&
		member.Reason != membership.ReasonFlapping &&
		!view.LocalHealth.CanDeclareGone()
}

// selectSubset returns the endpoints that this process uses. balancer.Subsets computes the subsets of all peers at
// once, so it is called only when an endpoint or a peer has joined or left.
func (f *Forwarder) selectSubset(
	endpoints []balancer.Endpoint, peers []balancer.EndpointName,
) []balancer.Endpoint {
	size := f.config.SubsetSize
	if size <= 0 || size >= len(endpoints) {
		return endpoints
	}
	var names []balancer.EndpointName
	for _, endpoint := range endpoints {
		names = append(names, endpoint.Name)
	}
	if !slices.Equal(names, f.subset.endpoints) || !slices.Equal(peers, f.subset.peers) {
		f.subset = subset{endpoints: names, peers: peers, selected: map[balancer.EndpointName]bool{}}
		self := peers[0]
		for _, name := range balancer.Subsets(peers, names, size)[self] {
			f.subset.selected[name] = true
		}
	}
	return slices.DeleteFunc(endpoints, func(endpoint balancer.Endpoint) bool { return !f.subset.selected[endpoint.Name] })
}

// setEndpoints replaces the endpoints. An endpoint that remains keeps its connections unless its address has changed:
// an endpoint with another address is a later incarnation.
func (f *Forwarder) setEndpoints(endpoints []balancer.Endpoint, addresses map[balancer.EndpointName]string) {
	present := map[balancer.EndpointName]bool{}
	for _, candidate := range endpoints {
		present[candidate.Name] = true
		address := addresses[candidate.Name]
		current := f.endpoints[candidate.Name]
		if current != nil && current.address != address {
			f.removeEndpoint(current)
			current = nil
		}
		if current == nil {
			f.endpoints[candidate.Name] = &endpoint{name: candidate.Name, address: address}
		}
	}
	for name, current := range f.endpoints {
		if !present[name] {
			f.removeEndpoint(current)
		}
	}
}

// removeEndpoint removes an endpoint, which receives no further requests. It may still respond to requests in progress.
func (f *Forwarder) removeEndpoint(removed *endpoint) {
	delete(f.endpoints, removed.name)
	for _, connection := range removed.connections {
		connection.drain()
	}
}
