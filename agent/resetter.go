package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/quic-go/quic-go"

	"github.com/poppywall/poppywall/route"
)

// resetter makes stateless resets (RFC 9000 section 10.3) for connection IDs
// of any agent of the cluster: the key comes from the cluster secret, so a
// restarted agent resets the flows of its former incarnation.
//
// A connection ID starts with the number of the secret it was made under; its
// reset token comes from the same one, so a rotation does not break resets.
type resetter struct {
	current byte
	keys    map[byte]quic.StatelessResetKey
}

const (
	resetTokenLen = 16
	// minResetLen is the least length that looks like a short packet.
	minResetLen = 21
	maxResetLen = 41
	fixedBit    = 0x40
	shortMask   = 0x7f
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

// currentKey is the key for connection IDs made from now on.
func (r *resetter) currentKey() *quic.StatelessResetKey {
	key := r.keys[r.current]
	return &key
}

// packet returns a reset for a datagram of the given length. It is shorter
// than what it answers, so that two resetting ends cannot loop.
func (r *resetter) packet(id []byte, answered int) ([]byte, bool) {
	n := min(answered-1, maxResetLen)
	if n < minResetLen {
		return nil, false
	}
	out := make([]byte, n)
	if _, err := rand.Read(out); err != nil {
		return nil, false
	}
	out[0] = out[0]&shortMask | fixedBit
	copy(out[n-resetTokenLen:], r.token(id))
	return out, true
}

// token is the QUIC library's derivation, which issued the token to the
// caller: HMAC-SHA256 of the connection ID, truncated.
func (r *resetter) token(id []byte) []byte {
	key := r.keys[id[0]]
	m := hmac.New(sha256.New, key[:])
	m.Write(id)
	return m.Sum(nil)[:resetTokenLen]
}
