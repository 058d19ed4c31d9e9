// Command azureflow steers traffic from callers to upstreams over regions. See README.md.
package main

func main() {}
