// Package config keeps the operators' configuration in force on one node.
package config
