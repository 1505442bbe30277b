package sock

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// dialPair gives the two ends of a connection.
func dialPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	listener := testutil.Listen(t)
	c, err := Dial(t.Context(), listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// The test may have closed either already.
		_ = c.Close()
		_ = peer.Close()
	})
	return c, peer
}

// mustSucceed ends the test if a step of the test itself fails.
func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// readAll passes on all that comes until the peer ends its sending.
func readAll(r io.Reader) <-chan []byte {
	received := make(chan []byte, 1)
	go func() {
		all, _ := io.ReadAll(r) // what is missing shows in the bytes
		received <- all
	}()
	return received
}

// Parts far larger than a socket's buffers arrive complete and in order, at a slow reader too.
func TestConn_WritePartsComeOutWhole(t *testing.T) {
	c, peer := dialPair(t)
	large := bytes.Repeat([]byte("0123456789"), 1<<20)
	want := append(append([]byte("head"), large...), "tail"...)
	received := make(chan []byte)
	go func() {
		time.Sleep(50 * time.Millisecond)
		received <- <-readAll(peer)
	}()
	n, err := c.WriteBuffers([]byte("head"), nil, large, []byte("tail"))
	if n != int64(len(want)) || err != nil {
		t.Errorf("%d of %d bytes, %v", n, len(want), err)
	}
	mustSucceed(t, c.Close())
	if !bytes.Equal(<-received, want) {
		t.Error("other bytes arrived")
	}
}

// A write that fails returns how many bytes were written: fewer than all means that nothing ran.
func TestConn_FailedWriteReturnsHowFarItCame(t *testing.T) {
	c, _ := dialPair(t)
	large := make([]byte, 64<<20)
	mustSucceed(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	n, err := c.WriteBuffers([]byte("head"), large)
	if !errors.Is(err, os.ErrDeadlineExceeded) || n < 4 || n >= int64(len(large)) {
		t.Errorf("%d bytes, %v", n, err)
	}
	mustSucceed(t, c.Close())
	if n, err := c.WriteBuffers([]byte("x")); n != 0 || err == nil {
		t.Errorf("after the end: %d bytes, %v", n, err)
	}
}

func TestConn_ReadWaitsAndReturnsTheEnd(t *testing.T) {
	c, peer := dialPair(t)
	buffer := make([]byte, 10)
	mustSucceed(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	if _, err := c.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	mustSucceed(t, c.SetReadDeadline(time.Time{}))
	time.AfterFunc(20*time.Millisecond, func() {
		// Where these fail the reads do not give what they should.
		_, _ = peer.Write([]byte("hello"))
		_ = peer.Close()
	})
	if n, err := c.Read(buffer); string(buffer[:n]) != "hello" || err != nil {
		t.Errorf("%q, %v", buffer[:n], err)
	}
	if _, err := c.Read(buffer); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}
}

// io.Copy between two of these goes through their own Read and Write, never through net.TCPConn's ReadFrom or
// WriteTo, which would splice; all bytes arrive, in order.
func TestConn_CopyWithoutSplice(t *testing.T) {
	from, sender := dialPair(t)
	to, receiver := dialPair(t)
	if _, ok := any(from).(io.WriterTo); !ok {
		t.Fatal("Conn has no WriteTo of its own")
	}
	want := make([]byte, 1<<20)
	for i := range want {
		want[i] = byte(i * 7)
	}
	mustSucceed(t, from.SetDeadline(time.Now().Add(5*time.Second)))
	go func() {
		// Where these fail other bytes arrive.
		_, _ = sender.Write(want)
		_ = sender.Close()
	}()
	received := readAll(receiver)
	if n, err := io.Copy(to, from); err != nil || n != int64(len(want)) {
		t.Fatalf("copied %d of %d: %v", n, len(want), err)
	}
	mustSucceed(t, to.CloseWrite())
	if got := <-received; !bytes.Equal(got, want) {
		t.Fatalf("%d bytes arrived, not the %d sent", len(got), len(want))
	}
}
