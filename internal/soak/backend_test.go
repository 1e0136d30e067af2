package soak

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against blaming a dispatcher for the time that the soak's own process took to read what had arrived.
func TestAgeOfBytesThatAreReadLate(t *testing.T) {
	const readDelay = 100 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	e := &exchange{conn: accepted.(*net.TCPConn)}
	io.WriteString(sender, "P")
	written := time.Now()
	time.Sleep(readDelay)
	accepted.Read(make([]byte, 1))
	earliest := time.Since(written)
	age := e.sinceArrival()
	if age < readDelay-2*arrivalClockStep || age > time.Since(written) {
		t.Errorf("bytes that waited for %v are %v old", earliest, age)
	}
}
