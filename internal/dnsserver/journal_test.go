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

// writeThreeRemovals writes a journal with the removals of n1, n2 and n3. It returns the journal's text, and its sizes
// before each removal.
func writeThreeRemovals(t *testing.T, options Options) (journal []byte, sizes []int64) {
	t.Helper()
	s := mustStart(t, options)
	for n := 1; n <= 3; n++ {
		info, err := os.Stat(options.JournalFile)
		if err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, info.Size())
		rcode := s.sendUpdate(t, "udp", fmt.Sprintf("-%sn%d.calc.example.", srvPrefix, n))
		if rcode != dns.RcodeSuccess {
			t.Fatal(rcode)
		}
	}
	s.Close()
	journal, err := os.ReadFile(options.JournalFile)
	if err != nil {
		t.Fatal(err)
	}
	return journal, sizes
}

// countCompleteLines returns how many of the lines with the given ends lie within size.
func countCompleteLines(lineEnds []int64, size int64) (complete int) {
	for _, end := range lineEnds {
		if size >= end {
			complete++
		}
	}
	return complete
}

// TestReadJournal_DropsTornLastLine guards against a crash during a write. It truncates the journal at every byte after
// the snapshot. A start reads the zone with exactly the changes whose lines are complete.
func TestReadJournal_DropsTornLastLine(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 3))
	journal, sizes := writeThreeRemovals(t, options)
	lineEnds := append(sizes[1:], int64(len(journal)))
	for size := sizes[0]; size <= int64(len(journal)); size++ {
		complete := countCompleteLines(lineEnds, size)
		// A file system may leave such bytes after a torn write.
		for _, tail := range []string{"", "\x00\x00\x00", "0000"} {
			if complete == 3 && tail == "0000" {
				continue
			}
			writeFile(t, options.JournalFile, string(journal[:size])+tail)
			stored, err := readJournal(options.JournalFile, testSettings)
			if err != nil {
				t.Fatalf("cut at %d of %d: %v", size, len(journal), err)
			}
			if stored.zone.Serial() != 7+uint32(complete) || len(stored.zone.Backends()) != 3-complete {
				t.Fatalf("cut at %d of %d: %+v", size, len(journal), stored)
			}
		}
	}
	// A start truncates the torn line, so that the next line follows an intact one.
	writeFile(t, options.JournalFile, string(journal[:sizes[2]+20]))
	s := mustStart(t, options)
	if rcode := s.sendUpdate(t, "udp", "-"+srvPrefix+"n3.calc.example."); rcode != dns.RcodeSuccess {
		t.Fatal(rcode)
	}
	s.Close()
	stored, err := readJournal(options.JournalFile, testSettings)
	if err != nil || stored.tornBytes != 0 || len(stored.changes) != 3 {
		t.Fatal(err, stored)
	}
}

// TestStart_RejectsCorruptedJournal corrupts a journal at positions that a torn write does not affect. Start returns a
// JournalError with the file and line.
func TestStart_RejectsCorruptedJournal(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 3))
	journal, sizes := writeThreeRemovals(t, options)
	for position, want := range map[int64]string{
		20:            ".journal:1: the checksum",
		sizes[0] + 30: ".journal:2: the checksum",
		sizes[1] + 9:  ".journal:3: ",
	} {
		corrupted := bytes.Clone(journal)
		corrupted[position] ^= 4
		writeFile(t, options.JournalFile, string(corrupted))
		_, err := startServer(t, options)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("corrupted at %d: %v", position, err)
		}
		if _, ok := errors.AsType[*JournalError](err); !ok {
			t.Errorf("corrupted at %d: %T, not a JournalError", position, err)
		}
	}
	writeFile(t, options.JournalFile, "")
	if _, err := startServer(t, options); err == nil {
		t.Error("Start accepted an empty journal")
	}
}

// TestServer_AnswersServerFailureWhenJournalWriteFails makes journal writes fail. An update is answered with SERVFAIL
// and not applied. The same message is applied once the journal is writable again.
func TestServer_AnswersServerFailureWhenJournalWriteFails(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 3))
	s := mustStart(t, options)
	readOnly, err := os.Open(options.JournalFile)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	writable := s.journal.file
	s.journal.file = readOnly
	s.mu.Unlock()
	update := sign(newUpdate(t, "-"+srvPrefix+"n1.calc.example."), testKey)
	rcode, _ := s.exchange(t, "udp", update.Copy(), testKey)
	if rcode != dns.RcodeServerFailure || !s.published.has("n1") || s.Serial() != 7 {
		t.Errorf("update without a writable journal: RCODE %d, serial %d", rcode, s.Serial())
	}
	s.mu.Lock()
	s.journal.file = writable
	s.journal.writeErr = nil
	s.mu.Unlock()
	if rcode, _ := s.exchange(t, "udp", update, testKey); rcode != dns.RcodeSuccess || s.published.has("n1") {
		t.Error(rcode)
	}
}

// TestReadJournal_RejectsJournalOfAnotherService reads a journal with settings for another service. The error contains
// both settings.
func TestReadJournal_RejectsJournalOfAnotherService(t *testing.T) {
	options := newOptions(t, zoneFileText(7, 3))
	mustStart(t, options).Close()
	other := dnszone.Settings{Origin: testSettings.Origin, Service: "_other._tcp.calc.example."}
	_, err := readJournal(options.JournalFile, other)
	mismatch, ok := errors.AsType[*SettingsMismatchError](err)
	if !ok || mismatch.Stored != testSettings || mismatch.Configured != other {
		t.Errorf("%v, not a SettingsError with both services", err)
	}
}
