package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"fawnplank/internal/lab/scenario"
	"fawnplank/policy"
)

// getList requests the endpoint list as instance 0. It returns a failed request as an error, because the test expects
// one.
func getList(t *testing.T, e *Emulator, query string) (endpointList, error) {
	t.Helper()
	url := "http://" + e.discovery.address(0) + endpointsPath + query
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return endpointList{}, err
	}
	defer func() { _ = response.Body.Close() }() // the body is only read
	var list endpointList
	err = json.NewDecoder(response.Body).Decode(&list)
	return list, err
}

func TestDiscovery_DeliversChanges(t *testing.T) {
	e := startEmulator(t)
	setFault := func(kind scenario.FaultKind, change faultChange) {
		e.setFault(scenario.Fault{Kind: kind, Delay: 200e6}, 0, change)
	}
	setDraining := func(backend int, change faultChange) {
		e.setFault(scenario.Fault{Kind: scenario.BackendDrain}, backend, change)
	}
	hasSingleEndpoint := func(list endpointList, status string) bool {
		return len(list.Endpoints) == 1 && list.Endpoints[0].Status == status
	}
	first, err := getList(t, e, "")
	if err != nil || !first.Snapshot || len(first.Endpoints) != 2 || first.Endpoints[0].Status != "up" {
		t.Fatalf("poll without an index: %+v, %v", first, err)
	}
	time.AfterFunc(50*time.Millisecond, func() { setDraining(1, faultBegins) })
	afterDrain, err := getList(t, e, fmt.Sprintf("?index=%d&wait=3000", first.Index))
	if err != nil || afterDrain.Snapshot || !hasSingleEndpoint(afterDrain, "draining") || afterDrain.Index <= first.Index {
		t.Fatalf("watch during the begin of a drain: %+v, %v", afterDrain, err)
	}
	setFault(scenario.DiscoveryStale, faultBegins)
	setDraining(1, faultEnds)
	duringStale, err := getList(t, e, fmt.Sprintf("?index=%d&wait=100", afterDrain.Index))
	if err != nil || len(duringStale.Endpoints) > 0 {
		t.Errorf("the list changed during a stale fault: %+v, %v", duringStale, err)
	}
	setFault(scenario.DiscoveryStale, faultEnds)
	afterStale, err := getList(t, e, fmt.Sprintf("?index=%d&wait=1000", afterDrain.Index))
	if err != nil || !hasSingleEndpoint(afterStale, "up") {
		t.Errorf("watch after the stale fault: %+v, %v", afterStale, err)
	}
	setFault(scenario.DiscoveryRefuse, faultBegins)
	if _, err := getList(t, e, ""); err == nil {
		t.Error("discovery answered during a refuse fault")
	}
	setFault(scenario.DiscoveryRefuse, faultEnds)
	setFault(scenario.DiscoveryLate, faultBegins)
	setDraining(0, faultBegins)
	if beforeDelay, _ := getList(t, e, ""); beforeDelay.Endpoints[0].Status != "up" {
		t.Error("the change was delivered before its delay")
	}
	time.Sleep(300 * time.Millisecond)
	afterDelay, _ := getList(t, e, "")
	if afterDelay.Endpoints[0].Status != "draining" || e.discovery.endpoints[0].state != policy.EndpointDraining {
		t.Error("the change was not delivered after its delay")
	}
}
