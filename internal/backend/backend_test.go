package backend

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"fawnplank/internal/dispatch"
	"fawnplank/internal/membudget"
	"fawnplank/internal/metrics"
	"fawnplank/policy"
)

func TestMeaningOfAnswers(t *testing.T) {
	long, most := strings.Repeat("v", mostValue), strconv.Itoa(mostValue)
	for text, want := range map[string]struct {
		value string
		units float64
		err   error
	}{
		"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n":                    {"$2\r\nok\r\n", 0, nil},
		"*3\r\n$0\r\n\r\n$14\r\nused=86,cost=3\r\n$-1\r\n":    {"$0\r\n\r\n", 3, nil},
		"*3\r\n$4\r\n\r\n\r\n\r\n$6\r\ncost=x\r\n$-1\r\n":     {"$4\r\n\r\n\r\n\r\n", 0, nil},
		"*3\r\n$2\r\nok\r\n$8\r\ncost=NaN\r\n$5\r\nqps=4\r\n": {"$2\r\nok\r\n", 0, nil},
		"*3\r\n$2\r\nok\r\n$-1\r\n$3\r\n\x00\n\xff\r\n":       {"$2\r\nok\r\n", 0, nil},
		"*3\r\n$2\r\nok\r\n:5\r\n+x\r\n":                      {"$2\r\nok\r\n", 0, nil},
		"*1\r\n$2\r\nok\r\n":                                  {"$2\r\nok\r\n", 0, nil},
		"*1\r\n$" + most + "\r\n" + long + "\r\n":             {"$" + most + "\r\n" + long + "\r\n", 0, nil},
		"-BUSY\r\n":                    {"", 0, dispatch.ErrRejected},
		"-BUSY inflight=7,queue=2\r\n": {"", 0, dispatch.ErrRejected},
		"-ERR failed inflight=7\r\n":   {"", 0, dispatch.ErrBackendFailed},
	} {
		size, value, units, err := parse([]byte(text))
		if size != len(text) || string(value) != want.value || units != want.units || err != want.err {
			t.Errorf("%.50q: %d, %.50q, %v, %v", text, size, value, units, err)
		}
		for n := 1; n < len(text); n += 1 + n/100 { // cut short it is not yet anything
			if size, _, _, err := parse([]byte(text[:n])); size != 0 || err != nil {
				t.Errorf("%.50q: %d, %v", text[:n], size, err)
			}
		}
	}
}

// Failure: what could never become an answer was waited for until the shot's time was up; a length below zero
// ended the reader.
func TestSpoiltAnswersAreSeenAtOnce(t *testing.T) {
	for _, text := range []string{"*3\r\n$-1\r\n", "*0\r\n", "*-1\r\n", "*-7\r\n", "*3\r\n$-5\r\n",
		"*9999999999999999999\r\n", "*1000000\r\n", "*3\r\n$3221225472\r\nxxxx", "*3\r\n$" + strconv.Itoa(mostValue+1) + "\r\n",
		"*3\r\n$two\r\n", "*3\r\n$+2\r\n", "*3\n", "*\r\n", "*3\r\n:5\r\n", "*3\r\n$2\r\nokay\r\n", "*3\r\n$4\r\nok\r\n$-1",
		"*3\r\n$2\r\nok\r\n$x\r\n", "*3\r\n$2\r\nok\r\nnoise\r\n", "*" + strings.Repeat("3", 50),
		"-" + strings.Repeat("E", 2000), "-BUSYBODY\r\n", "-\r\n", "-SYNTAX\r\n", "$2\r\nok\r\n", "+OK\r\n", ":1\r\n",
		"HTTP/1.1 200 OK\r\n", "\x00", "\r\n"} {
		if size, _, _, err := parse([]byte(text)); size != 0 || err != dispatch.ErrBackendFailed {
			t.Errorf("%.40q: %d, %v", text, size, err)
		}
	}
	cut := func(seed int64) bool { // noise, and good answers with a byte changed: never a panic, never a wrong value
		chance := rand.New(rand.NewSource(seed))
		good := []byte("*3\r\n$5\r\nvalue\r\n$7\r\nused=12\r\n$5\r\nqps=4\r\n")
		good[chance.Intn(len(good))] = byte(chance.Intn(256))
		size, value, _, err := parse(good)
		return size == 0 || err == nil && size <= len(good) && bytes.HasSuffix(value, []byte("\r\n"))
	}
	if err := quick.Check(cut, &quick.Config{MaxCount: 20000, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Error(err)
	}
}

// listen is a backend that answers nothing but, perhaps, a PING; it passes its connections on.
func listen(t *testing.T, ping string) (string, chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			if ping != "" {
				buf := make([]byte, 100)
				c.Read(buf)
				c.Write([]byte(ping))
			}
		}
	}()
	return l.Addr().String(), conns
}

