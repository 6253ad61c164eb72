package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/quic-go/quic-go"

	"github.com/poppywall/poppywall/route"
)

// resetter creates stateless resets (RFC 9000 section 10.3) for connection IDs
// of any agent of the cluster. The key is derived from the cluster secret, so
// that a restarted agent can reset the flows of its former incarnation.
//
// A connection ID starts with the number of the secret under which it was
// created. Its reset token is derived from the same secret, so that resets work
// across secret rotations.
type resetter struct {
	current byte
	keys    map[byte]quic.StatelessResetKey
}

const (
	statelessResetTokenLen = 16
	// minResetLen is the minimum length at which a reset is indistinguishable
	// from a packet with a short header.
	minResetLen     = 21
	maxResetLen     = 41
	fixedBit        = 0x40
	shortHeaderMask = 0x7f
)

func newResetter(secrets []route.Secret) (*resetter, error) {
	r := &resetter{current: secrets[0].Number, keys: map[byte]quic.StatelessResetKey{}}
	for _, s := range secrets {
		m, err := route.Derive(s.Bytes, "stateless-reset", len(quic.StatelessResetKey{}))
		if err != nil {
			return nil, err
		}
		r.keys[s.Number] = quic.StatelessResetKey(m)
	}
	return r, nil
}

// currentKey returns the reset key for new connection IDs.
func (r *resetter) currentKey() *quic.StatelessResetKey {
	key := r.keys[r.current]
	return &key
}

// resetPacket returns a stateless reset in answer to a datagram of the given
// length, or false if that is too short. The reset is shorter than the datagram,
// so that two endpoints cannot answer each other's resets forever.
func (r *resetter) resetPacket(id []byte, answeredLen int) ([]byte, bool) {
	n := min(answeredLen-1, maxResetLen)
	if n < minResetLen {
		return nil, false
	}
	out := make([]byte, n)
	if _, err := rand.Read(out); err != nil {
		return nil, false
	}
	out[0] = out[0]&shortHeaderMask | fixedBit
	copy(out[n-statelessResetTokenLen:], r.token(id))
	return out, true
}

// token returns the reset token of a connection ID: its truncated HMAC-SHA256.
// The QUIC library derives the token that it issues to the caller the same way.
func (r *resetter) token(id []byte) []byte {
	key := r.keys[id[0]]
	m := hmac.New(sha256.New, key[:])
	m.Write(id)
	return m.Sum(nil)[:statelessResetTokenLen]
}
