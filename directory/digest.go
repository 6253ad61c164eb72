package directory

import "net/netip"

// Digest tree: one root over branches over leaves of entry hashes.
const (
	digestBranches = 32
	leavesPer      = 32
	digestLeaves   = digestBranches * leavesPer
)

// Digest names what two balancers compare, coarse to fine. Sizes are fixed, so
// that one comparison costs at most two levels of 32 sums and the entries of
// the leaves that differ.
type Digest struct {
	// Branches holds a sum per branch.
	Branches []uint64 `json:"b,omitempty"`
	// Leaves holds the sums of the leaves of each branch listed in Of.
	Of     []int    `json:"of,omitempty"`
	Leaves []uint64 `json:"l,omitempty"`
}

// Root returns one sum over the whole directory.
func (d *Directory) Root() uint64 {
	sum := uint64(0)
	for i := range d.leaves {
		sum ^= d.leaves[i].sum
	}
	return sum
}

// Branches returns the sum of every branch.
func (d *Directory) Branches() []uint64 {
	out := make([]uint64, digestBranches)
	for i := range d.leaves {
		out[i/leavesPer] ^= d.leaves[i].sum
	}
	return out
}

// DiffBranches returns the branches whose sums differ from the peer's, at most
// limit of them.
func (d *Directory) DiffBranches(peer []uint64, limit int) []int {
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

// Leaves returns the leaf sums of the branches, in order.
func (d *Directory) Leaves(branches []int) []uint64 {
	var out []uint64
	for _, b := range branches {
		if b < 0 || b >= digestBranches {
			continue
		}
		for i := range leavesPer {
			out = append(out, d.leaves[b*leavesPer+i].sum)
		}
	}
	return out
}

// DiffLeaves returns the leaves whose sums differ from the peer's.
func (d *Directory) DiffLeaves(branches []int, peer []uint64) []int {
	own := d.Leaves(branches)
	if len(own) != len(peer) || len(own) != len(branches)*leavesPer {
		return nil
	}
	var out []int
	for i := range own {
		if own[i] != peer[i] {
			out = append(out, branches[i/leavesPer]*leavesPer+i%leavesPer)
		}
	}
	return out
}

// EntriesOf returns the entries in the leaves, at most limit.
func (d *Directory) EntriesOf(leaves []int, limit int) []Entry {
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

// LeafOf returns the leaf that holds a key.
func LeafOf(key netip.AddrPort) int { return leaf(key) }
