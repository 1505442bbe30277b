package warmstart

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"fawnplank/internal/monotime"
	"fawnplank/internal/testutil"
	"fawnplank/policy"
)

// The environment that makes the test's own binary a writer: the file to write, and whether the disk is full.
const (
	writerPath = "WARMSTART_WRITER_PATH"
	writerFull = "WARMSTART_WRITER_FULL"
)

const stateBackends = 400

// stateOf returns a state in which every part has the same number, so that a mixture of two shows.
func stateOf(number int) policy.WarmStartState {
	state := policy.WarmStartState{Latency: float64(number), Samples: float64(number)}
	for b := range stateBackends {
		state.Backends = append(state.Backends, policy.BackendWarmStart{
			Backend:   policy.BackendID(b),
			StartedAt: monotime.FromNanos(int64(number)),
			Latency:   float64(number),
			Samples:   1,
		})
	}
	return state
}

func TestMain(m *testing.M) {
	path := os.Getenv(writerPath)
	if path == "" {
		os.Exit(m.Run())
	}
	if os.Getenv(writerFull) != "" {
		writeToFullDisk(path)
		return
	}
	writeUntilKilled(path)
}

// writeToFullDisk stands for a full disk by a limit on the size of files, and prints the error of a write.
func writeToFullDisk(path string) {
	signal.Ignore(syscall.SIGXFSZ)
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 100, Max: 100}); err != nil {
		fmt.Println(err)
		return
	}
	if err := Save(path, stateOf(7), time.Now()); err != nil {
		fmt.Println(err)
	}
}

func writeUntilKilled(path string) {
	for n := 1; ; n++ {
		if err := Save(path, stateOf(n), time.Now()); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
	}
}

// writer returns the command of a process that writes the file.
func writer(t *testing.T, path string, environment ...string) *exec.Cmd {
	t.Helper()
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(append(os.Environ(), writerPath+"="+path), environment...)
	return command
}

// killWriter starts a writer, waits for its file if there is none, and kills it at a random moment.
func killWriter(t *testing.T, path string, random *rand.Rand) {
	t.Helper()
	command := writer(t, path)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "the writer's first file", func() bool {
		_, err := os.Stat(path)
		return err == nil
	})
	time.Sleep(time.Duration(5+random.IntN(15)) * time.Millisecond)
	if err := command.Process.Kill(); err != nil {
		t.Errorf("the writer had ended by itself: %v", err)
	}
	_ = command.Wait() // it was killed, which is an error
}

// TestSave_LeavesOneCompleteStateWhenKilled kills a process that writes the file, two hundred times. From the
// first write on, the file always has one complete state.
func TestSave_LeavesOneCompleteStateWhenKilled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	random := rand.New(rand.NewPCG(3, 3))
	seen := map[float64]bool{}
	for n := range 200 {
		killWriter(t, path, random)
		state, _, err := Load(path, time.Now())
		if err != nil {
			t.Fatalf("kill %d: %v", n, err)
		}
		for _, backend := range state.Backends {
			if backend.Latency != state.Latency || len(state.Backends) != stateBackends {
				t.Fatalf("kill %d: a mixture of %v and %v", n, state.Latency, backend.Latency)
			}
		}
		seen[state.Latency] = true
	}
	if len(seen) < 5 {
		t.Errorf("only %d states were seen: the kills hit nothing", len(seen))
	}
}

func TestSave_FullDiskLeavesTheOldFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	if err := Save(path, stateOf(3), time.Now()); err != nil {
		t.Fatal(err)
	}
	out, err := writer(t, path, writerFull+"=1").Output()
	if err != nil || !strings.Contains(string(out), "file too large") {
		t.Errorf("%v, %q", err, out)
	}
	if state, _, err := Load(path, time.Now()); err != nil || state.Latency != 3 {
		t.Error(state.Latency, err)
	}
	if err := Save(filepath.Join(path, "below-a-file"), stateOf(1), time.Now()); err == nil {
		t.Error("no error for a file in a folder that is a file")
	}
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestLoad_RefusesDamagedFiles cuts a file at every byte, and changes every byte.
func TestLoad_RefusesDamagedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	now := time.Unix(1_800_000_000, 0)
	if _, _, err := Load(path, now); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	state := stateOf(2)
	state.Backends = state.Backends[:3]
	if err := Save(path, state, now); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range content {
		changed := bytes.Clone(content)
		changed[n] ^= 1
		for _, damaged := range [][]byte{content[:n], changed} {
			writeFile(t, path, damaged)
			_, _, err := Load(path, now)
			if err == nil {
				t.Fatalf("no error though cut or changed at byte %d", n)
			}
			if !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) {
				t.Errorf("cut or changed at byte %d: %v", n, err)
			}
		}
	}
}

func TestLoad_RefusesOtherVersions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	text := []byte(`{"v":0,"saved_unix_ns":1,"learned":{}}`)
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text))
	writeFile(t, path, append(content, text...))
	_, _, err := Load(path, time.Unix(1_800_000_000, 0))
	var version *VersionError
	if !errors.As(err, &version) || version.Version != 0 ||
		!strings.Contains(err.Error(), "of version 0, and 1 is read") {
		t.Error(err)
	}
}

func TestLoad_ReturnsAgeAndRefusesFuture(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	saved := time.Unix(1_800_000_000, 0)
	if err := Save(path, stateOf(2), saved); err != nil {
		t.Fatal(err)
	}
	if _, age, err := Load(path, saved.Add(3*time.Hour)); err != nil || age != 3*time.Hour {
		t.Error(age, err)
	}
	if _, _, err := Load(path, saved.Add(-time.Hour)); err == nil || !strings.Contains(err.Error(), "from now") {
		t.Errorf("a file from the future: %v", err)
	}
}
