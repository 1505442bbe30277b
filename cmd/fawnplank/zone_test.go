package main

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/config"
	"fawnplank/internal/dnsserver"
	"fawnplank/internal/dnszone"
	"fawnplank/internal/testutil"
)

const zoneText = `$ORIGIN calc.example.
$TTL 30
@ IN SOA ns admin 1 3600 600 86400 30
@ IN NS ns
ns IN A 127.0.0.1
_calc._tcp SRV 0 100 7000 n0
n0 A 127.0.0.10
`

// zoneFiles are the configuration files of a gateway with a zone, in one folder.
type zoneFiles struct {
	folder             string
	address            string // of the name server
	operator, settings string
	key                dnsserver.Key
}

func newZoneFiles(t *testing.T, journal bool) zoneFiles {
	t.Helper()
	folder := t.TempDir()
	z := zoneFiles{folder: folder, address: freeAddress(t)}
	z.operator, z.settings = z.path("op.toml"), z.path("config.json")
	text := fmt.Sprintf("[dns]\nzone_file = %q\norigin = \"calc.example\"\n"+
		"service = \"_calc._tcp.calc.example\"\nlisten = %q\n", z.path("zone"), z.address)
	if journal {
		text += fmt.Sprintf("journal = %q\n", z.path("journal"))
	}
	text += fmt.Sprintf("[[dns.key]]\nname = \"deploy\"\nsecret_file = %q\n", z.path("key"))
	writeFile(t, z.operator, text)
	writeFile(t, z.path("zone"), zoneText)
	writeFile(t, z.path("key"), base64.StdEncoding.EncodeToString([]byte("a secret of some length")))
	writeFile(t, z.settings, fmt.Sprintf(configuration, freeAddress(t), freeAddress(t), freeAddress(t)))
	key, err := dnsserver.ReadKey("deploy", "hmac-sha256", z.path("key"))
	if err != nil {
		t.Fatal(err)
	}
	z.key = key
	return z
}

func (z zoneFiles) path(name string) string { return filepath.Join(z.folder, name) }

// update sends one DNS update that adds the given records, and deletes those with a leading minus sign.
func (z zoneFiles) update(texts ...string) error {
	message := new(dns.Msg).SetUpdate("calc.example.")
	for _, text := range texts {
		record, err := dns.NewRR(strings.TrimPrefix(text, "-"))
		if err != nil {
			return err
		}
		if text[0] == '-' {
			message.Remove([]dns.RR{record})
		} else {
			message.Insert([]dns.RR{record})
		}
	}
	return dnsserver.SendUpdate(message, z.address, z.key, 2*time.Second)
}

// currentZone reads the current zone from the journal, or from a replica if an API address is given.
func (z zoneFiles) currentZone(api string) (*dnszone.Zone, error) {
	operator, err := config.ReadOperatorSettings(z.operator)
	if err != nil {
		return nil, err
	}
	options := dnsOptions(operator.DNS)
	if api != "" {
		options.ReplicatedStore = &dnsserver.ReplicatedZone{Replica: storeClient{address: api}}
	}
	zone, _, err := dnsserver.ReadCurrentZone(options)
	return zone, err
}

// startServe starts a gateway without waiting until it listens.
func (z zoneFiles) startServe(t *testing.T) *exec.Cmd {
	t.Helper()
	process := programCommand(t, "serve", "-c", z.settings, "--operator", z.operator)
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	return process
}

// replaceBackend deletes one backend and adds the next one in a single update, so that there is always exactly one.
func (z zoneFiles) replaceBackend(i int64) error {
	srv := func(n int64) string {
		return fmt.Sprintf("_calc._tcp.calc.example. SRV 0 100 7000 n%d.calc.example.", n)
	}
	address := func(n int64) string { return fmt.Sprintf("n%d.calc.example. A 127.0.%d.%d", n, n/200, 10+n%200) }
	return z.update("-"+srv(i-1), "-"+address(i-1), srv(i), address(i))
}