func TestProbes(t *testing.T) {
	told := make(chan error, 1)
	p := New(10, 200*time.Millisecond, time.Second, func(b policy.BackendID, err error) { told <- err })
	for answer, good := range map[string]bool{"+PONG\r\n": true, "-ERR busy\r\n": false, "": false} {
		at, _ := listen(t, answer)
		p.SetAddress(1, at)
		p.CheckHealth(1)
		if err := <-told; (err == nil) != good {
			t.Errorf("%q: %v", answer, err)
		}
	}
	p.Forget(1)
	p.CheckHealth(1)
	if err := <-told; err == nil {
		t.Error("a probe without an address")
	}
}

// warm gives a pool a warm connection to a backend, as after an answered shot.
func warm(t *testing.T, p *Pool, b policy.BackendID) *conn {
	t.Helper()
	c, to, err := p.take(b)
	if err == nil && c == nil {
		c, err = p.dial(to)
	}
	if err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	c.settle()
	c.used = c.used.Add(-mostLate) // at rest for long enough
	p.mu.Unlock()
	return c
}

// Failure: a connection was used again at once after an answer, and a second answer that came some milliseconds after
// the first was taken for the next shot's.
func TestConnectionRestsForALateSecondAnswer(t *testing.T) {
	p := New(10, 200*time.Millisecond, 10*time.Second, nil)
	at, conns := listen(t, "")
	p.SetAddress(1, at)
	c := warm(t, p, 1)
	p.mu.Lock()
	c.used = time.Now()
	p.mu.Unlock()
	if again, _, err := p.take(1); again != nil || err != nil {
		t.Errorf("used again at once: %t, %v", again != nil, err)
	}
	(<-conns).Write([]byte("*1\r\n$3\r\nold\r\n"))
	for down := false; !down; time.Sleep(time.Millisecond) { // the late one ends the connection
		p.mu.Lock()
		down = c.down
		p.mu.Unlock()
	}
	old, young := warm(t, p, 1), warm(t, p, 1)
	if old == young {
		old = warm(t, p, 1)
	}
	p.mu.Lock()
	young.used = time.Now()
	p.mu.Unlock()
	if again, _, err := p.take(1); again == young || err != nil {
		t.Errorf("the one that has just been used, %v", err)
	}
}

// Probes hold descriptors of the pool, not of its owner's few: as many as there are backends may be under way.
func TestProbesAreCountedAmongTheConnections(t *testing.T) {
	told := make(chan error, 10)
	p := New(2, 300*time.Millisecond, time.Second, func(b policy.BackendID, err error) { told <- err })
	at, conns := listen(t, "")
	for b := policy.BackendID(1); b <= 3; b++ {
		p.SetAddress(b, at)
	}
	for b := policy.BackendID(1); b <= 2; b++ {
		p.CheckHealth(b)
		<-conns
	}
	p.CheckHealth(3)
	if err := <-told; !errors.Is(err, errCrowded) {
		t.Errorf("a third probe of two: %v", err)
	}
	if _, _, err := p.take(1); err != errCrowded {
		t.Errorf("a connection beside them: %v", err)
	}
	<-told
	<-told
	for range 2 {
		if _, _, err := p.take(1); err != nil {
			t.Errorf("after them: %v", err)
		}
	}
}

// Failure: an answer that never ends, a few bytes at a time, kept its connection for good once its shot was given up.
func TestAnAnswerWithoutEndIsLeft(t *testing.T) {
	p := New(10, 200*time.Millisecond, 10*time.Second, nil)
	at, conns := listen(t, "")
	p.SetAddress(1, at)
	c := warm(t, p, 1)
	there := <-conns
	p.mu.Lock()
	c.until = time.Now() // it is over
	c.orphan.Store(true)
	p.mu.Unlock()
	there.Write([]byte("*1\r\n$1000\r\n"))
	for down, until := false, time.Now().Add(time.Second); !down; time.Sleep(10 * time.Millisecond) {
		there.Write([]byte("x"))
		p.mu.Lock()
		down = c.down
		p.mu.Unlock()
		if time.Now().After(until) {
			t.Fatal("still read")
		}
	}
}

