package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	zoneOrigin  = "calc.example."
	zoneService = "_calc._tcp.calc.example."
	tsigKeyName = "deploy."
	tsigSecret  = "a-secret-of-32-bytes-for-updates"
)

// Numbers of the DNS protocol: types, classes, RCODEs.
const (
	typeA, typeTXT, typeSRV, typeSOA, typeTSIG = 1, 16, 33, 6, 250
	classIN, classNone, classAny               = 1, 254, 255

	rcodeNoError, rcodeRefused, rcodeNotAuth = 0, 5, 9
)

// dnsSection returns the part of an operator file that reads the calc nodes from a zone.
func (w *world) dnsSection(zoneFile, listen, journal string) string {
	secret := w.writeFile("deploy.key", base64.StdEncoding.EncodeToString([]byte(tsigSecret))+"\n")
	text := fmt.Sprintf("[dns]\nzone_file = %q\norigin = %q\nservice = %q\nlisten = %q\n", zoneFile, zoneOrigin, zoneService, listen)
	if journal != "" {
		text += fmt.Sprintf("journal = %q\n", journal)
	}
	return text + fmt.Sprintf("\n[[dns.key]]\nname = %q\nsecret_file = %q\n", tsigKeyName, secret)
}

// zoneText returns a zone file with the calc nodes.
func zoneText(serial int, nodes ...*node) string {
	var text strings.Builder
	fmt.Fprintf(&text, "$ORIGIN %s\n$TTL 30\n@ IN SOA ns admin %d 3600 600 86400 30\n@ IN NS ns\nns A 127.0.0.1\n", zoneOrigin, serial)
	for _, n := range nodes {
		host, port, _ := strings.Cut(n.address, ":")
		fmt.Fprintf(&text, "_calc._tcp SRV 0 100 %s %s\n%s A %s\n", port, n.name, n.name, host)
	}
	return text.String()
}

// record is one record of an update; an empty data with class ANY deletes a set of records.
type record struct {
	name  string
	kind  uint16
	class uint16
	ttl   uint32
	data  []byte
}

func txtRecord(class uint16, name, text string) record {
	r := record{name: name, kind: typeTXT, class: class, data: append([]byte{byte(len(text))}, text...)}
	if class == classIN {
		r.ttl = 30
	}
	return r
}

// srvRecord returns the SRV record of a calc node.
func srvRecord(class uint16, n *node) record {
	var port uint16
	_, text, _ := strings.Cut(n.address, ":")
	fmt.Sscan(text, &port)
	data := binary.BigEndian.AppendUint16([]byte{0, 0, 0, 100}, port)
	r := record{name: zoneService, kind: typeSRV, class: class, data: append(data, wireName(n.name+"."+zoneOrigin)...)}
	if class == classIN {
		r.ttl = 30
	}
	return r
}

// wireName returns a name in the form of the wire.
func wireName(name string) []byte {
	var out []byte
	for _, label := range strings.Split(strings.TrimSuffix(name, "."), ".") {
		out = append(append(out, byte(len(label))), label...)
	}
	return append(out, 0)
}

func appendRecord(out []byte, r record) []byte {
	out = append(out, wireName(r.name)...)
	out = binary.BigEndian.AppendUint16(out, r.kind)
	out = binary.BigEndian.AppendUint16(out, r.class)
	out = binary.BigEndian.AppendUint32(out, r.ttl)
	out = binary.BigEndian.AppendUint16(out, uint16(len(r.data)))
	return append(out, r.data...)
}

// signedUpdate returns an update (RFC 2136) that is signed now (RFC 8945, hmac-sha256).
func signedUpdate(id uint16, records ...record) []byte {
	message := binary.BigEndian.AppendUint16(nil, id)
	message = binary.BigEndian.AppendUint16(message, 5<<11) // opcode UPDATE
	for _, count := range []int{1, 0, len(records), 0} {
		message = binary.BigEndian.AppendUint16(message, uint16(count))
	}
	message = append(message, wireName(zoneOrigin)...)
	message = binary.BigEndian.AppendUint16(message, typeSOA)
	message = binary.BigEndian.AppendUint16(message, classIN)
	for _, r := range records {
		message = appendRecord(message, r)
	}
	return appendSignature(message, id)
}

func appendSignature(message []byte, id uint16) []byte {
	const fudge = 300
	algorithm := wireName("hmac-sha256.")
	signedAt := binary.BigEndian.AppendUint64(nil, uint64(time.Now().Unix()))[2:]
	times := binary.BigEndian.AppendUint16(append([]byte{}, signedAt...), fudge)

	hash := hmac.New(sha256.New, []byte(tsigSecret))
	hash.Write(message)
	hash.Write(wireName(tsigKeyName))
	hash.Write([]byte{0, classAny, 0, 0, 0, 0})
	hash.Write(algorithm)
	hash.Write(times)
	hash.Write([]byte{0, 0, 0, 0}) // no error, no other data
	mac := hash.Sum(nil)

	data := append(append([]byte{}, algorithm...), times...)
	data = binary.BigEndian.AppendUint16(data, uint16(len(mac)))
	data = append(data, mac...)
	data = binary.BigEndian.AppendUint16(data, id)
	data = append(data, 0, 0, 0, 0)
	signed := appendRecord(append([]byte{}, message...), record{name: tsigKeyName, kind: typeTSIG, class: classAny, data: data})
	binary.BigEndian.PutUint16(signed[10:], 1) // one additional record
	return signed
}

// updater sends updates over TCP, some hundred over each connection.
type updater struct {
	address string
	conn    net.Conn
	sent    int
	lastID  uint16
}

// send sends an update and returns the RCODE of its answer, -1 without one.
func (u *updater) send(message []byte) int {
	if u.conn == nil || u.sent%500 == 0 {
		if u.conn != nil {
			u.conn.Close()
		}
		conn, err := net.DialTimeout("tcp", u.address, 2*time.Second)
		if err != nil {
			return -1
		}
		u.conn = conn
	}
	u.sent++
	u.conn.SetDeadline(time.Now().Add(8 * time.Second))
	if _, err := u.conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(message))), message...)); err != nil {
		u.conn = nil
		return -1
	}
	var length [2]byte
	if _, err := io.ReadFull(u.conn, length[:]); err != nil {
		u.conn = nil
		return -1
	}
	answer := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(u.conn, answer); err != nil || len(answer) < 12 {
		u.conn = nil
		return -1
	}
	return int(answer[3] & 15)
}

// update signs the records as an update and sends it.
func (u *updater) update(records ...record) int {
	u.lastID++
	return u.send(signedUpdate(u.lastID, records...))
}

// targets asks a name server for the calc nodes of the service and returns how many SRV records there are.
func targets(address string) int {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return -1
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	query := append([]byte{0, 7, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0}, wireName(zoneService)...)
	query = append(query, 0, typeSRV, 0, classIN)
	if _, err := conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(query))), query...)); err != nil {
		return -1
	}
	var length [2]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return -1
	}
	answer := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err := io.ReadFull(conn, answer); err != nil || len(answer) < 12 {
		return -1
	}
	return int(binary.BigEndian.Uint16(answer[6:]))
}
