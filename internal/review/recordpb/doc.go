// Package recordpb holds the generated messages in which decision records travel between entry VMs
// and rest in the store.
package recordpb