// Failure: a shot whose connection was at hand when its backend moved to another address, or was forgotten, went out to
// the old one, where another backend may listen by now.
func TestAShotDoesNotGoWhereItsBackendWas(t *testing.T) {
	for name, change := range map[string]func(p *Pool){
		"moved": func(p *Pool) { p.SetAddress(1, "127.0.0.1:1") },
		"gone":  func(p *Pool) { p.Forget(1) },
	} {
		p := New(10, 200*time.Millisecond, 10*time.Second, nil)
		p.Metrics = metrics.New([]string{"lookup"})
		at, conns := listen(t, "")
		p.SetAddress(1, at)
		warm(t, p, 1)
		there := <-conns
		f := dispatch.New()
		f.Start(dispatch.Config{Seed: 9, Settings: policy.Settings{Instances: 1, MaxAttempts: 1, SlowStartShare: 1, OverloadMultiple: 2, OverloadWindow: 1e9, Plans: []policy.PlanSettings{{}},
			Classes: []policy.ClassSettings{{LatencyObjective: 1e9, Deadline: 1e9}}}})
		f.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})
		tx := f.Submit(dispatch.RequestSpec{Tenant: 1, Timeout: time.Second, Units: 1, EntryPoints: 1})
		step := tx.NextStep()
		c, _, err := p.take(1)
		if step.Action != dispatch.Send || c == nil || err != nil {
			t.Fatalf("%s: %+v, %v, %v", name, step, c, err)
		}
		change(p)
		c.write(step.Attempt, [][]byte{[]byte("*1\r\n$4\r\nPING\r\n")})
		if last := tx.NextStep(); last.Action != dispatch.Reject { // never sent
			t.Errorf("%s: %+v", name, last)
		}
		there.SetReadDeadline(time.Now().Add(time.Second))
		if n, err := there.Read(make([]byte, 10)); n > 0 || err != io.EOF {
			t.Errorf("%s: the backend reads %d bytes, %v", name, n, err)
		}
		f.Stop()
	}
}

// A shot that is given up ends the sending on its connection at once: until then it counts as out, and where no second
// copies are allowed the next one would be a second.
func TestAShotGivenUpEndsTheSending(t *testing.T) {
	p := New(10, 200*time.Millisecond, 10*time.Second, nil)
	at, conns := listen(t, "")
	p.SetAddress(1, at)
	c := warm(t, p, 1)
	s := &dispatch.Attempt{}
	p.mu.Lock()
	c.shot, c.came = s, dispatch.Written
	p.mu.Unlock()
	if c.Abandon(s) {
		t.Error("it is to be reported")
	}
	there := <-conns
	there.SetReadDeadline(time.Now().Add(time.Second)) // a third of what its reader waits for the rest of an answer
	if _, err := there.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the backend reads %v", err)
	}
}

func TestWarmConnectionsAreBounded(t *testing.T) {
	p := New(2, 200*time.Millisecond, 200*time.Millisecond, nil)
	one, conns := listen(t, "")
	two, _ := listen(t, "")
	p.SetAddress(1, one)
	p.SetAddress(2, two)
	first := warm(t, p, 1)
	if warm(t, p, 1) != first {
		t.Error("a warm connection is not used again")
	}
	second := warm(t, p, 2)
	p.mu.Lock()
	second.used = second.used.Add(time.Millisecond)
	p.mu.Unlock()
	p.SetAddress(3, two)
	third := warm(t, p, 3) // the oldest makes room
	if !first.down || second.down || third.down || p.conns != 2 {
		t.Errorf("closed: %t %t %t, %d open", first.down, second.down, third.down, p.conns)
	}
	time.Sleep(110 * time.Millisecond) // half of the time after which backends close
	if again := warm(t, p, 2); again == second || !second.down {
		t.Error("a connection that has been idle for too long is used")
	}
	p.SetAddress(2, one) // at another address now
	p.Forget(3)
	if !third.down || len(p.peers[2].warm) != 0 {
		t.Error("connections to a backend that moved or is gone are kept")
	}
	for range 2 {
		if c, _, err := p.take(1); err != nil || c != nil { // room for two new ones
			t.Errorf("%v, %v", c, err)
		}
	}
	if _, _, err := p.take(1); err != errCrowded {
		t.Errorf("beyond the limit: %v", err)
	}
	<-conns
}

