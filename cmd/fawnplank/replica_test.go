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

// killDuration returns for how long TestStore_ReplicasAgreeAfterRandomKills kills replicas. The environment variable
// FAWNPLANK_SOAK sets a longer duration, such as 10m.
func killDuration(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("FAWNPLANK_SOAK")
	if text == "" {
		return 8 * time.Second
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// editor repeatedly edits a plan, a class and a key in one transaction, each time at the next replica.
type editor struct {
	committed, failed atomic.Int64 // number of the last committed edit; count of edits that failed or may have failed
	stop, done        chan struct{}
}

// applyEdit writes n to a plan, a class and one of fifty keys in one transaction, at one of the replicas. It reports
// whether the edit is known to be committed.
func applyEdit(t *testing.T, replicas []*replicaProcess, n int64) bool {
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
			if applyEdit(t, replicas, n) {
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

// TestStore_ReplicasAgreeAfterRandomKills kills three replicas at random while plans are edited. In the end all three
// must hold the same state, each edit must be committed completely or not at all, and no edit that was reported as
// committed may be lost.
func TestStore_ReplicasAgreeAfterRandomKills(t *testing.T) {
	duration := killDuration(t)
	replicas := newReplicas(t, "a", "b", "c")
	startReplicas(t, replicas)
	testutil.Eventually(t, "a first edit", func() bool { return applyEdit(t, replicas, 0) })
	editor := startEditor(t, replicas)
	random := rand.New(rand.NewPCG(11, 11))
	kills := 0
	for end := time.Now().Add(duration); time.Now().Before(end); kills++ {
		time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
		replica := replicas[random.IntN(3)]
		replica.kill()
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		replica.start(t, replicas)
		testutil.Eventually(t, replica.id+" to answer", func() bool {
			_, err := replica.call(t, http.MethodGet, "/v1/status", "")
			return err == nil
		})
	}
	editor.end()
	testutil.Eventually(t, "the same state in all three", func() bool { return sameState(t, replicas) })
	for _, replica := range replicas {
		plan := replica.readStale(t, "plans/x")
		class := replica.readStale(t, "classes/x")
		if plan != class || plan < editor.committed.Load() {
			t.Errorf("%s holds plan %d and class %d; edit %d was reported as committed",
				replica.id, plan, class, editor.committed.Load())
		}
	}
	committed := editor.committed.Load()
	failed := editor.failed.Load()
	t.Logf("%d kills, %d edits committed, %d failed or with unknown result", kills, committed-failed, failed)
	if kills < 4 || editor.committed.Load() < 50 {
		t.Errorf("%d kills and %d edits are too few for this test, want at least 4 and 50", kills, editor.committed.Load())
	}
}

// acceptsPlan reports whether a gateway accepts requests with a plan.
func acceptsPlan(t *testing.T, gateway, plan string) bool {
	t.Helper()
	conn, err := tryDial(t, gateway)
	if err != nil {
		return false
	}
	defer closeIgnoringError(conn)
	setDeadline(conn, 3*time.Second)
	send(conn, request("1", "c=lookup,t="+plan+",d=300"))
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && !strings.Contains(line, "t has no meaning")
}

// TestStore_EditedPlansReachAllGateways checks that a plan edited at one replica takes effect at every gateway, and
// that an invalid plan is refused.
func TestStore_EditedPlansReachAllGateways(t *testing.T) {
	replicas := newReplicas(t, "a", "b", "c")
	var gateways []string
	for _, r := range replicas[:2] { // two replicas with a gateway, one without
		address := freeAddress(t)
		gateways = append(gateways, address)
		settings := filepath.Join(filepath.Dir(r.folder), r.id+".json")
		writeFile(t, settings, fmt.Sprintf(configuration, address, "127.0.0.1:2", "127.0.0.1:3"))
		r.args = []string{"serve", "-c", settings}
	}
	startReplicas(t, replicas)
	for _, address := range gateways {
		testutil.Eventually(t, "the gateway at "+address, func() bool { return acceptsPlan(t, address, "team") })
		if acceptsPlan(t, address, "gold") {
			t.Fatal("a plan that was never written is accepted")
		}
	}
	editPlans(t, replicas, gateways)
	restarted := replicas[1]
	restarted.kill()
	deleteSilver := func() bool {
		_, err := replicas[0].call(t, http.MethodDelete, "/v1/kv/plans/silver", "")
		return err == nil
	}
	if !deleteSilver() {
		testutil.Eventually(t, "the deletion after an election", deleteSilver)
	}
	testutil.Eventually(t, "the plan to be deleted", func() bool {
		return !acceptsPlan(t, gateways[0], "silver") && acceptsPlan(t, gateways[0], "gold")
	})
	restarted.start(t, replicas) // loads the plans from its data folder
	testutil.Eventually(t, "the plan at the restarted gateway", func() bool {
		return acceptsPlan(t, gateways[1], "gold") && !acceptsPlan(t, gateways[1], "silver")
	})
	sendSignal(t, restarted.command, syscall.SIGTERM)
	if err := restarted.command.Wait(); err != nil {
		t.Error(err)
	}
	restarted.command = nil
}

// editPlans writes two plans, checks in between that an invalid one is refused, and waits until all gateways accept
// both plans.
func editPlans(t *testing.T, replicas []*replicaProcess, gateways []string) {
	t.Helper()
	testutil.Eventually(t, "a plan to be written", func() bool {
		return replicas[2].put(t, "plans/silver", `{"name":"silver","quota-rate":5,"peak-units":10}`) == nil
	})
	for n := range 2 { // at replicas with a gateway, which check the plan against their own files
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
			return acceptsPlan(t, address, "gold") && acceptsPlan(t, address, "silver") && acceptsPlan(t, address, "team")
		})
	}
}

// TestStore_Commands runs the store commands against a single replica.
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
			args = append(args, "--at", replicas[0].apiAddress)
		}
		out, err := runProgram(t, args...)
		if (err != nil) != test.fails || !strings.Contains(out, test.want) {
			t.Errorf("%v: %v, %q", test.args, err, out)
		}
	}
}

