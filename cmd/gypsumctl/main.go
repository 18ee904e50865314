// Command gypsumctl is the operators' client.
package main

func main() {}
