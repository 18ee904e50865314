// Package stored keeps jobs that outlive their callers' connections.
//
// The log has a number of partitions, and an id belongs to one of them. The log
// distributes the partitions among the entries; the entry that holds one owns
// its jobs: it accepts them, runs their tasks through package dispatch, and
// answers for them. A job counts as accepted, a task as ended, and a job as
// complete only when the record has been appended. The owner begins an epoch of
// the partition with its first append, so a former owner can record nothing any
// more, not even by an append that arrives late.
//
// A new owner reads the partition and continues. It starts no task of a job that
// it did not accept itself until all runs of the former owner must have ended:
// the former owner acts for at most the time to live of its membership, and its
// runs end with its sessions to the agents.
package stored
