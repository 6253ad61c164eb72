package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poppywall/poppywall/flow"
	"github.com/poppywall/poppywall/flow/envelope"
)

// TestEvacuationsSurviveTheWire, up to the most and the longest that there may be, in
// one datagram.
func TestEvacuationsSurviveTheWire(t *testing.T) {
	const datagram = 1400
	for count := range flow.MaxEvacuated + 1 {
		var zones []string
		for i := range count {
			zones = append(zones, fmt.Sprintf("%02d", i)+strings.Repeat("z", flow.MaxZoneName-2))
		}
		e, out := flow.NewEvacuations(int64(count)<<40, zones)
		require.Empty(t, out)
		wire := AppendEvacuations(nil, e)
		got, err := DecodeEvacuations(wire)
		require.NoError(t, err)
		require.Equal(t, e, got)
		m := Beacon{Evacuations: e}
		require.Less(t, len(m.Append(nil)), datagram)
	}
}

func TestForeignEvacuationsAreRefused(t *testing.T) {
	e, _ := flow.NewEvacuations(9, []string{"a", "b"})
	good := AppendEvacuations(nil, e)
	changed := func(at int, b byte) []byte {
		out := append([]byte(nil), good...)
		out[envelope.PrefixLen+at] = b
		return out
	}
	for name, wire := range map[string][]byte{
		"nothing":              good[:envelope.PrefixLen],
		"cut off":              good[:len(good)-1],
		"too long":             append(append([]byte(nil), good...), 0),
		"more than there are":  changed(evacuationsHead-1, 3),
		"fewer than there are": changed(evacuationsHead-1, 1),
		"a name twice":         changed(evacuationsHead+3, 'a'),
		"a name without bytes": changed(evacuationsHead, 0),
		"a negative revision":  changed(0, 0xff),
	} {
		_, err := DecodeEvacuations(wire)
		require.ErrorIs(t, err, ErrMalformed, name)
	}
	_, err := DecodeEvacuations((&Beacon{}).Append(nil))
	require.ErrorIs(t, err, ErrMalformed, "another kind")
}
