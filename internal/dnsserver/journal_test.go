package dnsserver

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// journalOfThreeRemovals writes a journal with the removals of n1, n2 and n3. It returns the text, and the
// sizes that the journal had before each removal.
func journalOfThreeRemovals(t *testing.T, files Options) (journal []byte, sizes []int64) {
	t.Helper()
	s := mustStart(t, files)
	for n := 1; n <= 3; n++ {
		info, err := os.Stat(files.JournalFile)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, info.Size())
		rcode := s.sendUpdate(t, "udp", fmt.Sprintf("-%sn%d.calc.example.", srvTo, n))
		if rcode != dns.RcodeSuccess {
			t.Fatal(rcode)
		}
	}
	s.Close()
	journal, err := os.ReadFile(files.JournalFile)
	if err != nil {
		t.Fatal(err)
	}
	return journal, sizes
}

// countReached returns how many of the ends are at most size.
func countReached(ends []int64, size int64) (reached int) {
	for _, end := range ends {
		if size >= end {
			reached++
		}
	}
	return reached
}

// TestReadJournal_SurvivesTornWrite truncates the journal at every byte. A start finds the zone before an
// update or after it, and never another one.
func TestReadJournal_SurvivesTornWrite(t *testing.T) {
	files := newFiles(t, zoneFileText(7, 3))
	journal, sizes := journalOfThreeRemovals(t, files)
	ends := append(sizes[1:], int64(len(journal)))
	for size := sizes[0]; size <= int64(len(journal)); size++ {
		complete := countReached(ends, size)
		// What a file system may leave behind a torn write.
		for _, tail := range []string{"", "\x00\x00\x00", "0000"} {
			if complete == 3 && tail == "0000" {
				continue
			}
			writeFile(t, files.JournalFile, string(journal[:size])+tail)
			stored, err := readJournal(files.JournalFile, testSettings)
			if err != nil {
				t.Fatalf("cut at %d of %d: %v", size, len(journal), err)
			}
			if stored.zone.Serial() != 7+uint32(complete) || len(stored.zone.Backends()) != 3-complete {
				t.Fatalf("cut at %d of %d: %+v", size, len(journal), stored)
			}
		}
	}
	// A start truncates the torn line, so that the next line follows an intact one.
	writeFile(t, files.JournalFile, string(journal[:sizes[2]+20]))
	s := mustStart(t, files)
	if rcode := s.sendUpdate(t, "udp", "-"+srvTo+"n3.calc.example."); rcode != dns.RcodeSuccess {
		t.Fatal(rcode)
	}
	s.Close()
	stored, err := readJournal(files.JournalFile, testSettings)
	if err != nil || stored.tornBytes != 0 || len(stored.changes) != 3 {
		t.Fatal(err, stored)
	}
}

// TestStart_RefusesDamagedJournal damages a journal where a torn write cannot. The error names file and line.
func TestStart_RefusesDamagedJournal(t *testing.T) {
	files := newFiles(t, zoneFileText(7, 3))
	journal, sizes := journalOfThreeRemovals(t, files)
	for position, want := range map[int64]string{
		20:            ".journal:1: the checksum",
		sizes[0] + 30: ".journal:2: the checksum",
		sizes[1] + 9:  ".journal:3: ",
	} {
		damaged := bytes.Clone(journal)
		damaged[position] ^= 4
		writeFile(t, files.JournalFile, string(damaged))
		_, err := startServer(t, files)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("damage at %d: %v", position, err)
		}
		if _, ok := errors.AsType[*JournalError](err); !ok {
			t.Errorf("damage at %d: %T, not a JournalError", position, err)
		}
	}
	writeFile(t, files.JournalFile, "")
	if _, err := startServer(t, files); err == nil {
		t.Error("an empty journal was treated as a missing one")
	}
}

// TestServer_RefusesUpdateThatJournalCannotStore makes the journal fail. An update is answered with SERVFAIL
// and not applied; the same message is applied once the journal can store it.
func TestServer_RefusesUpdateThatJournalCannotStore(t *testing.T) {
	files := newFiles(t, zoneFileText(7, 3))
	s := mustStart(t, files)
	readOnly, err := os.Open(files.JournalFile)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	writable := s.journal.file
	s.journal.file = readOnly
	s.mu.Unlock()
	update := signed(newUpdate(t, "-"+srvTo+"n1.calc.example."), testKey)
	rcode, _ := s.exchange(t, "udp", update.Copy(), testKey)
	if rcode != dns.RcodeServerFailure || !s.published.has("n1") || s.Serial() != 7 {
		t.Errorf("%d, serial %d", rcode, s.Serial())
	}
	s.mu.Lock()
	s.journal.file = writable
	s.journal.failed = nil
	s.mu.Unlock()
	if rcode, _ := s.exchange(t, "udp", update, testKey); rcode != dns.RcodeSuccess || s.published.has("n1") {
		t.Error(rcode)
	}
}

// TestReadJournal_RefusesAnotherService reads a journal with the settings of another service.
func TestReadJournal_RefusesAnotherService(t *testing.T) {
	files := newFiles(t, zoneFileText(7, 3))
	mustStart(t, files).Close()
	other := dnszone.Settings{Origin: testSettings.Origin, Service: "_other._tcp.calc.example."}
	_, err := readJournal(files.JournalFile, other)
	mismatch, ok := errors.AsType[*SettingsMismatchError](err)
	if !ok || mismatch.Stored != testSettings || mismatch.Configured != other {
		t.Errorf("%v, not a SettingsError with both services", err)
	}
}
