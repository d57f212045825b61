// Package scenario holds the scripted scenarios that run the real programs.
package scenario
