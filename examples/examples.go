// Package examples holds the shipped steering files and settings of two deployments.
package examples

import "embed"

// Files holds a folder for each deployment.
//
//go:embed sohar zollbrugg
var Files embed.FS
