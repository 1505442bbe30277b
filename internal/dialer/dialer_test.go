package dialer

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func addresses(text string) (all []netip.AddrPort) {
	for _, a := range strings.Fields(text) {
		all = append(all, netip.AddrPortFrom(netip.MustParseAddr(a), 80))
	}
	return all
}

func TestOrder(t *testing.T) {
	for _, x := range []struct{ all, none, want string }{
		{"192.0.2.1 2001:db8::1", "", "2001:db8::1 192.0.2.1"},
		{"192.0.2.1 2001:db8::1", "2001:db8::1", "192.0.2.1 2001:db8::1"},
		{"192.0.2.1 192.0.2.2 2001:db8::1 2001:db8::2", "", "2001:db8::1 192.0.2.1 2001:db8::2 192.0.2.2"},
		{"192.0.2.1 192.0.2.2 2001:db8::1 2001:db8::2", "2001:db8::1 2001:db8::2", "192.0.2.1 192.0.2.2 2001:db8::1 2001:db8::2"},
		{"192.0.2.1 fc00::1", "", "192.0.2.1 fc00::1"}, // a unique local address comes after IPv4
		{"fc00::1 2001:db8::1 ::1", "", "::1 2001:db8::1 fc00::1"},
		{"192.0.2.2 192.0.2.1", "", "192.0.2.2 192.0.2.1"},
	} {
		got := Order(addresses(x.all), func(a netip.Addr) bool { return !strings.Contains(" "+x.none+" ", " "+a.String()+" ") })
		if fmt.Sprint(got) != fmt.Sprint(addresses(x.want)) {
			t.Errorf("%s without %q: %v", x.all, x.none, got)
		}
	}
	if Gap(2, time.Second) != 250*time.Millisecond || Gap(2, 90*time.Millisecond) != 30*time.Millisecond || Gap(5, 0) != 10*time.Millisecond {
		t.Error("gaps")
	}
}

// silent is an address that takes no connection and says nothing: its queue of connections is full.
func silent(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, _ := l.(*net.TCPListener).SyscallConn()
	raw.Control(shrink)
	at := l.Addr().(*net.TCPAddr).AddrPort()
	for range 8 {
		c, err := net.DialTimeout("tcp4", at.String(), 100*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue does not fill")
	return at
}

// An address that hangs, one that refuses, and one that answers are one backend: the one that answers is reached well
// within the time, and it alone has a connection in the end.
func TestAHangingAddressTakesAPartOfTheTime(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	good := l.Addr().(*net.TCPAddr).AddrPort()
	refuses, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses.Close()
	all := []netip.AddrPort{silent(t), refuses.Addr().(*net.TCPAddr).AddrPort(), good}
	began := time.Now()
	c, n, err := Dial(all, 2*time.Second)
	if err != nil || n != 2 {
		t.Fatalf("%d, %v", n, err)
	}
	defer c.Close()
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %v of two seconds", took)
	}
	began = time.Now()
	if _, _, err := Dial(all[:2], 300*time.Millisecond); err == nil || time.Since(began) > time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}
