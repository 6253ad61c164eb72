package control

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/poppywall/poppywall/route"
)

const (
	// MaxFrame limits the body of one frame, in bytes.
	MaxFrame = 2 << 20

	nonceLen = 16
	tagLen   = 16
	// frameHeaderLen is the length of the body's length and the tag, which precede
	// the body in a frame.
	frameHeaderLen   = 4 + tagLen
	handshakeTimeout = 3 * time.Second
	writeTimeout     = 5 * time.Second
)

// Errors of the handshake and of frames.
var (
	ErrFrameTooLarge = errors.New("control frame is too large")
	ErrFrameTag      = errors.New("control frame tag does not verify")
	ErrKeyNumber     = errors.New("control client uses an unknown key number")
)

// Traffic counts the bytes sent and received in frames on a process's control
// connections.
type Traffic struct {
	Sent, Received atomic.Int64
}

// stream is a jsonrpc2.ObjectStream of authenticated frames.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	traffic *Traffic

	recvKey []byte
	recvSeq uint64

	// mu guards the fields below; several goroutines write.
	mu      sync.Mutex
	sendKey []byte
	sendSeq uint64
}

// newStream runs the handshake as client or server and returns the stream. Both
// ends use the secret whose number the client sends, its first one, so that a key
// rotation need not happen on all nodes at the same time.
func newStream(conn net.Conn, secrets []route.Secret, client bool, traffic *Traffic) (*stream, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	own := make([]byte, 1+nonceLen)
	own[0] = secrets[0].Number
	if _, err := rand.Read(own[1:]); err != nil {
		return nil, err
	}
	peer := make([]byte, 1+nonceLen)
	if err := exchangeHellos(conn, own, peer); err != nil {
		return nil, err
	}
	clientHello, serverHello := own, peer
	if !client {
		clientHello, serverHello = peer, own
	}
	secret, ok := secretByNumber(secrets, clientHello[0])
	if !ok {
		return nil, ErrKeyNumber
	}
	s := &stream{conn: conn, reader: bufio.NewReader(conn), traffic: traffic}
	if err := s.deriveKeys(secret, clientHello, serverHello, client); err != nil {
		return nil, err
	}
	return s, conn.SetDeadline(time.Time{})
}

// exchangeHellos sends own and reads peer; each is a key number and a nonce.
func exchangeHellos(conn net.Conn, own, peer []byte) error {
	if _, err := conn.Write(own); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, peer)
	return err
}

func secretByNumber(secrets []route.Secret, number byte) ([]byte, bool) {
	for _, s := range secrets {
		if s.Number == number {
			return s.Bytes, true
		}
	}
	return nil, false
}

// deriveKeys sets the session keys of both directions.
func (s *stream) deriveKeys(secret, clientHello, serverHello []byte, client bool) error {
	session := "control/" + string(clientHello[1:]) + string(serverHello[1:])
	toServer, err := route.Derive(secret, session+"/to-server", sha256.Size)
	if err != nil {
		return err
	}
	toClient, err := route.Derive(secret, session+"/to-client", sha256.Size)
	if err != nil {
		return err
	}
	s.sendKey, s.recvKey = toServer, toClient
	if !client {
		s.sendKey, s.recvKey = toClient, toServer
	}
	return nil
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(body) > MaxFrame {
		return ErrFrameTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	frame := make([]byte, frameHeaderLen, frameHeaderLen+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[4:], tag(s.sendKey, s.sendSeq, body))
	s.sendSeq++
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(append(frame, body...))
	s.traffic.Sent.Add(int64(n))
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	var header [frameHeaderLen]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrame {
		return ErrFrameTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return err
	}
	s.traffic.Received.Add(int64(frameHeaderLen + len(body)))
	want := tag(s.recvKey, s.recvSeq, body)
	s.recvSeq++
	if !hmac.Equal(want, header[4:]) {
		return ErrFrameTag
	}
	return json.Unmarshal(body, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// tag returns the truncated HMAC-SHA256 of the sequence number and the body.
func tag(key []byte, seq uint64, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], seq)
	m.Write(b[:])
	m.Write(body)
	return m.Sum(nil)[:tagLen]
}
