package forward

import (
	"slices"

	"lanewheel/internal/balancer"
	"lanewheel/internal/membership"
)

// subset is the part of the endpoints that we keep to, as last worked out.
type subset struct {
	endpoints []balancer.EndpointName // that it was worked out for
	peers     []balancer.EndpointName // that it was worked out for
	selected  map[balancer.EndpointName]bool
}

// UpdateView takes a view of the fleet. The members with the same role as ours share the endpoints with us.
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

// isEndpoint reports whether requests may be given to a member. A suspect gets none, unless we are cut off
// ourselves: then we know no better than before, and who was there is still tried.
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

// selectSubset returns those of the endpoints that we keep to. Subsets are worked out for the whole fleet, so only when
// somebody came or went.
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

// setEndpoints replaces the endpoints. What stays keeps its connections, unless it has another address: then it is
// a later incarnation.
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

// removeEndpoint gives nothing more to an endpoint; what is in progress there it may still answer.
func (f *Forwarder) removeEndpoint(removed *endpoint) {
	delete(f.endpoints, removed.name)
	for _, connection := range removed.connections {
		connection.drain()
	}
}
