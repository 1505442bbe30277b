package frontend

import (
	"strings"
	"testing"
	"time"

	"fawnplank/internal/config"
	"fawnplank/policy"
)

func newOKHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, harnessOptions{
		server:    Options{MaxConnections: 20},
		onAttempt: func(a receivedAttempt) { a.respond(okBackendResponse) },
	})
}

// invalidCommands returns well-formed commands that are not valid commands of the protocol.
func invalidCommands() []string {
	commands := []string{
		respCommand("GET", "x"), respCommand("SVC.QUERY", "1"), respCommand("SVC.QUERY", "customer", "1", lookupFields),
		respCommand("SVC.QUERY", "00000002b4d65521", "1", lookupFields),
		respCommand("SVC.QUERY", "b4d65521", "1", lookupFields),
		queryCommand("", lookupFields), queryCommand("a b", lookupFields), queryCommand("1\x00", lookupFields),
		queryCommand("1", lookupFields+","), queryCommand("1", ","),
	}
	for _, fields := range []string{
		"c=none,t=team,d=9", "c=lookup,t=none,d=9", "c=lookup,t=team", "c=lookup,d=9", "t=team,d=9",
		"c=lookup,t=team,d=x", "c=lookup,t=team,d=NaN", "c=lookup,t=team,d=-4", "c=lookup,t=team,d=1e3",
		"c=lookup,t=team,d=", "lookup", "", lookupFields + ",c=lookup", lookupFields + ",d=9",
	} {
		commands = append(commands, queryCommand("1", fields))
	}
	for _, field := range []string{
		"units=0", "units=-2", "units=NaN", "units=Inf", "units=1e300", "units=0x2", "units=", "units=9",
		"spread=0", "spread=3", "spread=-1", "spread=x", "spread=1.5",
		"first=2", "first=-1", "first=99999999999999999999",
	} {
		commands = append(commands, queryCommand("1", "c=lookup,t=team,d=900,"+field))
	}
	return commands
}

func TestParser_InvalidCommandAnsweredWithError(t *testing.T) {
	h := newOKHarness(t)
	for _, text := range invalidCommands() {
		c := h.dial()
		c.send(text + respCommand("PING"))
		if got, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(got, "-ERR ") {
			t.Fatalf("%q: got %q, %v; want an error", text, got, err)
		}
		c.expectLine(`\+PONG`) // the connection stays open
		c.close()
	}
	expectServing(h)
}

func TestParser_MalformedInputClosesConnection(t *testing.T) {
	h := newOKHarness(t)
	for _, text := range []string{
		"*1\r\n$-5\r\n", "*1\r\n$9223372036854775807\r\nx", "*x\r\n", "*1\r\n:4\r\n", "*-3\r\n",
		"$5 hello\r\n", "*2\r\n$3\r\nabcdef", "GET / HTTP/1.1\r\n", "*0\r\n",
		"SVC.QUERY 00000000b4d65521 1 " + lookupFields + "\r\n",
		"*4\r\n$70000\r\n" + strings.Repeat("x", 70000),
	} {
		c := h.dial()
		c.send(text)
		c.expectLine("-ERR .+")
		if _, err := c.reader.ReadByte(); err == nil {
			t.Errorf("%.20q: the connection stays open", text)
		}
	}
	expectServing(h)
}

// expectServing fails the test unless another client, which sends its request byte by byte, is served.
func expectServing(h *harness) {
	h.t.Helper()
	c := h.dial()
	c.send(respCommand("pInG"))
	c.expectLine(`\+PONG`)
	for _, b := range []byte(queryCommand("1", lookupFields)) {
		c.send(string([]byte{b}))
	}
	c.expect(okClientResponse)
}