// TestZone_JournaledUpdatesSurviveKills kills a gateway many times while it receives updates. The journal must contain
// every update that was acknowledged, and no update in part.
func TestZone_JournaledUpdatesSurviveKills(t *testing.T) {
	z := newZoneFiles(t, true)
	process := z.startServe(t)
	t.Cleanup(func() {
		kill(process)
		_ = process.Wait() // reports the kill
	})
	var lastAnswered atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := int64(1); ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			if z.replaceBackend(i) == nil {
				lastAnswered.Store(i)
			} else {
				time.Sleep(20 * time.Millisecond)
				i-- // sent again; if the first one was applied, it changes nothing
			}
		}
	}()
	random := rand.New(rand.NewPCG(3, 3))
	kills := 0
	for ; kills < 12; kills++ {
		before := lastAnswered.Load()
		testutil.Eventually(t, "an update", func() bool { return lastAnswered.Load() > before })
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		answered := lastAnswered.Load()
		kill(process)
		_ = process.Wait() // reports the kill
		zone, err := z.currentZone("")
		if err != nil {
			t.Fatal(err)
		}
		list := zone.Backends()
		last := int64(zone.Serial()) - 1 // each update increments the serial by one
		if len(list) != 1 || last < answered || last > lastAnswered.Load()+1 ||
			list[0].Name != fmt.Sprintf("n%d.calc.example:7000", last) || len(zone.Records()) != 5 {
			t.Fatalf("kill %d: %d updates acknowledged; serial %d, backends %+v", kills, answered, zone.Serial(), list)
		}
		process = z.startServe(t)
	}
	close(stop)
	<-ended
	t.Logf("%d kills, %d updates", kills, lastAnswered.Load())
	if lastAnswered.Load() < 20 {
		t.Error("too few updates for this test, want at least 20")
	}
}

// backendName returns the name of the i-th backend that is added through a gateway.
func backendName(gateway, i int) string { return fmt.Sprintf("d%d-%d.calc.example", gateway, i) }

// addBackend adds a backend through a gateway.
func (z zoneFiles) addBackend(gateway, i int) error {
	name := backendName(gateway, i) + "."
	return z.update("_calc._tcp.calc.example. SRV 0 100 7000 "+name,
		fmt.Sprintf("%s A 127.%d.%d.%d", name, 1+gateway, 1+i/200, 1+i%200))
}

// committedNames are the backends whose updates were acknowledged.
type committedNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// addBackends adds backends through a gateway until stop is closed.
func (c *committedNames) addBackends(z zoneFiles, gateway int, stop <-chan struct{}) {
	for i := 1; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if z.addBackend(gateway, i) != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.mu.Lock()
		c.names[backendName(gateway, i)+":7000"] = true
		c.mu.Unlock()
	}
}

// answersSerial reports whether the name server answers an SOA query with the zone's serial.
func (z zoneFiles) answersSerial(zone *dnszone.Zone) bool {
	question := new(dns.Msg).SetQuestion("calc.example.", dns.TypeSOA)
	answer, _, err := new(dns.Client).Exchange(question, z.address)
	return err == nil && len(answer.Answer) == 1 && answer.Answer[0].(*dns.SOA).Serial == zone.Serial()
}

