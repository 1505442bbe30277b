package main

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
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
)

const zoneText = `$ORIGIN calc.example.
$TTL 30
@ IN SOA ns admin 1 3600 600 86400 30
@ IN NS ns
ns IN A 127.0.0.1
_calc._tcp SRV 0 100 7000 n0
n0 A 127.0.0.10
`

// names is a door's operator file with a zone, and what it names.
type nameFiles struct {
	at, operator, config string
	key                  dnsserver.Key
}

func newNames(t *testing.T, journal bool) nameFiles {
	t.Helper()
	folder := t.TempDir()
	own := func(name string) string { return filepath.Join(folder, name) }
	n := nameFiles{at: freeAddress(t), operator: own("op.toml"), config: own("config.json")}
	text := fmt.Sprintf("[dns]\nzone_file = %q\norigin = \"calc.example\"\nservice = \"_calc._tcp.calc.example\"\nlisten = %q\n", own("zone"), n.at)
	if journal {
		text += fmt.Sprintf("journal = %q\n", own("journal"))
	}
	text += fmt.Sprintf("[[dns.key]]\nname = \"deploy\"\nsecret_file = %q\n", own("key"))
	for name, x := range map[string]string{"op.toml": text, "zone": zoneText, "key": base64.StdEncoding.EncodeToString([]byte("a secret of some length")),
		"config.json": fmt.Sprintf(configuration, freeAddress(t), freeAddress(t), freeAddress(t))} {
		if err := os.WriteFile(own(name), []byte(x), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var err error
	if n.key, err = dnsserver.ReadKey("deploy", "hmac-sha256", own("key")); err != nil {
		t.Fatal(err)
	}
	return n
}

func (n nameFiles) send(texts ...string) error {
	m := new(dns.Msg).SetUpdate("calc.example.")
	for _, x := range texts {
		rr, err := dns.NewRR(strings.TrimPrefix(x, "-"))
		if err != nil {
			return err
		}
		if x[0] == '-' {
			m.Remove([]dns.RR{rr})
		} else {
			m.Insert([]dns.RR{rr})
		}
	}
	return dnsserver.SendUpdate(m, n.at, n.key, 2*time.Second)
}

// inForce is the zone as the journal has it.
func (n nameFiles) inForce() (*dnszone.Zone, error) {
	o, err := config.ReadOperator(n.operator)
	if err != nil {
		return nil, err
	}
	z, _, err := dnsserver.ReadInForce(options(o.DNS))
	return z, err
}

// A front door killed outright while updates come, many times: each start finds every update that was answered as
// done, no half of one, and no other state.
func TestKilledWhileUpdatesAreWritten(t *testing.T) {
	n := newNames(t, true)
	var cmd *exec.Cmd
	start := func() {
		cmd = program("serve", "-c", n.config, "--operator", n.operator)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
	}
	start()
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	var done atomic.Int64
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { // each update withdraws one backend and brings the next: there is one at any time
		defer close(ended)
		for i := int64(1); ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			if n.send(fmt.Sprintf("-_calc._tcp.calc.example. SRV 0 100 7000 n%d.calc.example.", i-1), fmt.Sprintf("-n%d.calc.example. A 127.0.%d.%d", i-1, (i-1)/200, 10+(i-1)%200),
				fmt.Sprintf("_calc._tcp.calc.example. SRV 0 100 7000 n%d.calc.example.", i), fmt.Sprintf("n%d.calc.example. A 127.0.%d.%d", i, i/200, 10+i%200)) == nil {
				done.Store(i)
			} else {
				time.Sleep(20 * time.Millisecond)
				i-- // it may have been done: then it changes nothing
			}
		}
	}()
	chance := rand.New(rand.NewPCG(3, 3))
	kills := 0
	for ; kills < 12; kills++ {
		before := done.Load()
		until(t, "an update", func() bool { return done.Load() > before })
		time.Sleep(time.Duration(chance.IntN(60)) * time.Millisecond)
		told := done.Load()
		cmd.Process.Kill()
		cmd.Wait()
		z, err := n.inForce()
		if err != nil {
			t.Fatal(err)
		}
		list := z.Backends()
		is := int64(z.Serial()) - 1 // each update is one serial
		if len(list) != 1 || is < told || is > done.Load()+1 || list[0].Name != fmt.Sprintf("n%d.calc.example:7000", is) || len(z.Records()) != 5 {
			t.Fatalf("kill %d: %d answered; serial %d with %+v", kills, told, z.Serial(), list)
		}
		start()
	}
	close(stop)
	<-ended
	t.Logf("%d kills among %d updates", kills, done.Load())
	if done.Load() < 20 {
		t.Error("too few updates to show anything")
	}
}

// With the store: updates at two front doors at once while replicas are killed. Each lands at both or at neither, those
// answered as done have landed, and both lists are the same in the end.
func TestSharedUpdatesThroughKills(t *testing.T) {
	all := replicas(t, "a", "b", "c")
	var files []nameFiles
	for _, r := range all[:2] {
		n := newNames(t, false)
		files = append(files, n)
		r.words = []string{"serve", "-c", n.config, "--operator", n.operator}
	}
	for _, r := range all {
		r.start(t, all)
	}
	add := func(door, i int) error {
		name := fmt.Sprintf("d%d-%d.calc.example.", door, i)
		return files[door].send("_calc._tcp.calc.example. SRV 0 100 7000 "+name, fmt.Sprintf("%s A 127.%d.%d.%d", name, 1+door, 1+i/200, 1+i%200))
	}
	for door := range files {
		until(t, "a first update", func() bool { return add(door, 0) == nil })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	landed := map[string]bool{}
	stop := make(chan struct{})
	for door := range files {
		wg.Go(func() {
			for i := 1; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if add(door, i) == nil {
					mu.Lock()
					landed[fmt.Sprintf("d%d-%d.calc.example:7000", door, i)] = true
					mu.Unlock()
				} else {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	chance := rand.New(rand.NewPCG(4, 4))
	for range 5 {
		time.Sleep(time.Duration(500+chance.IntN(500)) * time.Millisecond)
		r := all[chance.IntN(3)]
		r.kill()
		time.Sleep(time.Duration(chance.IntN(500)) * time.Millisecond)
		r.start(t, all)
	}
	close(stop)
	wg.Wait()
	var zones [2]*dnszone.Zone
	until(t, "the same list at both doors", func() bool {
		for n, f := range files {
			o, err := config.ReadOperator(f.operator)
			if err != nil {
				t.Fatal(err)
			}
			of := options(o.DNS)
			of.Replicated = &dnsserver.ReplicatedZone{Replica: far{all[n].api}}
			if zones[n], _, err = dnsserver.ReadInForce(of); err != nil || zones[n] == nil {
				return false
			}
			a, _, err := new(dns.Client).Exchange(new(dns.Msg).SetQuestion("calc.example.", dns.TypeSOA), f.at)
			if err != nil || len(a.Answer) != 1 || a.Answer[0].(*dns.SOA).Serial != zones[n].Serial() {
				return false
			}
		}
		return zones[0].Serial() == zones[1].Serial()
	})
	held := map[string]bool{}
	for _, b := range zones[0].Backends() {
		held[b.Name] = true
	}
	for name := range landed {
		if !held[name] {
			t.Errorf("%s was answered as done, and is not there", name)
		}
	}
	for _, name := range []string{"list", "list --store"} {
		words := append([]string{"dns"}, strings.Fields(name)...)
		words = append(words, "--operator", files[0].operator)
		if strings.Contains(name, "store") {
			words = append(words[:3], all[0].api, "--operator", files[0].operator)
		}
		out, err := program(words...).CombinedOutput()
		want := "n0.calc.example:7000"
		if err != nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: %v, %s", words, err, out)
		}
	}
	t.Logf("%d updates landed, serial %d", len(landed), zones[0].Serial())
	if len(landed) < 20 {
		t.Error("too few updates to show anything")
	}
}

// The command line: faults of the operator file's zone by file, line and key; an update; the list and where it is from.
func TestZoneOnTheCommandLine(t *testing.T) {
	n := newNames(t, true)
	text, _ := os.ReadFile(n.operator)
	broken := filepath.Join(t.TempDir(), "op.toml")
	for _, x := range []struct{ old, new, want string }{
		{"origin = \"calc.example\"", "origin = \"\"", "op.toml:3: dns.origin"},
		{"_calc._tcp.calc.example", "_calc._tcp.other", "op.toml:4: dns.service"},
		{n.at, "nowhere", "op.toml:5: dns.listen"},
		{"[[dns.key]]", "updates_per_second = 0\n[[dns.key]]", "op.toml:7: dns.updates_per_second"},
		{"[[dns.key]]", "notify = [\"x\"]\n[[dns.key]]", "op.toml:7: dns.notify"},
		{"name = \"deploy\"", "name = \"deploy\"\nalgorithm = \"hmac-md5\"", "op.toml:7: dns.key[0]"},
		{filepath.Join(filepath.Dir(n.operator), "key"), "/nowhere", "op.toml:7: dns.key[0]"},
		{"zone_file", "# zone_file", "dns.zone_file is missing"},
	} {
		os.WriteFile(broken, []byte(strings.Replace(string(text), x.old, x.new, 1)), 0o600)
		if out, err := program("check", broken).CombinedOutput(); err == nil || !strings.Contains(string(out), x.want) {
			t.Errorf("%s: %v, %s", x.new, err, out)
		}
	}
	folder := filepath.Dir(n.operator)
	os.Chmod(filepath.Join(folder, "key"), 0o644)
	if out, err := program("check", n.operator).CombinedOutput(); err == nil || !strings.Contains(string(out), "others than its owner") {
		t.Errorf("%v, %s", err, out)
	}
	os.Chmod(filepath.Join(folder, "key"), 0o600)
	os.WriteFile(filepath.Join(folder, "zone"), []byte(zoneText+"n1 A 1.2.3\n"), 0o600)
	for _, words := range [][]string{{"check", n.operator}, {"serve", "-c", n.config, "--operator", n.operator}} {
		if out, err := program(words...).CombinedOutput(); err == nil || !strings.Contains(string(out), "zone:8: ") {
			t.Errorf("%v: %v, %s", words, err, out)
		}
	}
	os.WriteFile(filepath.Join(folder, "zone"), []byte(zoneText), 0o600)
	cmd := program("serve", "-c", n.config, "--operator", n.operator)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	update := func(words ...string) (string, error) {
		out, err := program(append([]string{"dns", "update", "--at", n.at, "--zone", "calc.example", "--key", "deploy", "--secret-file", filepath.Join(folder, "key")}, words...)...).CombinedOutput()
		return string(out), err
	}
	until(t, "the update", func() bool {
		_, err := update("--add", "_calc._tcp.calc.example. SRV 0 200 7000 n1.calc.example.", "--add", "n1.calc.example. A 127.0.0.11")
		return err == nil
	})
	if out, err := update("--add", "_calc._tcp.calc.example. SRV 0 1 1 n9.calc.example."); err == nil || !strings.Contains(out, "REFUSED") {
		t.Errorf("%v, %s", err, out)
	}
	if out, err := update("--add", "nonsense"); err == nil || !strings.Contains(out, "no record") {
		t.Errorf("%v, %s", err, out)
	}
	out, err := program("dns", "list", "--operator", n.operator).CombinedOutput()
	for _, want := range []string{"serial 2", "2 backends", "zone:6, serial 1", "update by deploy., serial 2", "127.0.0.11:7000"} {
		if err != nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: no %q in %s", err, want, out)
		}
	}
	if out, err := program("dns", "list").CombinedOutput(); err == nil || !strings.Contains(string(out), "names no zone") {
		t.Errorf("%v, %s", err, out)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("does not end")
	}
}
