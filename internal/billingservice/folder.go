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

// FolderSink is a sink that writes each batch to a file named use-FIRST-LAST.jsonl in the folder of this path. A
// file appears only when it is complete. Several instances may use the same folder.
type FolderSink string

const (
	// exportFileFormat takes the first and the last sequence of the batch in the file.
	exportFileFormat = "use-%012d-%012d" + exportFileSuffix
	exportFileGlob   = "use-*-*" + exportFileSuffix
	exportFileSuffix = ".jsonl"
	// exportFileMode gives only the gateway's user access to what tenants used.
	exportFileMode = 0o600
)

// LastSequence returns the last sequence found in the files' names.
func (f FolderSink) LastSequence(context.Context) (uint64, error) {
	paths, err := filepath.Glob(filepath.Join(string(f), exportFileGlob))
	if err != nil {
		return 0, err
	}
	if _, err := os.Stat(string(f)); err != nil { // a missing folder is not an empty one
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

// Send writes a batch to a file. A file of the same name with other content is an error.
func (f FolderSink) Send(_ context.Context, batch []billing.UsageRecord) error {
	name := fmt.Sprintf(exportFileFormat, batch[0].Sequence, batch[len(batch)-1].Sequence)
	path := filepath.Join(string(f), name)
	content := encodeBatch(batch)
	if existing, err := os.ReadFile(path); err == nil {
		if !bytes.Equal(existing, content) {
			return fmt.Errorf("%s is there with another text", path)
		}
		return nil
	}
	return durable.WriteFile(path, content, exportFileMode)
}