// TestZone_ReplicatedUpdatesSurviveKills sends updates to two gateways with a replicated zone while replicas are
// killed. In the end both gateways must have the same zone, which contains every acknowledged update.
func TestZone_ReplicatedUpdatesSurviveKills(t *testing.T) {
	replicas := newReplicas(t, "a", "b", "c")
	var files []zoneFiles
	for _, r := range replicas[:2] {
		z := newZoneFiles(t, false)
		files = append(files, z)
		r.args = []string{"serve", "-c", z.settings, "--operator", z.operator}
	}
	startReplicas(t, replicas)
	for n, z := range files {
		testutil.Eventually(t, "a first update", func() bool { return z.addBackend(n, 0) == nil })
	}
	var updaters sync.WaitGroup
	committed := committedNames{names: map[string]bool{}}
	stop := make(chan struct{})
	for n, z := range files {
		updaters.Go(func() { committed.addBackends(z, n, stop) })
	}
	random := rand.New(rand.NewPCG(4, 4))
	for range 5 {
		time.Sleep(time.Duration(500+random.IntN(500)) * time.Millisecond)
		r := replicas[random.IntN(3)]
		r.kill()
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		r.start(t, replicas)
	}
	close(stop)
	updaters.Wait()
	var zones [2]*dnszone.Zone
	testutil.Eventually(t, "the same list at both gateways", func() bool {
		for n, z := range files {
			zone, err := z.currentZone(replicas[n].apiAddress)
			if err != nil || zone == nil || !z.answersSerial(zone) {
				return false
			}
			zones[n] = zone
		}
		return zones[0].Serial() == zones[1].Serial()
	})
	checkCommitted(t, zones[0], committed.names)
	checkZoneList(t, "--operator", files[0].operator)
	checkZoneList(t, "--store", replicas[0].apiAddress, "--operator", files[0].operator)
	t.Logf("%d updates committed, serial %d", len(committed.names), zones[0].Serial())
	if len(committed.names) < 20 {
		t.Error("too few updates for this test, want at least 20")
	}
}

func checkCommitted(t *testing.T, zone *dnszone.Zone, committed map[string]bool) {
	t.Helper()
	held := map[string]bool{}
	for _, backend := range zone.Backends() {
		held[backend.Name] = true
	}
	for name := range committed {
		if !held[name] {
			t.Errorf("the update with %s was acknowledged, but the zone lacks it", name)
		}
	}
}

// checkZoneList checks that the output of dns list contains the zone file's backend.
func checkZoneList(t *testing.T, flags ...string) {
	t.Helper()
	out, err := runProgram(t, append([]string{"dns", "list"}, flags...)...)
	if err != nil || !strings.Contains(out, "n0.calc.example:7000") {
		t.Errorf("%v: %v, %s", flags, err, out)
	}
}

