package sock

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func pair(t *testing.T) (*Conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); peer.Close() })
	return c, peer
}

// Parts far larger than a socket's buffers come out whole and in order, to a slow reader too.
func TestPartsComeOutWhole(t *testing.T) {
	c, peer := pair(t)
	big := bytes.Repeat([]byte("0123456789"), 1<<20)
	want := append(append([]byte("head"), big...), "tail"...)
	got := make(chan []byte)
	go func() {
		time.Sleep(50 * time.Millisecond)
		all, _ := io.ReadAll(peer)
		got <- all
	}()
	n, err := c.WriteParts([]byte("head"), nil, big, []byte("tail"))
	if n != int64(len(want)) || err != nil {
		t.Errorf("%d of %d bytes, %v", n, len(want), err)
	}
	c.Close()
	if !bytes.Equal(<-got, want) {
		t.Error("other bytes came out")
	}
}

// A write that breaks off tells how much went out: less than all means that nothing ran.
func TestBrokenWriteTellsHowFarItCame(t *testing.T) {
	c, _ := pair(t)
	big := make([]byte, 64<<20)
	c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	n, err := c.WriteParts([]byte("head"), big)
	if !errors.Is(err, os.ErrDeadlineExceeded) || n < 4 || n >= int64(len(big)) {
		t.Errorf("%d bytes, %v", n, err)
	}
	c.Close()
	if n, err := c.WriteParts([]byte("x")); n != 0 || err == nil {
		t.Errorf("after the end: %d bytes, %v", n, err)
	}
}

func TestReadWaitsAndTellsTheEnd(t *testing.T) {
	c, peer := pair(t)
	buf := make([]byte, 10)
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := c.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	c.SetReadDeadline(time.Time{})
	time.AfterFunc(20*time.Millisecond, func() {
		peer.Write([]byte("hello"))
		peer.Close()
	})
	if n, err := c.Read(buf); string(buf[:n]) != "hello" || err != nil {
		t.Errorf("%q, %v", buf[:n], err)
	}
	if _, err := c.Read(buf); err != io.EOF {
		t.Errorf("%v", err)
	}
}

// io.Copy between two of these goes through their own Read and Write, never through net.TCPConn's ReadFrom or
// WriteTo, which would splice; all bytes arrive, in order.
func TestCopyWithoutSplice(t *testing.T) {
	from, feeder := pair(t)
	to, drain := pair(t)
	if _, ok := any(from).(io.WriterTo); !ok {
		t.Fatal("Conn has no WriteTo of its own")
	}
	want := make([]byte, 1<<20)
	for i := range want {
		want[i] = byte(i * 7)
	}
	from.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { feeder.Write(want); feeder.Close() }()
	got := make(chan []byte)
	go func() { b, _ := io.ReadAll(drain); got <- b }()
	if n, err := io.Copy(to, from); err != nil || n != int64(len(want)) {
		t.Fatalf("copied %d of %d: %v", n, len(want), err)
	}
	to.CloseWrite()
	if b := <-got; !bytes.Equal(b, want) {
		t.Fatalf("%d bytes arrived, not the %d sent", len(b), len(want))
	}
}
