package dnsserver

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

var testSettings = dnszone.Settings{Origin: "calc.example.", Service: "_calc._tcp.calc.example."}

const zoneFileHeader = `$ORIGIN calc.example.
$TTL 30
@ IN SOA ns admin %d 3600 600 86400 30
@ IN NS ns
ns IN A 127.0.0.1
`

// srvPrefix is an SRV record of the service up to its target.
const srvPrefix = "_calc._tcp.calc.example. 30 IN SRV 0 100 7000 "

var testKey = Key{
	Name:      "deploy.",
	Algorithm: dns.HmacSHA256,
	Secret:    []byte("0123456789abcdef0123456789abcdef"),
}

// otherKey has a different algorithm than testKey.
var otherKey = Key{Name: "other.", Algorithm: dns.HmacSHA512, Secret: []byte("fedcba9876543210")}

// zoneFileText returns a zone file with a serial and the given number of backends, named n1, n2 and so on.
func zoneFileText(serial uint32, count int) string {
	var text strings.Builder
	fmt.Fprintf(&text, zoneFileHeader, serial)
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&text, "_calc._tcp SRV 0 100 7000 n%d\nn%d A 127.0.%d.%d\n", i, i, 1+i/250, i%250)
	}
	return text.String()
}

// listRecorder keeps the published list of backends, by name.
type listRecorder struct {
	mu       sync.Mutex
	backends map[string]dnszone.Backend
}

func (r *listRecorder) publish(update BackendListUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.Full {
		r.backends = map[string]dnszone.Backend{}
	}
	for _, backend := range update.Updated {
		r.backends[backend.Name] = backend
	}
	for _, name := range update.Removed {
		delete(r.backends, name)
	}
}

func (r *listRecorder) backend(name string) (dnszone.Backend, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	backend, ok := r.backends[name+".calc.example:7000"]
	return backend, ok
}

func (r *listRecorder) has(name string) bool {
	_, ok := r.backend(name)
	return ok
}

func (r *listRecorder) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.backends)
}

// testServer is a server with the list that it publishes.
type testServer struct {
	*Server
	published    *listRecorder
	startOptions Options // as passed to startServer
}

// startServer starts a server with the test settings on a free port. Keys and rate limit have defaults.
func startServer(tb testing.TB, options Options) (*testServer, error) {
	tb.Helper()
	s := &testServer{published: &listRecorder{}, startOptions: options}
	options.Settings = testSettings
	options.ListenAddress = "127.0.0.1:0"
	options.Publish = s.published.publish
	if options.Keys == nil {
		options.Keys = []Key{testKey, otherKey}
	}
	if options.MaxUpdatesPerSecond == 0 {
		options.MaxUpdatesPerSecond = 10000
	}
	server, err := Start(options)
	if err != nil {
		return nil, err
	}
	// Tests sign messages in the second of the start, which the replay guard of Start would refuse.
	minuteAgoNanos := time.Now().Add(-time.Minute).UnixNano()
	server.replayGuard = dnszone.NewReplayGuard(options.MaxUpdatesPerSecond, minuteAgoNanos)
	tb.Cleanup(server.Close)
	s.Server = server
	return s, nil
}

func mustStart(tb testing.TB, options Options) *testServer {
	tb.Helper()
	s, err := startServer(tb, options)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// newOptions writes a zone file to a new folder, and returns options with this file and a journal in the same folder.
func newOptions(tb testing.TB, zoneFile string) Options {
	tb.Helper()
	folder := tb.TempDir()
	options := Options{
		ZoneFile:    filepath.Join(folder, "calc.zone"),
		JournalFile: filepath.Join(folder, "calc.journal"),
	}
	writeFile(tb, options.ZoneFile, zoneFile)
	return options
}

func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
}

func parseRecord(tb testing.TB, text string) []dns.RR {
	tb.Helper()
	rr, err := dns.NewRR(text)
	if err != nil {
		tb.Fatal(err)
	}
	return []dns.RR{rr}
}

// newUpdate returns an update that adds the given records, and deletes the records that have a leading minus sign.
func newUpdate(tb testing.TB, records ...string) *dns.Msg {
	tb.Helper()
	message := new(dns.Msg).SetUpdate(testSettings.Origin)
	for _, text := range records {
		if deleted, ok := strings.CutPrefix(text, "-"); ok {
			message.Remove(parseRecord(tb, deleted))
		} else {
			message.Insert(parseRecord(tb, text))
		}
	}
	return message
}

func sign(message *dns.Msg, key Key) *dns.Msg {
	return message.SetTsig(key.Name, key.Algorithm, dnszone.FudgeSeconds, time.Now().Unix())
}

// exchange sends a message and returns the RCODE of the answer and the error in its TSIG.
func (s *testServer) exchange(
	tb testing.TB, network string, message *dns.Msg, key Key,
) (rcode, tsigError int) {
	tb.Helper()
	client := dns.Client{Net: network, Timeout: 3 * time.Second, TsigProvider: newKeyring([]Key{key})}
	answer, _, err := client.Exchange(message, s.Address())
	if answer == nil {
		tb.Fatal(err)
	}
	if tsig := answer.IsTsig(); tsig != nil {
		tsigError = int(tsig.Error)
		isNotAuth := answer.Rcode == dns.RcodeNotAuth // the library does not verify the signature of such an answer
		if tsigError == 0 && err != nil && !isNotAuth {
			tb.Fatalf("verify the signature of the answer: %v, %s", err, answer)
		}
	}
	return answer.Rcode, tsigError
}

// sendUpdate signs and sends an update, and returns the RCODE of its answer.
func (s *testServer) sendUpdate(tb testing.TB, network string, records ...string) int {
	tb.Helper()
	rcode, _ := s.exchange(tb, network, sign(newUpdate(tb, records...), testKey), testKey)
	return rcode
}
