package main

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	buildProgram()
	code := m.Run()
	_ = os.RemoveAll(tempDir)
	os.Exit(code)
}
