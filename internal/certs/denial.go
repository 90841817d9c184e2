package certs

import (
	"lanewheel/internal/authz"
)

// Why a certificate proves nothing.
const (
	noCertificate       authz.Denial = "no-certificate"
	Untrusted           authz.Denial = "untrusted"  // no told authority stands behind it, or it is not for clients
	expired             authz.Denial = "expired"    // or not valid yet
	revoked             authz.Denial = "revoked"    // it, or what stands between it and its authority
	staleRevocationList authz.Denial = "stale-list" // the list of what is taken back is too old to say
)
