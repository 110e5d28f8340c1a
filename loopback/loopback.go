// Package loopback reserves listening addresses for the parts of a test deployment.
//
// A part that is killed and started again needs the same port. The kernel gives a
// port of its ephemeral range to any other process as soon as the listener is
// closed, so that the part cannot start again, or its clients reach a stranger.
// An Address is outside that range and stays reserved while nothing listens on it.
package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"

	"github.com/zeebo/errs"
)

// Range of the reserved ports. It is below the ephemeral range of the kernel.
const (
	minPort = 12000
	maxPort = 30000
)

// maxAttempts is the number of random ports that Reserve tries.
const maxAttempts = 1000

// Address is a reserved loopback address. Connections to it are refused until a
// program listens on it. A listener needs SO_REUSEADDR, which those of package net
// and of peerlink have.
type Address struct {
	text string
	file *os.File // socket that is bound to the address and never listens
}

// Reserve reserves an address that is in use nowhere on this machine. It returns an
// error if it finds none.
func Reserve() (*Address, error) {
	var err error
	for range maxAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		var f *os.File
		if f, err = bind(port); err == nil {
			return &Address{text: net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), file: f}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, errs.New("reserve a loopback address: %v", err)
}

// String returns the address as host:port.
func (a *Address) String() string { return a.text }

// Release ends the reservation. Further calls do nothing.
func (a *Address) Release() { _ = a.file.Close() }

// bind returns a socket that is bound to a loopback port. It fails if any other socket
// is bound to the port.
func bind(port int) (*os.File, error) {
	syscall.ForkLock.RLock()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	f := os.NewFile(uintptr(fd), "reserved")
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		_ = f.Close()
		return nil, os.NewSyscallError("bind", err)
	}
	// Set after bind, which would accept a port that another Address holds otherwise.
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		_ = f.Close()
		return nil, os.NewSyscallError("setsockopt", err)
	}
	return f, nil
}
