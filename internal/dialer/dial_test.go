package dialer

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"fawnplank/internal/testutil"
)

// TestDial_HangingAddressLeavesTimeForOthers checks that Dial connects to the only accepting address well within the
// timeout if the dial to another address hangs and a third address refuses connections.
func TestDial_HangingAddressLeavesTimeForOthers(t *testing.T) {
	accepting := testutil.Listen(t).Addr().(*net.TCPAddr).AddrPort()
	refusing := netip.MustParseAddrPort(testutil.FreeAddress(t))
	addresses := []netip.AddrPort{hangingAddress(t), refusing, accepting}
	start := time.Now()
	conn, index, err := Dial(t.Context(), addresses, 2*time.Second)
	if err != nil || index != 2 {
		t.Fatalf("connected to the address with index %d, error %v; want index 2", index, err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // nothing was written to it
	})
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("Dial took %v of the timeout of 2 s", elapsed)
	}
	start = time.Now()
	_, _, err = Dial(t.Context(), addresses[:2], 300*time.Millisecond)
	if err == nil || time.Since(start) > time.Second {
		t.Errorf("Dial without an accepting address: error %v after %v", err, time.Since(start))
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v does not include the refused connection", err)
	}
}

func TestConnectionAttemptDelay(t *testing.T) {
	for _, test := range []struct {
		addresses     int
		timeout, want time.Duration
	}{
		{2, time.Second, 250 * time.Millisecond},
		{2, 90 * time.Millisecond, 30 * time.Millisecond},
		{5, 0, 10 * time.Millisecond},
	} {
		if got := connectionAttemptDelay(test.addresses, test.timeout); got != test.want {
			t.Errorf("delay for %d addresses in %v: %v, want %v", test.addresses, test.timeout, got, test.want)
		}
	}
}

// TestDial_NoAddressesIsAnError guards against a crash: without addresses, Dial returned neither a connection nor an
// error.
func TestDial_NoAddressesIsAnError(t *testing.T) {
	conn, _, err := Dial(t.Context(), nil, 100*time.Millisecond)
	if conn != nil || !errors.Is(err, ErrNoAddress) {
		t.Errorf("connection %v, error %v; want ErrNoAddress", conn, err)
	}
}
