// Package booking tracks the reserved capacity of one worker.
package booking

import "gypsumtide"

// Reservations holds the capacity of a worker and the part of it that is reserved for
// each run. A reservation lasts from before the order is sent until the run has ended
// or can no longer start. Reservations is not safe for concurrent use.
type Reservations struct {
	capacity gypsumtide.Size
	used     gypsumtide.Size
	runs     map[gypsumtide.RunRef]gypsumtide.Size
}

// New returns an empty Reservations whose capacity is zero.
func New() *Reservations {
	return &Reservations{runs: make(map[gypsumtide.RunRef]gypsumtide.Size)}
}

// SetCapacity changes the capacity. Existing reservations stay, even if they exceed
// it.
func (r *Reservations) SetCapacity(c gypsumtide.Size) { r.capacity = c }

// Capacity returns the capacity.
func (r *Reservations) Capacity() gypsumtide.Size { return r.capacity }

// Used returns the sum of the reservations.
func (r *Reservations) Used() gypsumtide.Size { return r.used }

// Len returns the number of reservations.
func (r *Reservations) Len() int { return len(r.runs) }

// Reserve reserves size for ref. It returns false, and reserves nothing, if there is
// too little free capacity or ref already has a reservation.
func (r *Reservations) Reserve(ref gypsumtide.RunRef, size gypsumtide.Size) bool {
	if _, ok := r.runs[ref]; ok {
		return false
	}
	if !r.Fits(size) {
		return false
	}
	r.runs[ref] = size
	r.used = r.used.Add(size)
	return true
}

// Fits reports whether size could be reserved now.
func (r *Reservations) Fits(size gypsumtide.Size) bool {
	return r.used.Add(size).AtMost(r.capacity)
}

// Release removes the reservation of ref, if there is one.
func (r *Reservations) Release(ref gypsumtide.RunRef) {
	size, ok := r.runs[ref]
	if !ok {
		return
	}
	delete(r.runs, ref)
	r.used = r.used.Sub(size)
}
