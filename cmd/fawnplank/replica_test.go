package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fawnplank/internal/testutil"
)

// killSpan is how long TestStore_ReplicasAgreeAfterRandomKills kills. FAWNPLANK_SOAK=10m makes it a soak.
func killSpan(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("FAWNPLANK_SOAK")
	if text == "" {
		return 8 * time.Second
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return span
}

// editor edits a plan, a class and a key together, again and again, at one replica after another.
type editor struct {
	committed, failed atomic.Int64 // the number of the last committed edit; how many failed, or may have failed
	stop, done        chan struct{}
}

// edit writes n to two rows and to one of fifty keys, all or none, at one of the replicas. It reports whether
// the edit is known to be committed.
func edit(t *testing.T, replicas []*replicaProcess, n int64) bool {
	t.Helper()
	body := fmt.Sprintf(`[{"key":"plans/x","value":%d},{"key":"classes/x","value":%d},{"key":"k%d","value":%d}]`,
		n, n, n%50, n)
	_, err := replicas[n%3].call(t, http.MethodPost, "/v1/edits", body)
	return err == nil
}

func startEditor(t *testing.T, replicas []*replicaProcess) *editor {
	t.Helper()
	e := &editor{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(e.done)
		for n := int64(1); ; n++ {
			select {
			case <-e.stop:
				return
			default:
			}
			if edit(t, replicas, n) {
				e.committed.Store(n)
			} else {
				e.failed.Add(1)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return e
}

func (e *editor) end() {
	close(e.stop)
	<-e.done
}

// Three processes, killed outright at random while plans are edited. In the end all hold the same, each edit
// of two keys was committed completely, and none that was reported to be committed is lost.
func TestStore_ReplicasAgreeAfterRandomKills(t *testing.T) {
	span := killSpan(t)
	replicas := newReplicas(t, "a", "b", "c")
	startReplicas(t, replicas)
	testutil.Eventually(t, "a first edit", func() bool { return edit(t, replicas, 0) })
	e := startEditor(t, replicas)
	chance := rand.New(rand.NewPCG(11, 11))
	kills := 0
	for end := time.Now().Add(span); time.Now().Before(end); kills++ {
		time.Sleep(time.Duration(300+chance.IntN(700)) * time.Millisecond)
		r := replicas[chance.IntN(3)]
		r.kill()
		time.Sleep(time.Duration(chance.IntN(500)) * time.Millisecond)
		r.start(t, replicas)
		testutil.Eventually(t, r.id+" to answer", func() bool {
			_, err := r.call(t, http.MethodGet, "/v1/status", "")
			return err == nil
		})
	}
	e.end()
	testutil.Eventually(t, "the same state in all three", func() bool { return sameState(t, replicas) })
	for _, r := range replicas {
		plan := r.read(t, "plans/x")
		class := r.read(t, "classes/x")
		if plan != class || plan < e.committed.Load() {
			t.Errorf("%s holds %d and %d, and %d was reported to be committed", r.id, plan, class, e.committed.Load())
		}
	}
	committed := e.committed.Load()
	failed := e.failed.Load()
	t.Logf("%d kills, %d edits committed, %d failed or may have failed", kills, committed-failed, failed)
	if kills < 4 || e.committed.Load() < 50 {
		t.Errorf("%d kills and %d edits show little", kills, e.committed.Load())
	}
}

// knowsPlan reports whether a gateway knows a plan.
func knowsPlan(t *testing.T, gateway, plan string) bool {
	t.Helper()
	conn, err := tryDial(t, gateway)
	if err != nil {
		return false
	}
	defer hangUp(conn)
	setDeadline(conn, 3*time.Second)
	send(conn, request("1", "c=lookup,t="+plan+",d=300"))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && !strings.Contains(line, "t has no meaning")
}

// A plan edited at one replica takes effect at every gateway, and one that is not in order at none.
func TestStore_EditedPlansReachAllGateways(t *testing.T) {
	replicas := newReplicas(t, "a", "b", "c")
	var gateways []string
	for _, r := range replicas[:2] { // two gateways, and a replica without one
		address := freeAddress(t)
		gateways = append(gateways, address)
		settings := filepath.Join(filepath.Dir(r.folder), r.id+".json")
		writeFile(t, settings, fmt.Sprintf(configuration, address, "127.0.0.1:2", "127.0.0.1:3"))
		r.args = []string{"serve", "-c", settings}
	}
	startReplicas(t, replicas)
	for _, address := range gateways {
		testutil.Eventually(t, "the gateway at "+address, func() bool { return knowsPlan(t, address, "team") })
		if knowsPlan(t, address, "gold") {
			t.Fatal("a plan that nobody wrote is known")
		}
	}
	editPlans(t, replicas, gateways)
	second := replicas[1]
	second.kill()
	deleteSilver := func() bool {
		_, err := replicas[0].call(t, http.MethodDelete, "/v1/kv/plans/silver", "")
		return err == nil
	}
	if !deleteSilver() {
		testutil.Eventually(t, "the deletion after an election", deleteSilver)
	}
	testutil.Eventually(t, "the plan to be gone", func() bool {
		return !knowsPlan(t, gateways[0], "silver") && knowsPlan(t, gateways[0], "gold")
	})
	second.start(t, replicas) // finds the plans in its folder
	testutil.Eventually(t, "the plan at the gateway that was away", func() bool {
		return knowsPlan(t, gateways[1], "gold") && !knowsPlan(t, gateways[1], "silver")
	})
	sendSignal(t, second.command, syscall.SIGTERM)
	if err := second.command.Wait(); err != nil {
		t.Error(err)
	}
	second.command = nil
}

// editPlans writes two plans, with a faulty one between that is refused, and waits until all gateways know
// them.
func editPlans(t *testing.T, replicas []*replicaProcess, gateways []string) {
	t.Helper()
	testutil.Eventually(t, "a plan to be written", func() bool {
		return replicas[2].put(t, "plans/silver", `{"name":"silver","quota-rate":5,"peak-units":10}`) == nil
	})
	for n := range 2 { // at a replica with a gateway, which judges it by its own files
		testutil.Eventually(t, "a refusal", func() bool {
			err := replicas[n].put(t, "plans/gold", `{"name":"gold","quota-rate":"many","peak-units":10}`)
			return err != nil && !strings.Contains(err.Error(), "503")
		})
	}
	if err := replicas[0].put(t, "plans/gold", `{"name":"gold","quota-rate":5,"peak-units":10}`); err != nil {
		t.Fatal(err)
	}
	for _, address := range gateways {
		testutil.Eventually(t, "the plan at "+address, func() bool {
			return knowsPlan(t, address, "gold") && knowsPlan(t, address, "silver") && knowsPlan(t, address, "team")
		})
	}
}

// The verbs of the store's command line, on one replica.
func TestStore_Commands(t *testing.T) {
	replicas := newReplicas(t, "a")
	startReplicas(t, replicas)
	file := filepath.Join(t.TempDir(), "backup")
	testutil.Eventually(t, "a leader", func() bool { return replicas[0].put(t, "k", "1") == nil })
	for _, test := range []struct {
		args  []string
		want  string
		fails bool
	}{
		{args: []string{"set", "plans/x", `{"name":"x"}`}, want: "index"},
		{args: []string{"get", "plans/x"}, want: `"name":"x"`},
		{args: []string{"get", "none"}, want: "404", fails: true},
		{args: []string{"set", "k", "{"}, want: "no JSON", fails: true},
		{args: []string{"keys", "plans/"}, want: "plans/x"},
		{args: []string{"backup", file}},
		{args: []string{"backup", file}, want: "exists", fails: true},
		{args: []string{"delete", "plans/x"}, want: "index"},
		{args: []string{"get", "plans/x"}, want: "404", fails: true},
		{args: []string{"restore", file}, want: "index"},
		{args: []string{"get", "plans/x"}, want: `"name":"x"`},
		{args: []string{"restore", "/dev/null"}, want: "no snapshot", fails: true},
		{args: []string{"status"}, want: `"state":"Leader"`},
		{args: []string{"add", "b@x"}, want: "not of the form", fails: true},
		{args: []string{"run"}, want: "--store is missing", fails: true},
		{args: []string{"run", "--store", "x", "--me", "a@b"}, want: "--me", fails: true},
	} {
		args := append([]string{"store"}, test.args...)
		if test.args[0] != "run" {
			args = append(args, "--at", replicas[0].api)
		}
		out, err := runProgram(t, args...)
		if (err != nil) != test.fails || !strings.Contains(out, test.want) {
			t.Errorf("%v: %v, %q", test.args, err, out)
		}
	}
}

// limitFileSize bounds the files that a process may write.
func limitFileSize(t *testing.T, r *replicaProcess, bytes uint64) {
	t.Helper()
	limit := &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(r.command.Process.Pid, unix.RLIMIT_FSIZE, limit, nil); err != nil {
		t.Fatal(err)
	}
}

func isLeader(t *testing.T, r *replicaProcess) bool {
	t.Helper()
	status, err := r.status(t)
	return err == nil && status.State == "Leader"
}

// A fault to bear: the disk of one replica is full. Its error is reported, the others go on, nothing that was
// reported to be committed is lost, and it catches up once there is space.
func TestStore_FullDiskIsReported(t *testing.T) {
	replicas := newReplicas(t, "a", "b", "c")
	startReplicas(t, replicas)
	testutil.Eventually(t, "a first write", func() bool { return replicas[0].put(t, "k", "0") == nil })
	var leader *replicaProcess
	testutil.Eventually(t, "a leader", func() bool {
		for _, r := range replicas {
			if isLeader(t, r) {
				leader = r
			}
		}
		return leader != nil
	})
	limitFileSize(t, leader, 4096) // below what its log has already: no write there succeeds
	err := leader.put(t, "k", "1")
	if err == nil && isLeader(t, leader) { // another may lead by now, and have written it
		t.Error("a full disk was not reported")
	}
	// The two may need more than one round to elect: one refuses the other's first candidacy while it
	// still knows the old leader. A fixed number of attempts ended before the second round, in one run of ten.
	committed := 0
	n := 1
	testutil.Eventually(t, "the other two going on", func() bool {
		n++
		if replicas[n%3].put(t, "k", fmt.Sprint(n)) == nil {
			committed = n
		}
		return committed > 0
	})
	limitFileSize(t, leader, unix.RLIM_INFINITY)
	testutil.Eventually(t, "the same state in all three", func() bool { return sameState(t, replicas) })
	if value := leader.read(t, "k"); value < int64(committed) {
		t.Errorf("%d is held where %d was reported to be committed", value, committed)
	}
	t.Logf("the full replica reported: %v; the others went on to %d", err, committed)
}
