package discovery

import (
	"strings"
	"testing"

	"fawnplank/policy"
)

func TestValidateCachedList_ErrorNamesSettingsKey(t *testing.T) {
	err := ValidateCachedList([]byte(`{"endpoints":[{"name":"","address":"a:1"}]}`))
	if err == nil || !strings.Contains(err.Error(), "known") {
		t.Errorf("%v", err)
	}
}

// TestDecodeList_RejectsSnapshotWithDuplicate checks that a full snapshot with two entries for a backend is rejected
// with an error that names the backend, and that the last valid list stays in use. A delta may have such entries.
func TestDecodeList_RejectsSnapshotWithDuplicate(t *testing.T) {
	withDuplicate := []string{entry("s-1", "up"), entry("s-2", "up"), entry("s-1", "draining")}
	err := ValidateCachedList([]byte(list(3, true, withDuplicate...)))
	if err == nil || !strings.Contains(err.Error(), `"s-1" appears more than once`) {
		t.Errorf("%v", err)
	}
	client, updates, _ := startClient(t,
		list(3, true, entry("s-1", "up")), list(4, true, withDuplicate...), list(5, false, withDuplicate...))
	client.WatchEndpoints()
	updates.next(t)
	if got := updates.next(t); got.kind != policy.UpdateFailed || len(got.addresses) != 1 {
		t.Errorf("%+v", got)
	}
	client.WatchEndpoints()
	if got := updates.next(t); got.kind != policy.Delta || len(got.endpoints) != 3 {
		t.Errorf("%+v", got)
	}
}