// limitFileSize sets the maximum size of files that a replica's process may write.
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

// TestStore_FullDiskIsReported checks the case that the leader's disk is full: the failed write is reported, the other
// replicas continue, nothing that was reported as committed is lost, and the replica catches up once there is space.
func TestStore_FullDiskIsReported(t *testing.T) {
	replicas := newReplicas(t, "a", "b", "c")
	startReplicas(t, replicas)
	testutil.Eventually(t, "a first write", func() bool { return replicas[0].put(t, "k", "0") == nil })
	var fullReplica *replicaProcess
	testutil.Eventually(t, "a leader", func() bool {
		for _, r := range replicas {
			if isLeader(t, r) {
				fullReplica = r
			}
		}
		return fullReplica != nil
	})
	limitFileSize(t, fullReplica, 4096) // its log is larger already, so that no write to it succeeds
	err := fullReplica.put(t, "k", "1")
	if err == nil && isLeader(t, fullReplica) { // a new leader may have committed the write by now
		t.Error("a write to a full disk succeeded")
	}
	// The other two replicas may need more than one election round: a replica rejects the first vote request while it
	// still considers the old leader alive. A fixed number of attempts ended before the second round in one run of ten.
	committed := 0
	n := 1
	testutil.Eventually(t, "a write at one of the other replicas", func() bool {
		n++
		if replicas[n%3].put(t, "k", fmt.Sprint(n)) == nil {
			committed = n
		}
		return committed > 0
	})
	limitFileSize(t, fullReplica, unix.RLIM_INFINITY)
	testutil.Eventually(t, "the same state in all three", func() bool { return sameState(t, replicas) })
	if value := fullReplica.readStale(t, "k"); value < int64(committed) {
		t.Errorf("the replica holds %d, but %d was reported as committed", value, committed)
	}
	t.Logf("the replica with the full disk reported: %v; the others committed up to %d", err, committed)
}
