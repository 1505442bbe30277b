package frontend

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"fawnplank/internal/backend"
	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// BenchmarkFront_Request measures one request from a client's connection through the decisions to a backend on loopback
// in the same process, and its answer's way back. The allocations are the whole process's; the stand-in makes none.
func BenchmarkFront_Request(b *testing.B) {
	f := dispatch.New()
	pool := backend.New(50, 200*time.Millisecond, 10*time.Second, f.HandleHealthCheck)
	f.Start(dispatch.Config{Seed: 9, Settings: terms, HealthChecker: pool})
	b.Cleanup(f.Stop)
	listen := func() net.Listener {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Close() })
		return l
	}
	behind, clients := listen(), listen()
	go func() {
		for {
			c, err := behind.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf, answer := make([]byte, 4096), []byte(served)
				for { // the one client has one request out: what comes is one, whole
					if _, err := c.Read(buf); err != nil {
						return
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	server := New(Options{Dispatcher: f, Pool: pool, MaxConnections: 10, Config: &config.Config{Settings: terms,
		Classes: map[string]policy.ClassID{"lookup": 0}, Plans: map[string]policy.PlanID{"team": 0}, MaxUnits: 8}})
	go server.Serve(clients)
	pool.SetAddress(1, behind.Addr().String())
	f.UpdateEndpoints(policy.FullSnapshot, []policy.Endpoint{{Backend: 1, State: policy.EndpointReady}})

	c, err := net.Dial("tcp4", clients.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	r, got := bufio.NewReader(c), make([]byte, len("$2\r\nok\r\n"))
	var requests [64][]byte // an id is not used twice in a row
	for n := range requests {
		requests[n] = []byte(query(strconv.Itoa(n), lookup))
	}
	b.ReportAllocs()
	n, rejected := 0, 0
	for b.Loop() {
		for {
			if _, err := c.Write(requests[n%len(requests)]); err != nil {
				b.Fatal(err)
			}
			n++
			if first, err := r.Peek(1); err == nil && first[0] == '-' { // a busy machine looks like a jam: told, not timed
				b.StopTimer()
				line, _ := r.ReadString('\n')
				after, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
				if err != nil {
					b.Fatalf("%q", line)
				}
				time.Sleep(time.Duration(after) * time.Millisecond)
				rejected++
				b.StartTimer()
				continue
			}
			break
		}
		if _, err := io.ReadFull(r, got); err != nil || string(got) != "$2\r\nok\r\n" {
			b.Fatalf("%q, %v", got, err)
		}
	}
	b.ReportMetric(float64(rejected), "rejected")
}
