package billingservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"fawnplank/internal/billing"
	"fawnplank/internal/logging"
	"fawnplank/internal/store/kv"
)

// Sink is a receiver of records. A batch that it was sent before, known by its first and last sequence, it takes again
// without effect.
type Sink interface {
	// Last is the last sequence that it has; 0: none.
	Last(ctx context.Context) (uint64, error)
	// Send gives it a batch. After an error it may have taken it. One that it knows with another content is an error.
	Send(ctx context.Context, batch []billing.Record) error
}

// lines is a batch as it is sent: a JSON object a line.
func encodeBatch(batch []billing.Record) []byte {
	var b bytes.Buffer
	for _, r := range batch {
		text, _ := json.Marshal(r) // of numbers and strings: it has no errors
		b.Write(append(text, '\n'))
	}
	return b.Bytes()
}

// Folder is a sink of files, a batch each, named use-FIRST-LAST.jsonl and put there whole.
type Folder string

// Last is read from the files' names.
func (f Folder) Last(context.Context) (last uint64, err error) {
	names, err := filepath.Glob(filepath.Join(string(f), "use-*-*.jsonl"))
	if err != nil {
		return 0, err
	}
	if _, err := os.Stat(string(f)); err != nil {
		return 0, err
	}
	for _, n := range names {
		parts := strings.Split(strings.TrimSuffix(filepath.Base(n), ".jsonl"), "-")
		if x, err := strconv.ParseUint(parts[len(parts)-1], 10, 64); err == nil {
			last = max(last, x)
		}
	}
	return last, nil
}

// Send writes a file. One of the name with other text is an error.
func (f Folder) Send(_ context.Context, batch []billing.Record) error {
	path := filepath.Join(string(f), fmt.Sprintf("use-%012d-%012d.jsonl", batch[0].Sequence, batch[len(batch)-1].Sequence))
	text := encodeBatch(batch)
	if old, err := os.ReadFile(path); err == nil {
		if !bytes.Equal(old, text) {
			return fmt.Errorf("%s is there with another text", path)
		}
		return nil
	}
	if err := renameio.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	folder, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Receiver is a sink by HTTP: POST of lines with Idempotency-Key fawnplank-FIRST-LAST, and GET for {"last": N}.
type Receiver struct {
	URL    string
	Client *http.Client
}

// NewReceiver makes one.
func NewReceiver(url string) *Receiver {
	return &Receiver{url, &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{IdleConnTimeout: time.Minute}}}
}

func (r *Receiver) call(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, r.URL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Content-Type", "application/x-ndjson")
	}
	answer, err := r.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 4<<10))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode/100 != 2 {
		return nil, fmt.Errorf("the receiver answers %s: %.200s", answer.Status, text)
	}
	return text, nil
}

// Last asks for the last sequence.
func (r *Receiver) Last(ctx context.Context) (uint64, error) {
	text, err := r.call(ctx, http.MethodGet, "", nil)
	if err != nil {
		return 0, err
	}
	var x struct {
		Last *uint64 `json:"last"`
	}
	if err := json.Unmarshal(text, &x); err != nil || x.Last == nil {
		return 0, fmt.Errorf("the receiver answers %.100q in place of {\"last\": N}", text)
	}
	return *x.Last, nil
}

// Send sends a batch.
func (r *Receiver) Send(ctx context.Context, batch []billing.Record) error {
	_, err := r.call(ctx, http.MethodPost, fmt.Sprintf("fawnplank-%d-%d", batch[0].Sequence, batch[len(batch)-1].Sequence), encodeBatch(batch))
	return err
}

// errAhead says that the receiver has records that this store has never numbered.
var errAhead = errors.New("the receiver has records that the store has not numbered: it was put back to an old copy. Nothing is exported until `fawnplank billing resume`")

// export sends records on, in their order, until Close.
func (d *Service) runExport() {
	defer d.loops.Done()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-d.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	pause, last := time.Duration(0), ""
	for {
		sent, err := d.exportBatch(ctx)
		said := ""
		if err != nil {
			said = err.Error()
			d.counts.Failures.Add(1)
			pause = min(max(2*pause, d.options.RetryDelay), 30*d.options.RetryDelay)
		} else if pause = d.options.ReportInterval; sent {
			pause = 0
		}
		d.halted.Store(&said)
		if said != last && ctx.Err() == nil {
			if last = said; said != "" {
				logging.For("billing").WithError(err).Error("nothing is exported; tried again")
			} else {
				logging.For("billing").Info("exported again")
			}
		}
		select {
		case <-d.stop:
			return
		case <-time.After(pause):
		}
	}
}

