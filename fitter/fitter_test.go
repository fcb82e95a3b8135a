package fitter

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Fit", func() {
	DescribeTable("finds the least-squares line",
		func(costs []float64, slope, intercept, relativeError float64) {
			f := New()
			for i, cost := range costs {
				f.Add(float64(i+1), cost)
			}
			line, err := f.Fit()
			Expect(err).NotTo(HaveOccurred())
			Expect(line.Slope).To(BeNumerically("~", slope, 1e-9))
			Expect(line.Intercept).To(BeNumerically("~", intercept, 1e-9))
			Expect(line.RelativeError).To(BeNumerically("~", relativeError, 1e-9))
		},
		Entry("an exact line", []float64{5, 7, 9, 11}, 2.0, 3.0, 0.0),
		Entry("a constant", []float64{4, 4, 4, 4}, 0.0, 4.0, 0.0),
		Entry("points that are not on a line", []float64{11, 9, 9, 11}, 0.0, 10.0, 0.1),
	)

	It("returns an error for fewer than four different sizes", func() {
		f := New()
		for range 5 {
			f.Add(1, 1)
			f.Add(2, 2)
			f.Add(3, 3)
		}
		_, err := f.Fit()
		Expect(err).To(HaveOccurred())
	})
})
