package main

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	buildProgram()
	code := m.Run()
	os.RemoveAll(tempDir)
	os.Exit(code)
}
