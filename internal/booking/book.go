// Package booking tracks the reserved capacity of one worker.
package booking

import "gypsumtide"

// Book holds the capacity reservations of a worker by run. A reservation lasts
// from before the order is sent until the run has ended or can no longer start. A
// Book is not safe for concurrent use.
type Book struct {
	capacity gypsumtide.Size
	used     gypsumtide.Size
	runs     map[gypsumtide.RunRef]gypsumtide.Size
}

// New returns a book without capacity and without reservations.
func New() *Book {
	return &Book{runs: make(map[gypsumtide.RunRef]gypsumtide.Size)}
}

// SetCapacity changes the capacity. Existing reservations stay, even if they exceed
// it.
func (b *Book) SetCapacity(c gypsumtide.Size) { b.capacity = c }

// Capacity returns the capacity.
func (b *Book) Capacity() gypsumtide.Size { return b.capacity }

// Used returns the sum of the reservations.
func (b *Book) Used() gypsumtide.Size { return b.used }

// Len returns the number of reservations.
func (b *Book) Len() int { return len(b.runs) }

// Reserve reserves size for ref. It returns false, and reserves nothing, if there is
// too little free capacity or ref already has a reservation.
func (b *Book) Reserve(ref gypsumtide.RunRef, size gypsumtide.Size) bool {
	if _, ok := b.runs[ref]; ok {
		return false
	}
	if !b.Fits(size) {
		return false
	}
	b.runs[ref] = size
	b.used = b.used.Add(size)
	return true
}

// Fits reports whether size could be reserved now.
func (b *Book) Fits(size gypsumtide.Size) bool {
	return b.used.Add(size).AtMost(b.capacity)
}

// Release removes the reservation of ref, if there is one.
func (b *Book) Release(ref gypsumtide.RunRef) {
	size, ok := b.runs[ref]
	if !ok {
		return
	}
	delete(b.runs, ref)
	b.used = b.used.Sub(size)
}
