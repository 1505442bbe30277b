package warmstart

import (
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

	"fawnplank/policy"
)

// some is a state in which every part says the same number, so that a mixture of two shows.
func some(n int) (l policy.WarmStartState) {
	l.BaselineLatency, l.Samples = float64(n), float64(n)
	for b := range 400 {
		l.Backends = append(l.Backends, policy.BackendWarmStart{Backend: policy.BackendID(b), StartedAt: int64(n), BaselineLatency: float64(n), Samples: 1})
	}
	return l
}

// TestMain lets the test's own binary be one that writes until it is killed, or one whose disk is full.
func TestMain(m *testing.M) {
	path := os.Getenv("LEARNED_WRITE")
	if path == "" {
		os.Exit(m.Run())
	}
	if os.Getenv("LEARNED_FULL") != "" {
		signal.Ignore(syscall.SIGXFSZ)
		unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 100, Max: 100})
		if err := Save(path, some(7), time.Now()); err != nil {
			fmt.Println(err)
		}
		return
	}
	for n := 1; ; n++ {
		if err := Save(path, some(n), time.Now()); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
	}
}

func child(path string, more ...string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(append(os.Environ(), "LEARNED_WRITE="+path), more...)
	return c
}

// Failure to bear: the process is killed in the middle of a write, some two hundred times. What is read is always one
// whole state, and the file is there from the first on.
func TestKilledInTheMiddleOfWriting(t *testing.T) {
	path, chance := filepath.Join(t.TempDir(), "learned"), rand.New(rand.NewPCG(3, 3))
	seen := map[float64]bool{}
	for n := range 200 {
		c := child(path)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		for wait := time.Now(); n == 0 && time.Since(wait) < 5*time.Second; time.Sleep(time.Millisecond) {
			if _, err := os.Stat(path); err == nil {
				break
			}
		}
		time.Sleep(time.Duration(5+chance.IntN(15)) * time.Millisecond)
		c.Process.Kill()
		c.Wait()
		l, _, err := Load(path, time.Now())
		if err != nil {
			t.Fatalf("kill %d: %v", n, err)
		}
		for _, b := range l.Backends {
			if b.BaselineLatency != l.BaselineLatency || len(l.Backends) != 400 {
				t.Fatalf("kill %d: a mixture of %v and %v", n, l.BaselineLatency, b.BaselineLatency)
			}
		}
		seen[l.BaselineLatency] = true
	}
	if len(seen) < 5 {
		t.Errorf("only %d states were seen: the kills hit nothing", len(seen))
	}
}

func TestAFullDiskLeavesTheOldFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "learned")
	if err := Save(path, some(3), time.Now()); err != nil {
		t.Fatal(err)
	}
	out, err := child(path, "LEARNED_FULL=1").Output()
	if err != nil || !strings.Contains(string(out), "file too large") {
		t.Errorf("%v, %q", err, out)
	}
	if l, _, err := Load(path, time.Now()); err != nil || l.BaselineLatency != 3 {
		t.Error(l.BaselineLatency, err)
	}
	if err := Save(filepath.Join(path, "below-a-file"), some(1), time.Now()); err == nil {
		t.Error("an error of the folder was not told")
	}
}

func TestFilesThatAreRefused(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), "learned"), time.Unix(1_800_000_000, 0)
	if _, _, err := Load(path, now); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	l := some(2)
	l.Backends = l.Backends[:3]
	if err := Save(path, l, now); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	for n := range text {
		for _, bad := range [][]byte{text[:n], append(append(append([]byte(nil), text[:n]...), text[n]^1), text[n+1:]...)} {
			os.WriteFile(path, bad, 0o600)
			if _, _, err := Load(path, now); err == nil {
				t.Fatalf("taken though cut or changed at byte %d", n)
			}
		}
	}
	other := []byte(`{"v":0,"saved_unix_ns":1,"learned":{}}`)
	os.WriteFile(path, append(binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(other)), other...), 0o600)
	if _, _, err := Load(path, now); err == nil || !strings.Contains(err.Error(), "of version 0, and 1 is read") {
		t.Error(err)
	}
	os.WriteFile(path, text, 0o600)
	if _, age, err := Load(path, now.Add(3*time.Hour)); err != nil || age != 3*time.Hour {
		t.Error(age, err)
	}
	if _, _, err := Load(path, now.Add(-time.Hour)); err == nil || !strings.Contains(err.Error(), "from now") {
		t.Errorf("a file of the future: %v", err)
	}
}
