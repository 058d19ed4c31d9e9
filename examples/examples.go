// Package examples embeds the shipped steering files and settings of two deployments.
package examples

import "embed"

// Files contains one directory per deployment.
//
//go:embed sohar zollbrugg
var Files embed.FS
