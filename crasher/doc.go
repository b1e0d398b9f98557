// Package crasher knows requests under which backend servers end.
package crasher