// Failure: noise behind a good answer was taken for the answer to the next shot on the connection; its reader
// may have read it already.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	p := New(10, 200*time.Millisecond, 10*time.Second, nil)
	at, conns := listen(t, "")
	p.SetAddress(1, at)
	c := warm(t, p, 1)
	(<-conns).Write([]byte("*1\r\n$3\r\nold\r\n"))
	p.mu.Lock() // its reader cannot get at the pool's state meanwhile
	for c.nc.Settled() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond) // now it has them in hand
	p.mu.Unlock()
	if again, _, err := p.take(1); again != nil || err != nil || !c.down {
		t.Errorf("%v, %v, closed: %t", again, err, c.down)
	}
}

// Failure: an answer that came before its shot's writer was done had the next shot written among the first one's
// last steps.
func TestConnectionRestsOnceItsWriterIsDone(t *testing.T) {
	p := New(10, 200*time.Millisecond, 10*time.Second, nil)
	at, _ := listen(t, "")
	p.SetAddress(1, at)
	c := warm(t, p, 1)
	if got, _, _ := p.take(1); got != c {
		t.Fatal("not warm")
	}
	s := &dispatch.Attempt{}
	p.mu.Lock()
	c.shot, c.writing = s, true
	p.mu.Unlock()
	func() {
		defer func() { recover() }() // nobody is told of this shot
		c.answered(nil, 0, nil, true)
	}()
	if got, _, _ := p.take(1); got != nil {
		t.Error("given out while it is written to")
	}
	p.mu.Lock()
	c.wrote()
	p.mu.Unlock()
	p.mu.Lock()
	c.used = c.used.Add(-mostLate)
	p.mu.Unlock()
	if got, _, _ := p.take(1); got != c {
		t.Error("not warm after the writer is done")
	}
}

// What large answers hold is bounded over all connections, and given back; a reader that finds no room waits
// for it, and gets it once another gives it back.
func TestLargeAnswersAreBoundedTogether(t *testing.T) {
	p := New(100, 200*time.Millisecond, 10*time.Second, nil)
	const most = 8 << 20
	p.Budget = membudget.New(most)
	head := append([]byte("*3\r\n$1000000\r\n"), make([]byte, 4096-15)...)
	size := 4 + 11 + 1000000 + mostLine // the head of the answer, its value, and a line
	var held []*conn
	for len(held) < most/(size-plainAnswer) {
		c := &conn{pool: p}
		if buf := c.grow(head); len(buf) == len(head) {
			break
		} else if len(buf) < 1000000 || string(buf[:15]) != string(head[:15]) {
			t.Fatalf("%d bytes, %q", len(buf), buf[:15])
		}
		held = append(held, c)
	}
	waiting := make(chan int)
	go func() { waiting <- len((&conn{pool: p}).grow(head)) }()
	select {
	case n := <-waiting:
		t.Fatalf("a large answer beyond the room got %d bytes", n)
	case <-time.After(100 * time.Millisecond):
	}
	held[0].grow(nil)
	if n := <-waiting; n < 1000000 {
		t.Errorf("room given back is not taken: %d bytes", n)
	}
	held = held[1:]
	if c := (&conn{pool: p}); len(c.grow(make([]byte, 4096))) != 8192 {
		t.Error("no room for a plain answer")
	}
	for _, c := range held {
		c.grow(nil)
	}
	if _, ok := p.Budget.Acquire(int64(most-(size-plainAnswer)), time.Now()); !ok {
		t.Error("room is still held")
	}
}

// A backend with a hanging address and a good one is one backend: the first connection comes up well within the
// time, the next ones go to the good address at once, and no connection is left at any other.
func TestOneBackendWithSeveralAddresses(t *testing.T) {
	good, conns := listen(t, "")
	refuses, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bad := refuses.Addr().String()
	refuses.Close()
	p := New(4, 500*time.Millisecond, time.Second, nil)
	all := []netip.AddrPort{netip.MustParseAddrPort(bad), netip.MustParseAddrPort(good)}
	p.SetAddresses(1, all)
	c := warm(t, p, 1)
	if got := c.nc.RemoteAddr().String(); got != good {
		t.Fatal(got)
	}
	<-conns
	if first := p.peers[1].several[0]; first != all[1] || len(p.peers[1].several) != 2 {
		t.Errorf("%v is first next time, in %v", first, p.peers[1].several)
	}
	p.SetAddresses(1, all) // told again: its warm connection stays
	if again, _, err := p.take(1); err != nil || again != c {
		t.Error("another connection: ", err)
	}
	select {
	case <-conns:
		t.Error("a second connection to one backend")
	case <-time.After(50 * time.Millisecond):
	}
	p.SetAddresses(1, all[:1]) // elsewhere now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns != 1 || p.peers[1].several[0] != all[0] {
		t.Error("the old addresses stand")
	}
}
