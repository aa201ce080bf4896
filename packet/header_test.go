package packet

import "testing"

// BenchmarkHeader measures reading the header alone.
func BenchmarkHeader(b *testing.B) {
	packets := benchPackets(b)
	for _, name := range []string{"part", "ack"} {
		p := packets[name]
		data := cborEncode(&p)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var h Header
			for b.Loop() {
				if err := DecodeHeader(data, &h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
