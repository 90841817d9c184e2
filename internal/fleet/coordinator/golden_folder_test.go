package coordinator

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

func pack(folder, path string) error {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return err
	}
	w := tar.NewWriter(z)
	if err := w.AddFS(os.DirFS(folder)); err != nil {
		return err
	}
	return errors.Join(w.Close(), z.Close(), os.WriteFile(path, b.Bytes(), 0o644))
}

func unpack(t *testing.T, path, folder string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	r := tar.NewReader(z)
	for {
		h, err := r.Next()
		if err == io.EOF {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		to := filepath.Join(folder, filepath.FromSlash(h.Name))
		if h.Typeflag == tar.TypeDir {
			if err := os.MkdirAll(to, 0o700); err != nil {
				t.Fatal(err)
			}
			continue
		}
		b, err := io.ReadAll(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(os.MkdirAll(filepath.Dir(to), 0o700), os.WriteFile(to, b, 0o600)); err != nil {
			t.Fatal(err)
		}
	}
}