// TestZone_CommandLineReportsInvalidFiles checks that the commands report errors in the operator file, the key file and
// the zone file, with file, line and key.
func TestZone_CommandLineReportsInvalidFiles(t *testing.T) {
	z := newZoneFiles(t, true)
	text := readFile(t, z.operator)
	invalidFile := filepath.Join(t.TempDir(), "op.toml")
	for _, test := range []struct{ old, invalid, want string }{
		{"origin = \"calc.example\"", "origin = \"\"", "op.toml:3: dns.origin"},
		{"_calc._tcp.calc.example", "_calc._tcp.other", "op.toml:4: dns.service"},
		{z.address, "nowhere", "op.toml:5: dns.listen"},
		{"[[dns.key]]", "updates_per_second = 0\n[[dns.key]]", "op.toml:7: dns.updates_per_second"},
		{"[[dns.key]]", "notify = [\"x\"]\n[[dns.key]]", "op.toml:7: dns.notify"},
		{"name = \"deploy\"", "name = \"deploy\"\nalgorithm = \"hmac-md5\"", "op.toml:7: dns.key[0]"},
		{z.path("key"), "/nowhere", "op.toml:7: dns.key[0]"},
		{"zone_file", "# zone_file", "dns.zone_file is missing"},
	} {
		writeFile(t, invalidFile, strings.Replace(text, test.old, test.invalid, 1))
		if out, err := runProgram(t, "check", invalidFile); err == nil || !strings.Contains(out, test.want) {
			t.Errorf("%s: %v, %s", test.invalid, err, out)
		}
	}
	if err := os.Chmod(z.path("key"), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := runProgram(t, "check", z.operator); err == nil || !strings.Contains(out, "others than its owner") {
		t.Errorf("%v, %s", err, out)
	}
	if err := os.Chmod(z.path("key"), 0o600); err != nil {
		t.Fatal(err)
	}
	writeFile(t, z.path("zone"), zoneText+"n1 A 1.2.3\n")
	for _, args := range [][]string{{"check", z.operator}, {"serve", "-c", z.settings, "--operator", z.operator}} {
		if out, err := runProgram(t, args...); err == nil || !strings.Contains(out, "zone:8: ") {
			t.Errorf("%v: %v, %s", args, err, out)
		}
	}
}

// updateOnCommandLine sends an update with the command dns update.
func (z zoneFiles) updateOnCommandLine(t *testing.T, args ...string) (string, error) {
	t.Helper()
	update := []string{"dns", "update", "--at", z.address, "--zone", "calc.example", "--key", "deploy",
		"--secret-file", z.path("key")}
	return runProgram(t, append(update, args...)...)
}

// TestZone_CommandLineUpdates checks the command dns update, and that dns list prints the entries with their origins.
func TestZone_CommandLineUpdates(t *testing.T) {
	z := newZoneFiles(t, true)
	process := z.startServe(t)
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	t.Cleanup(func() { kill(process) })
	testutil.Eventually(t, "a successful update", func() bool {
		_, err := z.updateOnCommandLine(t, "--add", "_calc._tcp.calc.example. SRV 0 200 7000 n1.calc.example.",
			"--add", "n1.calc.example. A 127.0.0.11")
		return err == nil
	})
	out, err := z.updateOnCommandLine(t, "--add", "_calc._tcp.calc.example. SRV 0 1 1 n9.calc.example.")
	if err == nil || !strings.Contains(out, "REFUSED") {
		t.Errorf("%v, %s", err, out)
	}
	if out, err := z.updateOnCommandLine(t, "--add", "nonsense"); err == nil || !strings.Contains(out, "no record") {
		t.Errorf("%v, %s", err, out)
	}
	if out, err := z.updateOnCommandLine(t, "--add", "; a comment"); err == nil || !strings.Contains(out, "no record") {
		t.Errorf("%v, %s", err, out)
	}
	out, err = runProgram(t, "dns", "list", "--operator", z.operator)
	for _, want := range []string{
		"serial 2", "2 backends", "zone:6, serial 1", "update by deploy., serial 2", "127.0.0.11:7000",
	} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("%v: the output lacks %q: %s", err, want, out)
		}
	}
	if out, err := runProgram(t, "dns", "list"); err == nil || !strings.Contains(out, "names no zone") {
		t.Errorf("%v, %s", err, out)
	}
	sendSignal(t, process, syscall.SIGTERM)
	select {
	case err := <-ended:
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the gateway did not exit after SIGTERM")
	}
}

// Guards against requests that are lost at a planned restart: SIGTERM was not acted on while a reload waited, for the
// disk that holds the zone file or for the store's leader.
func TestZone_TerminationDoesNotWaitForReload(t *testing.T) {
	z := newZoneFiles(t, false)
	address := freeAddress(t)
	writeFile(t, z.settings, fmt.Sprintf(configuration, address, freeAddress(t), freeAddress(t)))
	process := z.startServe(t)
	var conn net.Conn
	testutil.Eventually(t, "the gateway listens", func() bool {
		var err error
		conn, err = tryDial(t, address)
		return err == nil
	})
	t.Cleanup(func() { closeIgnoringError(conn) })
	setDeadline(conn, connectionTimeout)
	reader := bufio.NewReader(conn)
	send(conn, "*1\r\n$4\r\nPING\r\n")
	if line, err := reader.ReadString('\n'); line != "+PONG\r\n" || err != nil {
		t.Fatalf("%q, %v", line, err)
	}
	if err := errors.Join(os.Remove(z.path("zone")), syscall.Mkfifo(z.path("zone"), 0o600)); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, process, syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond) // the reload waits for a writer of the zone file
	sendSignal(t, process, syscall.SIGTERM)
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after SIGTERM: %v, want the end of the connection", err)
	}
	writeFile(t, z.path("zone"), "no zone") // ends the reload
}
