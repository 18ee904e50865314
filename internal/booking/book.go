// Package booking counts the capacity of one worker that is spoken for.
package booking

import "gypsumtide"

// Book holds the bookings of a worker by run. A booking lasts from before the
// order is sent until the run has ended or can never start. It is not safe for
// concurrent use.
type Book struct {
	capacity gypsumtide.Size
	used     gypsumtide.Size
	runs     map[gypsumtide.RunRef]gypsumtide.Size
}

// New returns an empty book without capacity.
func New() *Book {
	return &Book{runs: make(map[gypsumtide.RunRef]gypsumtide.Size)}
}

// SetCapacity changes the capacity. Bookings stay, also beyond it.
func (b *Book) SetCapacity(c gypsumtide.Size) { b.capacity = c }

// Capacity returns the capacity.
func (b *Book) Capacity() gypsumtide.Size { return b.capacity }

// Used returns the sum of the bookings.
func (b *Book) Used() gypsumtide.Size { return b.used }

// Len returns the number of bookings.
func (b *Book) Len() int { return len(b.runs) }

// Reserve books size for ref. It reports false, and books nothing, if the
// capacity does not suffice or ref is booked already.
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

// Fits reports whether size could be booked now.
func (b *Book) Fits(size gypsumtide.Size) bool {
	return b.used.Add(size).AtMost(b.capacity)
}

// Release ends the booking of ref. It has no effect without a booking.
func (b *Book) Release(ref gypsumtide.RunRef) {
	size, ok := b.runs[ref]
	if !ok {
		return
	}
	delete(b.runs, ref)
	b.used = b.used.Sub(size)
}
