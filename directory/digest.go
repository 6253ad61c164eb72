package directory

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// The digest tree has a root, branches, and leaves of XORed entry hashes. Two
// balancers compare it level by level to find the entries that differ.
const (
	digestBranches  = 32
	leavesPerBranch = 32
	digestLeaves    = digestBranches * leavesPerBranch
)

// Sums are the sums of branches or leaves, folded to 32 bits to keep every
// comparison small. A difference goes unnoticed with a probability of 1 in 2^32,
// until the next change in the leaf.
type Sums []uint32

// MarshalText implements encoding.TextMarshaler.
func (s Sums) MarshalText() ([]byte, error) {
	b := make([]byte, 0, 4*len(s))
	for _, v := range s {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return base64.RawURLEncoding.AppendEncode(nil, b), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Sums) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(b)%4 != 0 || len(b) > 4*digestLeaves {
		return errMalformedDigest
	}
	*s = make(Sums, 0, len(b)/4)
	for ; len(b) > 0; b = b[4:] {
		*s = append(*s, binary.BigEndian.Uint32(b))
	}
	return nil
}

var errMalformedDigest = errors.New("digest is malformed")

// fold reduces a sum to 32 bits by XORing its halves.
func fold(sum uint64) uint32 { return uint32(sum>>32) ^ uint32(sum) }

// Root returns one sum over the whole directory.
func (d *Directory) Root() uint64 {
	sum := uint64(0)
	for i := range d.leaves {
		sum ^= d.leaves[i].sum
	}
	return sum
}

// Branches returns the sum of every branch.
func (d *Directory) Branches() Sums {
	out := make(Sums, digestBranches)
	for i := range d.leaves {
		out[i/leavesPerBranch] ^= fold(d.leaves[i].sum)
	}
	return out
}

// DiffBranches returns the branches whose sums differ from the peer's, at most
// limit of them.
func (d *Directory) DiffBranches(peer Sums, limit int) []int {
	var out []int
	if len(peer) != digestBranches {
		return nil
	}
	for i, sum := range d.Branches() {
		if sum != peer[i] && len(out) < limit {
			out = append(out, i)
		}
	}
	return out
}

// Leaves returns the leaf sums of the given branches, in order.
func (d *Directory) Leaves(branches []int) Sums {
	var out Sums
	for _, b := range branches {
		if b < 0 || b >= digestBranches {
			continue
		}
		for i := range leavesPerBranch {
			out = append(out, fold(d.leaves[b*leavesPerBranch+i].sum))
		}
	}
	return out
}

// DiffLeaves returns the leaves of the given branches whose sums differ from
// the peer's.
func (d *Directory) DiffLeaves(branches []int, peer Sums) []int {
	own := d.Leaves(branches)
	if len(own) != len(peer) || len(own) != len(branches)*leavesPerBranch {
		return nil
	}
	var out []int
	for i := range own {
		if own[i] != peer[i] {
			out = append(out, branches[i/leavesPerBranch]*leavesPerBranch+i%leavesPerBranch)
		}
	}
	return out
}

// EntriesInLeaves returns the entries in the given leaves, at most limit of them.
func (d *Directory) EntriesInLeaves(leaves []int, limit int) []Entry {
	var out []Entry
	for _, l := range leaves {
		if l < 0 || l >= digestLeaves {
			continue
		}
		for _, key := range d.leaves[l].keys {
			if len(out) >= limit {
				return out
			}
			out = append(out, d.entries[key].Entry)
		}
	}
	return out
}
