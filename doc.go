// Package gypsumtide holds the interfaces and shared value types of the
// dispatcher. The implementations live below internal/.
package gypsumtide