// Guards against the loss of an error to a connection reset: a client that is still sending the value whose length was
// rejected receives the error.
func TestParser_ErrorReachesClientThatKeepsSending(t *testing.T) {
	h := newHarness(t, harnessOptions{})
	c := h.dial()
	go func() {
		// The server may close the connection at any time.
		_ = c.trySend("*4\r\n$9\r\nSVC.QUERY\r\n$60000000\r\n")
		for range 20 {
			_ = c.trySend(string(make([]byte, 8<<10)))
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(60 * time.Millisecond)
	c.expectLine("-ERR .+length.*")
}

// headConfig returns the configuration by which the tests parse heads.
func headConfig() *config.Config {
	return &config.Config{
		Settings: policy.Settings{Instances: 4, Classes: []policy.ClassSettings{{}, {}, {CheckOnly: true}}},
		Classes:  map[string]policy.ClassID{"lookup": 0, "pay": 1, "check": 2},
		Plans:    map[string]policy.PlanID{"team": 0, "one": 1},
		MaxUnits: 8,
	}
}

func headArgs(tenant, id, fields string) [][]byte {
	return [][]byte{[]byte("SVC.QUERY"), []byte(tenant), []byte(id), []byte(fields)}
}

func TestRequestHead_ParsesFields(t *testing.T) {
	head := requestHead{config: headConfig()}
	fields := "c=pay,t=one,d=12.5,units=2.5,spread=3,first=2,k=other"
	if err := head.parse(headArgs("00000000B4d65521", "7", fields)); err != nil {
		t.Fatal(err)
	}
	if head.tenant != 0xb4d65521 || string(head.tenantText) != "00000000B4d65521" || string(head.id) != "7" {
		t.Errorf("tenant %x (%s), id %s", head.tenant, head.tenantText, head.id)
	}
	if head.class != 1 || head.plan != 1 || string(head.planName) != "one" {
		t.Errorf("class %d, plan %d (%s)", head.class, head.plan, head.planName)
	}
	if head.remaining != 12500*time.Microsecond || string(head.remainingText) != "12.5" {
		t.Errorf("remaining %v (%s)", head.remaining, head.remainingText)
	}
	if head.units != 2.5 || head.entryPoints != 3 || head.firstInstance != 2 {
		t.Errorf("units %v, entry points %d from %d", head.units, head.entryPoints, head.firstInstance)
	}
	if string(head.fields) != fields {
		t.Errorf("fields %s", head.fields)
	}
}

func TestRequestHead_Defaults(t *testing.T) {
	head := requestHead{config: headConfig()}
	if err := head.parse(headArgs(testTenant, "7", "c=lookup,t=team,d=9")); err != nil {
		t.Fatal(err)
	}
	if head.units != 1 || head.entryPoints != 1 || head.firstInstance != 0 {
		t.Errorf("units %v, entry points %d from %d", head.units, head.entryPoints, head.firstInstance)
	}
}

// The class is set only if it was parsed before the error, so that the error is counted for its class.
func TestRequestHead_Errors(t *testing.T) {
	for name, test := range map[string]struct {
		args     [][]byte
		want     string
		hasClass bool
	}{
		"tenant":           {headArgs("b4d65521", "7", "c=lookup"), errTenant.Error(), false},
		"id":               {headArgs(testTenant, "a b", "c=lookup"), errRequestID.Error(), false},
		"class missing":    {headArgs(testTenant, "7", "t=team,d=9"), errClassMissing.Error(), false},
		"plan missing":     {headArgs(testTenant, "7", "c=lookup,d=9"), errPlanMissing.Error(), true},
		"deadline missing": {headArgs(testTenant, "7", "c=lookup,t=team"), errDeadlineMissing.Error(), true},
		"check-only class": {headArgs(testTenant, "7", "c=check"), `c has no meaning as "check"`, false},
		"class twice":      {headArgs(testTenant, "7", "c=lookup,c=pay"), `c has no meaning as "pay"`, true},
		"no value":         {headArgs(testTenant, "7", "c=lookup,t"), `"t" has no value`, true},
	} {
		t.Run(name, func(t *testing.T) {
			head := requestHead{config: headConfig()}
			err := head.parse(test.args)
			if err == nil || err.Error() != test.want || head.hasClass != test.hasClass {
				t.Errorf("got %v, class set: %t; want %s, %t", err, head.hasClass, test.want, test.hasClass)
			}
		})
	}
}

// Guards against errors for valid requests: a field was treated as repeated if the name of an earlier field ended in
// its name, as first ends in t and spread ends in d.
func TestParser_FieldsInAnyOrder(t *testing.T) {
	h := newOKHarness(t)
	for _, fields := range []string{
		"first=1,c=lookup,t=team,d=900", "spread=1,c=lookup,t=team,d=900", "units=1,c=lookup,first=0,d=900,t=team",
		"d=900,t=team,c=lookup,spread=2,first=1,units=1", "set=1,c=lookup,t=team,d=900",
	} {
		c := h.dial()
		c.send(queryCommand("1", fields))
		if got, err := c.reader.ReadString('\n'); err != nil || strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%s: got %q, %v; want no error", fields, got, err)
		}
		c.close()
	}
}
