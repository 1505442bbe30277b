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

// getList polls discovery as instance 0; an error of it is part of what the test wants.
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
	defer func() { _ = response.Body.Close() }() // only read
	var list endpointList
	err = json.NewDecoder(response.Body).Decode(&list)
	return list, err
}

func TestDiscovery_DeliversChanges(t *testing.T) {
	e := start(t)
	setFault := func(kind scenario.FaultKind, change faultChange) {
		e.setFault(scenario.Fault{Kind: kind, Delay: 200e6}, 0, change)
	}
	setDraining := func(backend int, change faultChange) {
		e.setFault(scenario.Fault{Kind: scenario.BackendDrain}, backend, change)
	}
	hasOne := func(list endpointList, status string) bool {
		return len(list.Endpoints) == 1 && list.Endpoints[0].Status == status
	}
	first, err := getList(t, e, "")
	if err != nil || !first.Snapshot || len(first.Endpoints) != 2 || first.Endpoints[0].Status != "up" {
		t.Fatalf("%+v, %v", first, err)
	}
	time.AfterFunc(50*time.Millisecond, func() { setDraining(1, faultBegins) })
	next, err := getList(t, e, fmt.Sprintf("?index=%d&wait=3000", first.Index))
	if err != nil || next.Snapshot || !hasOne(next, "draining") || next.Index <= first.Index {
		t.Fatalf("%+v, %v", next, err)
	}
	setFault(scenario.DiscoveryStale, faultBegins)
	setDraining(1, faultEnds)
	stale, err := getList(t, e, fmt.Sprintf("?index=%d&wait=100", next.Index))
	if err != nil || len(stale.Endpoints) > 0 {
		t.Errorf("a stale one delivered %+v, %v", stale, err)
	}
	setFault(scenario.DiscoveryStale, faultEnds)
	again, err := getList(t, e, fmt.Sprintf("?index=%d&wait=1000", next.Index))
	if err != nil || !hasOne(again, "up") {
		t.Errorf("%+v, %v", again, err)
	}
	setFault(scenario.DiscoveryRefuse, faultBegins)
	if _, err := getList(t, e, ""); err == nil {
		t.Error("one that refuses answered")
	}
	setFault(scenario.DiscoveryRefuse, faultEnds)
	setFault(scenario.DiscoveryLate, faultBegins)
	setDraining(0, faultBegins)
	if early, _ := getList(t, e, ""); early.Endpoints[0].Status != "up" {
		t.Error("a late one delivered at once")
	}
	time.Sleep(300 * time.Millisecond)
	late, _ := getList(t, e, "")
	if late.Endpoints[0].Status != "draining" || e.discovery.endpoints[0].state != policy.EndpointDraining {
		t.Error("a late one never delivered")
	}
}
