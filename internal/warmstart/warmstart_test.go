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

// Environment variables that make the test binary run as a writer process: the path of the file to write, and whether
// to simulate a full disk.
const (
	writerPathVariable     = "WARMSTART_WRITER_PATH"
	writerDiskFullVariable = "WARMSTART_WRITER_FULL"
)

const backendCount = 400

// uniformState returns a state whose values are all equal to number, so that a mixture of two states is detected.
func uniformState(number int) policy.WarmStartState {
	state := policy.WarmStartState{Latency: float64(number), Samples: float64(number)}
	for b := range backendCount {
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
	path := os.Getenv(writerPathVariable)
	if path == "" {
		os.Exit(m.Run())
	}
	if os.Getenv(writerDiskFullVariable) != "" {
		writeToFullDisk(path)
		return
	}
	writeUntilKilled(path)
}

// writeToFullDisk simulates a full disk with a limit on the size of files, and prints the error of a write.
func writeToFullDisk(path string) {
	signal.Ignore(syscall.SIGXFSZ)
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 100, Max: 100}); err != nil {
		fmt.Println(err)
		return
	}
	if err := Save(path, uniformState(7), time.Now()); err != nil {
		fmt.Println(err)
	}
}

func writeUntilKilled(path string) {
	for n := 1; ; n++ {
		if err := Save(path, uniformState(n), time.Now()); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
	}
}

// writerCommand returns a command that runs the test binary as a writer process.
func writerCommand(t *testing.T, path string, environment ...string) *exec.Cmd {
	t.Helper()
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(append(os.Environ(), writerPathVariable+"="+path), environment...)
	return command
}

// killWriter starts a writer process, waits until the file exists, and kills the process after a random time.
func killWriter(t *testing.T, path string, random *rand.Rand) {
	t.Helper()
	command := writerCommand(t, path)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	testutil.Eventually(t, "the writer's first file", func() bool {
		_, err := os.Stat(path)
		return err == nil
	})
	time.Sleep(time.Duration(5+random.IntN(15)) * time.Millisecond)
	if err := command.Process.Kill(); err != nil {
		t.Errorf("the writer process ended before it was killed: %v", err)
	}
	_ = command.Wait() // the error reports that the process was killed
}

// TestSave_FileIsCompleteAfterKill kills a process that writes the file, two hundred times, and checks that the file
// contains one complete state after each kill.
func TestSave_FileIsCompleteAfterKill(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	random := rand.New(rand.NewPCG(3, 3))
	seenStates := map[float64]bool{}
	for n := range 200 {
		killWriter(t, path, random)
		state, _, err := Load(path, time.Now())
		if err != nil {
			t.Fatalf("kill %d: %v", n, err)
		}
		for _, backend := range state.Backends {
			if backend.Latency != state.Latency || len(state.Backends) != backendCount {
				t.Fatalf("kill %d: the file mixes the states %v and %v", n, state.Latency, backend.Latency)
			}
		}
		seenStates[state.Latency] = true
	}
	if len(seenStates) < 5 {
		t.Errorf("saw only %d different states, want at least 5", len(seenStates))
	}
}

func TestSave_FullDiskKeepsOldFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	if err := Save(path, uniformState(3), time.Now()); err != nil {
		t.Fatal(err)
	}
	out, err := writerCommand(t, path, writerDiskFullVariable+"=1").Output()
	if err != nil || !strings.Contains(string(out), "file too large") {
		t.Errorf("writer process: %v, output %q", err, out)
	}
	if state, _, err := Load(path, time.Now()); err != nil || state.Latency != 3 {
		t.Error(state.Latency, err)
	}
	if err := Save(filepath.Join(path, "below-a-file"), uniformState(1), time.Now()); err == nil {
		t.Error("no error for a path whose parent is a file")
	}
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestLoad_RejectsCorruptFiles truncates a file at every byte, and flips a bit in every byte.
func TestLoad_RejectsCorruptFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	now := time.Unix(1_800_000_000, 0)
	if _, _, err := Load(path, now); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	state := uniformState(2)
	state.Backends = state.Backends[:3]
	if err := Save(path, state, now); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range content {
		flipped := bytes.Clone(content)
		flipped[n] ^= 1
		for _, corrupt := range [][]byte{content[:n], flipped} {
			writeFile(t, path, corrupt)
			_, _, err := Load(path, now)
			if err == nil {
				t.Fatalf("no error for a file truncated or changed at byte %d", n)
			}
			if !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrCorrupt) {
				t.Errorf("file truncated or changed at byte %d: %v", n, err)
			}
		}
	}
}

func TestLoad_RejectsOtherVersions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	text := []byte(`{"v":0,"saved_unix_ns":1,"learned":{}}`)
	content := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text))
	writeFile(t, path, append(content, text...))
	_, _, err := Load(path, time.Unix(1_800_000_000, 0))
	var versionError *VersionError
	if !errors.As(err, &versionError) || versionError.Version != 0 ||
		!strings.Contains(err.Error(), "format version 0 is not supported, want version 1") {
		t.Error(err)
	}
}

func TestLoad_ReturnsAgeAndRejectsFutureFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	saved := time.Unix(1_800_000_000, 0)
	if err := Save(path, uniformState(2), saved); err != nil {
		t.Fatal(err)
	}
	if _, age, err := Load(path, saved.Add(3*time.Hour)); err != nil || age != 3*time.Hour {
		t.Error(age, err)
	}
	if _, _, err := Load(path, saved.Add(-time.Hour)); err == nil || !strings.Contains(err.Error(), "in the future") {
		t.Errorf("a file written in the future: %v", err)
	}
}
