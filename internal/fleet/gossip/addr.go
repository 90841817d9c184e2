package gossip

import (
	"net"
	"strconv"
)

func hostOf(addr string) string {
	h, _, _ := net.SplitHostPort(addr)
	return h
}

// parseAddr reads an address that a file told.
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

// checkAddr checks an address of the gossip.
func checkAddr(addr string) error {
	_, _, err := parseAddr(addr)
	return err
}
