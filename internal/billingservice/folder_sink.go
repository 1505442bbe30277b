package billingservice

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"fawnplank/internal/billing"
	"fawnplank/internal/durable"
)

// FolderSink is a sink that writes each batch to a file named use-FIRST-LAST.jsonl. The value is the path of the
// folder. A file appears only when it is complete. Several instances may use the same folder.
type FolderSink string

const (
	// exportFileNameFormat formats the sequence numbers of the first and last record in a file.
	exportFileNameFormat  = "use-%012d-%012d" + exportFileSuffix
	exportFileNamePattern = "use-*-*" + exportFileSuffix
	exportFileSuffix      = ".jsonl"
	// exportFileMode restricts access to tenants' usage to the user that runs the gateway.
	exportFileMode = 0o600
)

// LastSequence returns the highest last sequence number among the file names.
func (f FolderSink) LastSequence(context.Context) (uint64, error) {
	paths, err := filepath.Glob(filepath.Join(string(f), exportFileNamePattern))
	if err != nil {
		return 0, err
	}
	if _, err := os.Stat(string(f)); err != nil { // Glob reports no error for a missing folder
		return 0, err
	}
	last := uint64(0)
	for _, path := range paths {
		parts := strings.Split(strings.TrimSuffix(filepath.Base(path), exportFileSuffix), "-")
		if sequence, err := strconv.ParseUint(parts[len(parts)-1], 10, 64); err == nil {
			last = max(last, sequence)
		}
	}
	return last, nil
}

// Send writes a batch to a file. It returns an error if the file exists with different content.
func (f FolderSink) Send(_ context.Context, batch []billing.UsageRecord) error {
	name := fmt.Sprintf(exportFileNameFormat, batch[0].Sequence, batch[len(batch)-1].Sequence)
	path := filepath.Join(string(f), name)
	content := encodeBatch(batch)
	if existing, err := os.ReadFile(path); err == nil {
		if !bytes.Equal(existing, content) {
			return fmt.Errorf("%s already exists with different content", path)
		}
		return nil
	}
	return durable.WriteFile(path, content, exportFileMode)
}
