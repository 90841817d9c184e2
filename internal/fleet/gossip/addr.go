package gossip

import (
	"net"
	"strconv"
)

// parseAddr reads a configured address: an IP address and a port.
func parseAddr(addr string) (net.IP, int, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, 0, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 1 || port > 65535 {
		return nil, 0, &net.AddrError{Err: "wants a port from 1 to 65535", Addr: addr}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, &net.AddrError{Err: "wants an IP address", Addr: addr}
	}
	return ip, port, nil
}

// hostOf is an address without its port, empty if it has none.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return host
}
