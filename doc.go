// Package gypsumtide defines the interfaces and shared value types of the
// dispatcher. The implementations are in the packages below internal/.
//
// There are two ways to run tasks. Packages entry and agent send the tasks of a
// submission from its home, the entry that owns its shard, to upstreams; Task,
// AgentView, Queue and Placer belong to them. Packages dispatch, runner and stored
// run the tasks of jobs on workers; JobRequest, RunRef, Worker and JobLog belong to
// them.
package gypsumtide
