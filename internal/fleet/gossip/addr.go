package gossip

import (
	"net"
	"strconv"
)

// parseAddr parses an address of the form IP:port. It returns an error unless the host is an IP address and the port is
// from 1 to 65535.
func parseAddr(addr string) (net.IP, int, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, 0, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 1 || port > 65535 {
		return nil, 0, &net.AddrError{Err: "port must be from 1 to 65535", Addr: addr}
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, 0, &net.AddrError{Err: "host must be an IP address", Addr: addr}
	}
	return ip, port, nil
}

// hostOf returns addr without its port, or an empty string if addr has no port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	return host
}
