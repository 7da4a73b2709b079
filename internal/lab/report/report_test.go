package report_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegway/nutmegway/internal/lab/report"
)

func ExampleReport() {
	r := report.Report{Name: "spread"}
	r.AddRow(report.Value{Key: "nodes", Value: 9}, report.Value{Key: "p99-ms", Value: 12.5})
	r.Add("in-force-p99-ms", 12.5)
	r.Add("reverted", 1)
	r.Requiref(false, "a document reverted")
	_ = r.Write(os.Stdout, report.OutputText)
	fmt.Println(r.Err())
	// Output:
	// nodes=9 p99-ms=12.500
	// spread in-force-p99-ms=12.500 reverted=1
	// broken guarantee: a document reverted
}

func TestJSONAndPlot(t *testing.T) {
	is := is.New(t)
	r := report.Report{Name: "x", Curves: []report.Curve{report.Cumulative("a", []float64{3, 1, 2})}}
	r.Add("lost", 0)
	var out bytes.Buffer
	is.NoErr(r.Write(&out, report.OutputJSON))
	is.Equal(out.String(), `{"broken":null,"name":"x","rows":[],"values":{"lost":0}}`+"\n")
	file := filepath.Join(t.TempDir(), "x.png")
	is.NoErr(r.Plot(file))
	info, err := os.Stat(file)
	is.NoErr(err)
	is.True(info.Size() > 0)
}
