"""What the benchmarks and the fault soak share: fakes, load, HTTP/1.1 and the process under test."""
