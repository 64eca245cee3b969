"""Shared by the benchmarks and the fault soak: fakes, load, HTTP/1.1 and the process under test."""
