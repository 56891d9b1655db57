// Package backend is one backend server as one node sees it.
package backend
