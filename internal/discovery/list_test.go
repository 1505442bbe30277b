package discovery

import (
	"strings"
	"testing"

	"fawnplank/policy"
)

func TestCheck_NamesTheSetting(t *testing.T) {
	err := ValidateCachedList([]byte(`{"endpoints":[{"name":"","address":"a:1"}]}`))
	if err == nil || !strings.Contains(err.Error(), "known") {
		t.Errorf("%v", err)
	}
}

// TestDecodeList_RefusesSnapshotWithDuplicate: a full snapshot that names a backend twice is refused by name,
// and the last good one stands. A delta may do so.
func TestDecodeList_RefusesSnapshotWithDuplicate(t *testing.T) {
	twice := []string{entry("s-1", "up"), entry("s-2", "up"), entry("s-1", "draining")}
	err := ValidateCachedList([]byte(list(3, true, twice...)))
	if err == nil || !strings.Contains(err.Error(), `"s-1" stands twice`) {
		t.Errorf("%v", err)
	}
	client, updates, _ := startClient(t,
		list(3, true, entry("s-1", "up")), list(4, true, twice...), list(5, false, twice...))
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
