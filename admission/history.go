package admission

import "slices"

// appendRecent appends an element to a list and keeps the last limit elements.
func appendRecent[T any](list []T, element T, limit int) []T {
	list = append(list, element)
	if len(list) > limit {
		list = slices.Delete(list, 0, len(list)-limit)
	}
	return list
}

// removeRequest removes a request from a list, in place.
func removeRequest(list []*trackedRequest, r *trackedRequest) []*trackedRequest {
	return slices.DeleteFunc(list, func(other *trackedRequest) bool { return other == r })
}
