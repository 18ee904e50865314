package crowd

import (
	"bytes"
	"crypto/tls"
	"net"
)

// TLS returns a Sender that sends the requests of send over TLS. It doesn't verify the server.
func TLS(send Sender) Sender {
	return func(conn net.Conn, i int) error {
		return send(tls.Client(conn, &tls.Config{InsecureSkipVerify: true}), i)
	}
}

// Parts of a handshake that does not end.
const (
	recordTypeHandshake = 22
	messageClientHello  = 1
	// recordBytes is the size of the records, which is the largest one that TLS allows.
	recordBytes = 16 << 10
	// sentRecords is the number of records that are sent. They have less than messageBytes, the
	// length that the message announces.
	sentRecords  = 3
	messageBytes = 64<<10 - 1
)

// EndlessHandshake sends most of a TLS client hello of the largest size, and not its end.
func EndlessHandshake(conn net.Conn, _ int) error {
	record := append([]byte{recordTypeHandshake, 3, 1, recordBytes >> 8, 0}, make([]byte, recordBytes)...)
	data := bytes.Repeat(record, sentRecords)
	copy(data[5:], []byte{messageClientHello, 0, messageBytes >> 8, messageBytes & 0xff})
	_, err := conn.Write(data)
	return err
}