// exportOne sends one batch, if there is one.
//
// The batch is fixed in the store before anything is sent, so that whoever sends it again, after a crash at any
// moment, sends the same; and the receiver is asked first what it has.
func (d *Service) exportBatch(ctx context.Context) (sent bool, err error) {
	s, index, err := d.readExportState()
	if err != nil {
		return false, err
	}
	if s.Last == 0 {
		if s.Next == s.Acked+1 {
			return false, nil
		}
		s.First, s.Last = s.Acked+1, min(s.Next-1, s.Acked+mostBatch)
		if index, err = d.write(s, index, nil); err != nil {
			return false, err
		}
	}
	has, err := d.options.Sink.Last(ctx)
	if err != nil {
		return false, err
	}
	if has > s.Last {
		if _, now, err := d.readExportState(); err != nil || now != index { // another exporter was quicker
			return err == nil, err
		}
		return false, errAhead
	}
	if e, _ := d.options.Replica.ReadLocal(exportKey); e.Index < index { // this replica has yet to hear of the batch, and of its records
		return false, nil
	}
	var batch []billing.Record
	for n := s.First; n <= s.Last; n++ {
		e, ok := d.options.Replica.ReadLocal(recordKeyAt(n))
		var r billing.Record
		if !ok || json.Unmarshal(e.Value, &r) != nil || r.Sequence != n {
			return false, fmt.Errorf("record %d is missing in the store", n)
		}
		batch = append(batch, r)
	}
	// Also where the receiver has them all: that they are the same is for it to say.
	if err := d.options.Sink.Send(ctx, batch); err != nil {
		return false, err
	}
	var edits []kv.Edit
	for n := s.First; n <= s.Last; n++ {
		edits = append(edits, kv.Edit{Key: recordKeyAt(n)})
	}
	count := s.Last - s.First + 1
	s.Acked, s.First, s.Last = s.Last, 0, 0
	if _, err := d.write(s, index, edits); err != nil {
		return false, err
	}
	d.counts.Exported.Add(count)
	return true, nil
}

// write writes the export's state, if it still is as it was read.
func (d *Service) write(s exportState, index kv.Index, edits []kv.Edit) (kv.Index, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	if err := d.options.Replica.Edit(append(edits, kv.Edit{Key: exportKey, Value: text, Check: true, If: index})); err != nil {
		return 0, err
	}
	e, ok, err := d.options.Replica.ReadFromLeader(exportKey)
	if err == nil && (!ok || string(e.Value) != string(text)) {
		err = kv.ConflictError{Key: exportKey}
	}
	return e.Index, err
}

// Resume goes on after the store was put back to an old copy: sequences go on behind what the receiver has, and use
// of windows that began before a moment, which may have been exported by the lost state, is dropped, never billed
// again. It tells how many records and windows that were.
func Resume(r Replica, after uint64, before time.Time) (records, windows int, err error) {
	d := &Service{options: Options{Replica: r, Now: time.Now, Settings: func() billing.Settings { return billing.Settings{} }}}
	s, index, err := d.readExportState()
	if err != nil {
		return 0, 0, err
	}
	if after+1 < s.Next && s.Acked > after {
		return 0, 0, fmt.Errorf("record %d is exported already: the receiver has %d at least", s.Acked, s.Acked)
	}
	for n := s.Acked + 1; n < s.Next; n++ { // numbered by the old copy: what they count is in its accounts no more
		if err := r.Edit([]kv.Edit{{Key: recordKeyAt(n)}}); err != nil {
			return records, 0, err
		}
		records++
	}
	for name := range r.ReadPrefix(accountPrefix) {
		if err := d.step(name, func(_ billing.Settings, _ int64, a billing.Account) (billing.Account, error) {
			a, n := a.DropWindows(before.UnixNano())
			windows += n
			return a, nil
		}); err != nil {
			return records, windows, err
		}
	}
	next := max(after+1, s.Next)
	_, err = d.write(exportState{Next: next, Acked: next - 1}, index, nil)
	return records, windows, err
}
