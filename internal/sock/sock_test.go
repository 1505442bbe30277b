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

// connectedPair returns the two ends of a connection.
func connectedPair(t *testing.T) (*Conn, net.Conn) {
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
		// The test may already have closed either end.
		_ = c.Close()
		_ = peer.Close()
	})
	return c, peer
}

// requireNoError ends the test if a step that must succeed fails.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// readAll reads until the peer closes its sending side, and sends all bytes to the returned channel.
func readAll(r io.Reader) <-chan []byte {
	received := make(chan []byte, 1)
	go func() {
		all, _ := io.ReadAll(r) // the comparison of the bytes detects a failed read
		received <- all
	}()
	return received
}

// TestConn_WriteBuffersWritesAllBytes checks that buffers far larger than those of a socket arrive complete and in
// order, even if the reader starts late.
func TestConn_WriteBuffersWritesAllBytes(t *testing.T) {
	c, peer := connectedPair(t)
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
	requireNoError(t, c.Close())
	if !bytes.Equal(<-received, want) {
		t.Error("the received bytes differ from the written ones")
	}
}

// TestConn_FailedWriteReturnsBytesWritten checks the number of bytes that a failed write returns. Callers rely on it:
// if not all bytes of a command were written, the peer has not executed the command.
func TestConn_FailedWriteReturnsBytesWritten(t *testing.T) {
	c, _ := connectedPair(t)
	large := make([]byte, 64<<20)
	requireNoError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
	n, err := c.WriteBuffers([]byte("head"), large)
	if !errors.Is(err, os.ErrDeadlineExceeded) || n < 4 || n >= int64(len(large)) {
		t.Errorf("%d bytes, %v", n, err)
	}
	requireNoError(t, c.Close())
	if n, err := c.WriteBuffers([]byte("x")); n != 0 || err == nil {
		t.Errorf("write after Close: %d bytes, error %v", n, err)
	}
}

func TestConn_ReadWaitsAndReturnsEOF(t *testing.T) {
	c, peer := connectedPair(t)
	buffer := make([]byte, 10)
	requireNoError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	if _, err := c.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	requireNoError(t, c.SetReadDeadline(time.Time{}))
	time.AfterFunc(20*time.Millisecond, func() {
		// If these fail, the reads below return other results than expected.
		_, _ = peer.Write([]byte("hello"))
		_ = peer.Close()
	})
	if n, err := c.Read(buffer); string(buffer[:n]) != "hello" || err != nil {
		t.Errorf("read %q, error %v; want the bytes that the peer sent", buffer[:n], err)
	}
	if _, err := c.Read(buffer); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}
}

// TestConn_CopyWithoutSplice checks that io.Copy between two Conns uses their Read and Write methods, and not ReadFrom
// or WriteTo of net.TCPConn, which would call splice, and that all bytes arrive in order.
func TestConn_CopyWithoutSplice(t *testing.T) {
	from, sender := connectedPair(t)
	to, receiver := connectedPair(t)
	if _, ok := any(from).(io.WriterTo); !ok {
		t.Fatal("Conn does not implement io.WriterTo")
	}
	want := make([]byte, 1<<20)
	for i := range want {
		want[i] = byte(i * 7)
	}
	requireNoError(t, from.SetDeadline(time.Now().Add(5*time.Second)))
	go func() {
		// If these fail, the received bytes differ from those in want.
		_, _ = sender.Write(want)
		_ = sender.Close()
	}()
	received := readAll(receiver)
	if n, err := io.Copy(to, from); err != nil || n != int64(len(want)) {
		t.Fatalf("copied %d of %d bytes, error %v", n, len(want), err)
	}
	requireNoError(t, to.CloseWrite())
	if got := <-received; !bytes.Equal(got, want) {
		t.Fatalf("the %d received bytes differ from the %d sent", len(got), len(want))
	}
}
