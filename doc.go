// Package gypsumtide defines the interfaces and shared value types of the
// dispatcher. The implementations are in the packages below internal/.
package gypsumtide
