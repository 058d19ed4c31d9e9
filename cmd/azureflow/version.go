package main

import "fmt"

// versionCommand prints the version.
type versionCommand struct{}

// Run implements the command.
func (versionCommand) Run() error {
	_, err := fmt.Println("azureflow", version)
	return err
}
